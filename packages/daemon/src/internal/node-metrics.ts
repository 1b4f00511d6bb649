import type { Observable } from 'rxjs';
import type { Registry } from 'prom-client';
import { Counter, Gauge } from 'prom-client';
import type { StatusView, TimelineEvent } from '@redwingcrank/protocol';

/** Name, help text and value of each gauge; values are read from the status on collection. */
const GAUGES: readonly (readonly [string, string, (status: StatusView) => number])[] = [
  ['ready', '1 while the node is ready', (s) => Number(s.state === 'ready')],
  ['manifest_version', 'The version in force on this node', (s) => s.manifestVersion],
  ['term', 'The term of the data centre', (s) => s.term],
  ['control_offset', 'The last offset folded of the control stream', (s) => s.controlOffset],
  ['peers_alive', 'Peers heard lately', (s) => s.peers.length],
  ['unplaced_tasks', 'Tasks without a place, on the holder', (s) => s.unplacedCount],
];

/** Registers the node's metrics: its status as gauges, and a counter of its events. */
export function registerNodeMetrics(
  registry: Registry,
  status: () => StatusView,
  events$: Observable<TimelineEvent>,
): void {
  for (const [name, help, read] of GAUGES) {
    const gauge: Gauge = new Gauge({
      name: `redwingcrank_${name}`,
      help,
      registers: [registry],
      collect: () => {
        gauge.set(read(status()));
      },
    });
  }
  const events = new Counter({
    name: 'redwingcrank_events_total',
    help: 'Events of the time line by name',
    labelNames: ['event'],
    registers: [registry],
  });
  events$.subscribe(({ event }) => events.inc({ event }));
}
