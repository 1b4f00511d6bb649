import type { EventFilter, TimelineEvent } from '@redwingcrank/protocol';
import { stampMillis } from '@redwingcrank/protocol';
import type { AdminClient } from './admin-client.js';

const NODE_COLUMN_WIDTH = 8;

/** Sorts events of several processes by their stamps. */
export function sortEvents(events: readonly TimelineEvent[]): TimelineEvent[] {
  const key = ({ hlc, node }: TimelineEvent): string => `${hlc} ${node}`;
  return [...events].sort((a, b) => (key(a) < key(b) ? -1 : 1));
}

/** Fetches the events of all nodes that answer, sorted by their stamps. */
export async function fetchEvents(
  nodes: readonly AdminClient[],
  after: string,
  filter: EventFilter = {},
): Promise<TimelineEvent[]> {
  const lists = await Promise.all(nodes.map((node) => node.events(after, filter).catch(() => [])));
  return sortEvents(lists.flat());
}

/** Formats an event as one line. */
export function formatEvent({ hlc, node, event, fields }: TimelineEvent): string {
  const time = new Date(stampMillis(hlc)).toISOString().slice(11, 23);
  const pairs = Object.entries(fields).map(([key, value]) => `${key}=${value}`);
  return [time, node.padEnd(NODE_COLUMN_WIDTH), event, ...pairs].join(' ');
}
