import type { AdvicePolicy } from './advice.js';

/** One step of a job: a number of tasks that are alike. */
export interface StepSpec {
  readonly taskCount: number;
  /** Claimed processor time, in thousandths of a core. */
  readonly cpuMilli: number;
  readonly memMb: number;
  readonly gpus: number;
  /** The caller's rough estimate of one task's duration, in milliseconds; 0 if not given. */
  readonly estimateMs: number;
  /** Indexes of the earlier steps that must have ended first. */
  readonly after: readonly number[];
  readonly checkpointing: boolean;
  /** The tasks work only together: all of them start, and all of them end, as one. */
  readonly gang: boolean;
  /** The tasks run slower when they are spread over more than one rack. */
  readonly rackLocal: boolean;
  /** A label that the worker must have; empty if none is required. */
  readonly requiredLabel: string;
  /** The rack that holds the input data; empty if there is none. */
  readonly dataRack: string;
  /** The maximum number of tasks of this step on one worker; 0 for no maximum. */
  readonly maxPerWorker: number;
  /** Several copies of one task may run at once. */
  readonly speculative: boolean;
  /**
   * The tasks are long-running: they run until the job is cancelled, and are restarted however they
   * end.
   */
  readonly lasting: boolean;
  /** The name of the tasks' image; empty if unnamed. Tasks of one image behave alike. */
  readonly image: string;
  /**
   * The target for the latency with which a long-running task serves its own callers, in
   * milliseconds; 0 if it has none.
   */
  readonly targetMs: number;
  /**
   * The tasks are best-effort: their processor claim is not reserved, and they use what other tasks
   * leave.
   */
  readonly fills: boolean;
  /**
   * The maximum number of tasks of a long-running step that the scheduler's own orders may make
   * unavailable at once.
   */
  readonly maxUnavailable: number;
}

/** A step of one task without claims or requirements; other steps override its values. */
export const PLAIN_STEP: StepSpec = {
  taskCount: 1,
  cpuMilli: 0,
  memMb: 0,
  gpus: 0,
  estimateMs: 0,
  after: [],
  checkpointing: false,
  gang: false,
  rackLocal: false,
  requiredLabel: '',
  dataRack: '',
  maxPerWorker: 0,
  speculative: false,
  lasting: false,
  image: '',
  targetMs: 0,
  fills: false,
  maxUnavailable: 0,
};

/** The due times of a job with occurrences. */
export interface Schedule {
  readonly count: number;
  /** The due time of the first occurrence, in milliseconds since 1970. */
  readonly firstDueMs: number;
  readonly intervalMs: number;
}

/** A job as its caller submitted it. */
export interface JobSpec {
  readonly id: string;
  /** The name of the queue to which the job was submitted. */
  readonly queue: string;
  /** Passed to each task unchanged. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  readonly schedule?: Schedule;
  /** Time of day at which the job was accepted, in milliseconds since 1970. */
  readonly acceptedMs: number;
}

export type JobState = 'queued' | 'running' | FinalState;

/** A state that a job never leaves. */
export type FinalState = 'completed' | 'failed' | 'cancelled';

/** The operators' settings of a queue. */
export interface QueuePolicy {
  readonly name: string;
  /** The pool of workers that run its tasks. */
  readonly pool: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** The number of failures of one task after which the job fails. */
  readonly maxAttempts: number;
  /** The objective of a job is `stretch` times its critical path plus `targetLatencyMs`. */
  readonly stretch: number;
  readonly targetLatencyMs: number;
  /** Present if only workers that the advice service approves may run its steps. */
  readonly advice?: AdvicePolicy;
}

/** Returns whether a job never leaves this state. */
export function isFinal(state: JobState): state is FinalState {
  return state === 'completed' || state === 'failed' || state === 'cancelled';
}
