import type { WorkerEntry } from '@redwingcrank/jobs';
import type { NodeSettings } from '../node-settings.js';
import { steadyMs } from '../internal/delay.js';
import type { NodeState } from '../internal/node-metrics.js';
import type { LinkListener } from '../internal/worker-link.js';

/** The entry of a worker with capacity for a few tasks. */
export const WORKER_ENTRY: WorkerEntry = {
  id: 'w1',
  address: 'w1.example:1',
  pool: 'pool',
  dataCentre: 'a',
  draining: false,
  remainingMs: 0,
  capacity: { cpuMilli: 8_000, memMb: 16_000, gpus: 0 },
  labels: [],
};

/** Returns the listener of a link to a busy worker that may always get a lease. */
export function linkListener(changes: Partial<LinkListener> = {}): LinkListener {
  return {
    token: 1,
    leaseLimitMs: () => 6_000,
    ackedEnd: () => 0,
    isBusy: () => true,
    isDue: () => true,
    views: { windowMs: () => 1_500, ages: () => ({}) },
    startSent: () => {},
    leaseSent: () => {},
    reported: () => {},
    answered: () => {},
    workerEnded: () => {},
    fenced: () => {},
    ...changes,
  };
}

/** A view of the callers' jobs that is always up to date. */
export const UP_TO_DATE_JOBS = {
  get jobsCompleteAsOfMs(): number {
    return steadyMs();
  },
};

/** A view of the operators' requests that is always up to date. */
export const UP_TO_DATE_OPERATORS = {
  get completeAsOfMs(): number {
    return steadyMs();
  },
};

/** The state of a leader without jobs. */
export const NODE_STATE: NodeState = {
  isLeading: true,
  viewAgeMs: 0,
  jobs: new Map(),
  faults: [],
  evacuationAgesMs: new Map(),
  evacuatedRuns: 0,
  waves: [],
};

/** Returns the settings of a node with this name. */
export function nodeSettings(node: string): NodeSettings {
  return {
    node,
    dataCentre: 'a',
    cores: undefined,
    maxLeaseMs: 6_000,
    toleratedDataCentres: 0,
    stopTimeoutMs: 500,
    drainMs: 2_000,
    cancelMs: 3_000,
    evacuateMs: 5_000,
    configApplyMs: 2_000,
    maintenanceMs: 2_000,
    machineLeaseMs: 3_000,
    machineCallsPerS: 60,
    machineReadsPerS: 60,
    remoteFactor: 1.5,
    maxRecordBytes: 262_144,
    keepStateMs: 120_000,
    graceMs: 6_000,
  };
}
