import type { EventFilter, TimelineEvent } from '@redwingcrank/protocol';
import { stampMillis } from '@redwingcrank/protocol';
import type { AdminClient } from './admin-client.js';

const NODE_COLUMN = 8;

/** Brings events of several processes into the order of their stamps. */
export function sortEvents(events: readonly TimelineEvent[]): TimelineEvent[] {
  const key = ({ hlc, node }: TimelineEvent): string => `${hlc} ${node}`;
  return [...events].sort((a, b) => (key(a) < key(b) ? -1 : 1));
}

/** The events of all nodes that answer, in the order of their stamps. */
export async function fetchEvents(
  nodes: readonly AdminClient[],
  after: string,
  filter: EventFilter = {},
): Promise<TimelineEvent[]> {
  const lists = await Promise.all(nodes.map((node) => node.events(after, filter).catch(() => [])));
  return sortEvents(lists.flat());
}

/** One event as a line. */
export function formatEvent({ hlc, node, event, fields }: TimelineEvent): string {
  const time = new Date(stampMillis(hlc)).toISOString().slice(11, 23);
  const pairs = Object.entries(fields).map(([key, value]) => `${key}=${value}`);
  return [time, node.padEnd(NODE_COLUMN), event, ...pairs].join(' ');
}
