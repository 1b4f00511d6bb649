import type { TimelineEvent } from './event.js';

/** A filter for events of the timeline. A criterion that is left out matches every event. */
export interface EventFilter {
  readonly task?: string | undefined;
  readonly request?: string | undefined;
  readonly host?: string | undefined;
  /** The name of the event, such as `attempt-bind`. */
  readonly kind?: string | undefined;
}

/** Returns whether an event matches every criterion of the filter. */
export function matchesFilter({ event, fields }: TimelineEvent, filter: EventFilter): boolean {
  if (filter.kind !== undefined && filter.kind !== event) return false;
  return (['task', 'request', 'host'] as const).every(
    (name) => filter[name] === undefined || filter[name] === fields[name],
  );
}
