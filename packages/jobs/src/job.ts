/** One step of a job: a number of alike tasks. */
export interface StepSpec {
  readonly taskCount: number;
  /** Claimed processor time, in thousandths of a core. */
  readonly cpuMilli: number;
  readonly memMb: number;
  readonly gpus: number;
  /** The caller's rough guess of one task's duration; 0 if it gave none. */
  readonly estimateMs: number;
  /** Indexes of earlier steps that must have ended first. */
  readonly after: readonly number[];
  readonly checkpointing: boolean;
  /** The tasks work only together: all start, and all end, as one. */
  readonly gang: boolean;
  /** The tasks work slower when spread over more than one rack. */
  readonly rackLocal: boolean;
  /** A label that a worker must have; empty for none. */
  readonly requiredLabel: string;
  /** The rack that holds the input data; empty for none. */
  readonly dataRack: string;
  /** The most tasks of this step on one worker; 0 for any number. */
  readonly maxPerWorker: number;
  /** Several copies of one task may run at once. */
  readonly speculative: boolean;
  /** The tasks run until the job is cancelled and are restarted however they end. */
  readonly lasting: boolean;
  /** Tasks of one image behave alike; empty if unnamed. */
  readonly image: string;
  /** The latency that a lasting task owes its own callers, in milliseconds; 0 for none. */
  readonly targetMs: number;
  /** The processor claim is not reserved: the tasks take what the others leave. */
  readonly fills: boolean;
  /** How many tasks of a lasting step may be away at once through the scheduler's own orders. */
  readonly maxUnavailable: number;
}

/** One task that claims nothing and asks for nothing: what every other step adds to. */
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

/** When a job with occurrences is due. */
export interface Schedule {
  readonly count: number;
  /** Milliseconds since 1970. */
  readonly firstDueMs: number;
  readonly intervalMs: number;
}

/** A job as its caller submitted it. */
export interface JobSpec {
  readonly id: string;
  /** The name of the queue it was submitted to. */
  readonly queue: string;
  /** Handed to each task as it is. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  readonly schedule?: Schedule;
  /** Time of day of the acceptance, in milliseconds since 1970. */
  readonly acceptedMs: number;
}

export type JobState = 'queued' | 'running' | FinalState;

/** A state after which nothing more happens to a job. */
export type FinalState = 'completed' | 'failed' | 'cancelled';

/** What the operators say of a queue. */
export interface QueuePolicy {
  readonly name: string;
  /** The pool of workers that run its tasks. */
  readonly pool: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** A job fails once one task has failed this often. */
  readonly maxAttempts: number;
  /** The job's objective: this many times its longest chain, and `targetLatencyMs` more. */
  readonly stretch: number;
  readonly targetLatencyMs: number;
}

/** Whether nothing more will happen to a job in this state. */
export function isFinal(state: JobState): state is FinalState {
  return state === 'completed' || state === 'failed' || state === 'cancelled';
}
