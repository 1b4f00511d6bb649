import { Subject } from 'rxjs';
import logfmt from 'logfmt';
import loglevel from 'loglevel';
import type { EventFields, EventFilter, HybridClock, TimelineEvent } from '@redwingcrank/protocol';
import { matchesFilter } from '@redwingcrank/protocol';

/** How many events a node keeps for the timeline; older events are only in the logs. */
const MAX_KEPT_EVENTS = 5_000;

export type EventLevel = 'debug' | 'info' | 'warn' | 'error';

/** The events of this node. Each is written as a log line and kept for the timeline. */
export class EventLog {
  readonly #node: string;

  readonly #clock: HybridClock;

  readonly #events: TimelineEvent[] = [];

  readonly #logger = loglevel.getLogger('redwingcrankd');

  /** Emits every event as it happens. */
  readonly events$ = new Subject<TimelineEvent>();

  constructor(node: string, clock: HybridClock, level: loglevel.LogLevelDesc) {
    this.#node = node;
    this.#clock = clock;
    // Logs go to stderr, because stdout is reserved for the ready line that a supervisor reads.
    this.#logger.methodFactory = () => (line: string) => process.stderr.write(`${line}\n`);
    this.#logger.setLevel(level, false);
  }

  /** Records an event under a name in kebab-case. */
  emit(level: EventLevel, event: string, fields: EventFields = {}): void {
    const entry = { hlc: this.#clock.tick(), node: this.#node, event, fields };
    this.#events.push(entry);
    if (this.#events.length > MAX_KEPT_EVENTS) this.#events.shift();
    this.events$.next(entry);
    const at = new Date().toISOString();
    this.#logger[level](
      logfmt.stringify({ at, level, node: this.#node, hlc: entry.hlc, event, ...fields }),
    );
  }

  /** Returns the kept events after a timestamp that match the filter, oldest first. */
  after(timestamp: string, limit: number, filter: EventFilter = {}): readonly TimelineEvent[] {
    return this.#events
      .filter((event) => event.hlc > timestamp && matchesFilter(event, filter))
      .slice(0, limit);
  }
}
