/** Resources that a worker offers or a task claims. */
export interface Capacity {
  readonly cpuMilli: number;
  readonly memMb: number;
  readonly gpus: number;
}

/** What a worker publishes about itself through the store. */
export interface WorkerEntry {
  /** Identifies the worker; a restarted worker may have the same id. */
  readonly id: string;
  /**
   * Tells apart the processes that share an id: the time at which this one started, in milliseconds
   * since 1970 by its own clock. Undefined where the platform does not state it.
   */
  readonly incarnation?: number;
  readonly address: string;
  readonly pool: string;
  readonly dataCentre: string;
  readonly draining: boolean;
  /** The least time until a draining worker leaves, in milliseconds. */
  readonly remainingMs: number;
  readonly capacity: Capacity;
  readonly labels: readonly string[];
}

/** How a run ended, as reported by its worker. */
export type EndKind = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

export interface RunningRow {
  readonly task: string;
  readonly run: number;
  readonly checkpoint: string;
  /** How much of its speed the task works at, 100 for all. */
  readonly percent: number;
  /**
   * Over the last half second: the tail latency in milliseconds for a task with a target; otherwise
   * the processor time in use, in thousandths of a core.
   */
  readonly measure: number;
}

export interface EndedRow {
  /** Counts the ends of one incarnation of the worker, from 1. */
  readonly number: number;
  readonly task: string;
  readonly run: number;
  readonly how: EndKind;
  readonly checkpoint: string;
}

/** A worker's answer to a renewal of its lease: everything that it knows about its runs. */
export interface WorkerReport {
  /** The process that answered; see `WorkerEntry`. */
  readonly incarnation?: number;
  readonly clockMs: number;
  readonly running: readonly RunningRow[];
  readonly ended: readonly EndedRow[];
}
