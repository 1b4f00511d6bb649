import type { ChartFile } from '../chart.js';
import { Chart } from '../chart.js';

export type NodeState = 'starting' | 'ready' | 'draining' | 'stopped';

export type NodeEvent = 'caughtUp' | 'drain' | 'drained';

/** The lifecycle of one node process. */
const file: ChartFile<NodeState, NodeEvent> = {
  id: 'node',
  initial: 'starting',
  states: {
    starting: { on: { caughtUp: 'ready', drain: 'draining' } },
    ready: { on: { drain: 'draining' } },
    draining: { on: { drained: 'stopped' } },
    stopped: { final: true, on: {} },
  },
};

export const nodeChart = new Chart(file);
