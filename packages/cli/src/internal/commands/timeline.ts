import { setTimeout as wait } from 'node:timers/promises';
import { z } from 'zod';
import type { TimelineEvent } from '@redwingcrank/protocol';
import { stampAt } from '@redwingcrank/protocol';
import type { AdminClient } from '../admin-client.js';
import { nodesSchema } from '../cli-settings.js';
import type { Cluster } from '../cluster.js';
import { Command, clusterOf } from '../command.js';
import type { Output } from '../output.js';
import { formatEvent, fetchEvents, sortEvents } from '../timeline-events.js';

const UNITS_MS: Readonly<Record<string, number>> = { s: 1_000, m: 60_000, h: 3_600_000 };
const SINCE_PATTERN = /^(\d+)([smh])$/;

/** The pause between two polls of `--follow`, in milliseconds. */
const FOLLOW_POLL_INTERVAL_MS = 500;

/**
 * How long `--follow` holds an event back, in milliseconds: an event of another node with an
 * earlier stamp may arrive up to one poll later.
 */
const REORDER_DELAY_MS = 2 * FOLLOW_POLL_INTERVAL_MS;

const since = z
  .string()
  .refine(
    (text) => SINCE_PATTERN.test(text) || !Number.isNaN(Date.parse(text)),
    'a time such as 2027-03-01T05:00:00Z or a span such as 90s, 15m, 2h',
  );

const schema = nodesSchema.extend({
  task: z.string().optional(),
  request: z.string().optional(),
  host: z.string().optional(),
  kind: z.string().optional(),
  since: since.optional(),
  last: z.int().min(1),
  follow: z.boolean(),
});

type TimelineSettings = z.infer<typeof schema>;

/** Prints the events of all nodes in one order. */
export class Timeline extends Command<TimelineSettings> {
  readonly usage = 'timeline';

  readonly summary = 'Events of all nodes in the order of their hybrid logical clocks';

  readonly examples = [
    ['timeline --task dc1/routes/0', 'Events of one task'],
    ['timeline --kind manifest-in-force --since 15m', 'Manifests of the last quarter of an hour'],
    ['timeline --follow', 'The newest events, then new ones until interrupted'],
  ] as const;

  override readonly options = {
    task: { type: 'string', describe: 'Only events of this task' },
    request: { type: 'string', describe: 'Only events of this request' },
    host: { type: 'string', describe: 'Only events of this host' },
    kind: { type: 'string', describe: 'Only events of this name, such as attempt-bind' },
    since: { type: 'string', describe: 'A time, or a span back from now: 90s, 15m, 2h' },
    last: { type: 'number', default: 50, describe: 'Number of the newest events to print' },
    follow: {
      type: 'boolean',
      default: false,
      describe: 'Keep printing new events until interrupted',
    },
  } as const;

  readonly schema = schema;

  async run(settings: TimelineSettings, out: Output): Promise<void> {
    const cluster = clusterOf(settings);
    await cluster.reachable();
    const after = settings.since === undefined ? '' : stampAt(sinceMillis(settings.since));
    const events = await fetchEvents(cluster.clients, after, settings);
    const newest = events.slice(-settings.last);
    if (settings.follow) {
      await followEvents(cluster, settings, newest, out);
      return;
    }
    out.value(newest);
    newest.forEach((event) => out.line(formatEvent(event)));
  }
}

function sinceMillis(text: string): number {
  const [, count, unit = 's'] = SINCE_PATTERN.exec(text) ?? [];
  if (count === undefined) return Date.parse(text);
  return Date.now() - Number(count) * (UNITS_MS[unit] ?? 0);
}

/** Prints the first events, then new events of all nodes in order, until the process ends. */
async function followEvents(
  { clients }: Cluster,
  settings: TimelineSettings,
  first: readonly TimelineEvent[],
  out: Output,
): Promise<void> {
  const print = (event: TimelineEvent): void => {
    out.valueLine(event);
    out.line(formatEvent(event));
  };
  first.forEach(print);
  const start = first.at(-1)?.hlc ?? stampAt(Date.now());
  // Each node has its own cursor, since stamps of different nodes arrive out of order.
  const cursors = new Map<AdminClient, string>(clients.map((client) => [client, start]));
  let pending: TimelineEvent[] = [];
  for (;;) {
    await wait(FOLLOW_POLL_INTERVAL_MS);
    for (const client of clients) {
      const events = await client.events(cursors.get(client) ?? start, settings).catch(() => []);
      pending.push(...events);
      cursors.set(client, events.at(-1)?.hlc ?? cursors.get(client) ?? start);
    }
    const printableUntil = stampAt(Date.now() - REORDER_DELAY_MS);
    sortEvents(pending.filter((event) => event.hlc <= printableUntil)).forEach(print);
    pending = pending.filter((event) => event.hlc > printableUntil);
  }
}
