/** What a worker offers, or what a task claims. */
export interface Capacity {
  readonly cpuMilli: number;
  readonly memMb: number;
  readonly gpus: number;
}

/** What a worker says of itself through the store. */
export interface WorkerEntry {
  /** One life of the worker process; a restarted worker has another. */
  readonly id: string;
  readonly address: string;
  readonly pool: string;
  readonly dataCentre: string;
  readonly draining: boolean;
  /** While draining: how much longer it stays at least. */
  readonly remainingMs: number;
  readonly capacity: Capacity;
  readonly labels: readonly string[];
}

/** How a run ended, as its worker lists it. */
export type EndKind = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

export interface RunningRow {
  readonly task: string;
  readonly run: number;
  readonly checkpoint: string;
  /** How much of its speed the task works at, 100 for all. */
  readonly percent: number;
  /**
   * Of the last half second: the tail latency in milliseconds for a task with a target, else the
   * processor time in use, in thousandths of a core.
   */
  readonly measure: number;
}

export interface EndedRow {
  /** Counts the ends of one life of the worker, from 1. */
  readonly number: number;
  readonly task: string;
  readonly run: number;
  readonly how: EndKind;
  readonly checkpoint: string;
}

/** A worker's answer to a renewal of its lease: all that it knows. */
export interface WorkerReport {
  readonly clockMs: number;
  readonly running: readonly RunningRow[];
  readonly ended: readonly EndedRow[];
}
