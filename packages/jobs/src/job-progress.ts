import type { JobSpec, JobState, StepSpec } from './job.js';
import { isFinal } from './job.js';
import type { ProgressRecord, TaskTuple } from './internal/progress-record.js';
import { PHASES, parseProgress } from './internal/progress-record.js';

/**
 * - `waiting`: not started, or to be started again.
 * - `bound`: given to a worker; it runs there, or may.
 * - `done`, `failed`: over.
 */
export type TaskPhase = 'waiting' | 'bound' | 'done' | 'failed';

/** How far one task has come. */
export interface TaskProgress {
  phase: TaskPhase;
  /** The number of the newest start; 0 before the first. */
  run: number;
  /** The worker of the newest start; kept after it as the place to avoid. */
  worker: string;
  failures: number;
  /** What the next start resumes from; empty to begin anew. */
  checkpoint: string;
}

/** One pass through a job's steps. */
export interface Occurrence {
  readonly number: number;
  readonly steps: TaskProgress[][];
}

/** A job together with how far it has come. The scheduling node owns and changes it. */
export class JobProgress {
  readonly spec: JobSpec;

  #state: JobState = 'queued';

  #endedMs = 0;

  /** Occurrences that are under way, by number. */
  readonly occurrences = new Map<number, Occurrence>();

  #nextOccurrence = 0;

  constructor(spec: JobSpec) {
    this.spec = spec;
  }

  get state(): JobState {
    return this.#state;
  }

  /** Time of day at which the job reached a final state; 0 before that. */
  get endedMs(): number {
    return this.#endedMs;
  }

  get nextOccurrence(): number {
    return this.#nextOccurrence;
  }

  get occurrenceCount(): number {
    return this.spec.schedule?.count ?? 1;
  }

  /** Time of day at which the next occurrence is due. */
  get nextDueMs(): number {
    const { schedule } = this.spec;
    if (!schedule) return 0;
    return schedule.firstDueMs + this.#nextOccurrence * schedule.intervalMs;
  }

  /** Opens every occurrence that is due; returns whether there was one. */
  openDue(timeOfDayMs: number): boolean {
    let opened = false;
    while (this.#nextOccurrence < this.occurrenceCount && this.nextDueMs <= timeOfDayMs) {
      const number = this.#nextOccurrence;
      this.#nextOccurrence += 1;
      this.occurrences.set(number, { number, steps: this.spec.steps.map(newTasks) });
      opened = true;
    }
    return opened;
  }

  finish(state: JobState, timeOfDayMs: number): void {
    if (isFinal(this.#state)) return;
    this.#state = state;
    this.#endedMs = timeOfDayMs;
  }

  markRunning(): void {
    if (this.#state === 'queued') this.#state = 'running';
  }

  /** Whether all tasks that a step depends on have ended. */
  isStepReady(occurrence: Occurrence, step: number): boolean {
    const { after } = this.spec.steps[step]!;
    return after.every((earlier) => occurrence.steps[earlier]!.every(isDone));
  }

  /** Closes occurrences whose tasks are all done, and the job after its last. */
  closeOccurrences(timeOfDayMs: number): void {
    for (const occurrence of this.occurrences.values()) {
      if (occurrence.steps.every((tasks) => tasks.every(isDone))) {
        this.occurrences.delete(occurrence.number);
      }
    }
    const allOpened = this.#nextOccurrence === this.occurrenceCount;
    if (allOpened && this.occurrences.size === 0) this.finish('completed', timeOfDayMs);
  }

  encode(): string {
    const rec: ProgressRecord = {
      s: this.#state,
      b: this.#nextOccurrence,
      o:
        isFinal(this.#state) && !this.hasBoundTasks()
          ? []
          : [...this.occurrences.values()].map(encodeOccurrence),
    };
    if (this.#endedMs) rec.e = this.#endedMs;
    return JSON.stringify(rec);
  }

  hasBoundTasks(): boolean {
    for (const { steps } of this.occurrences.values()) {
      if (steps.some((tasks) => tasks.some(({ phase }) => phase === 'bound'))) return true;
    }
    return false;
  }

  /** How many tasks are given to workers; counted up to `most`. */
  boundCount(limit: number): number {
    let count = 0;
    for (const { steps } of this.occurrences.values()) {
      for (const tasks of steps) {
        for (const { phase } of tasks) {
          if (phase === 'bound') count += 1;
          if (count >= limit) return count;
        }
      }
    }
    return count;
  }

  /** Reads back what `encode` has written for the same job. */
  static decode(spec: JobSpec, text: string): JobProgress {
    const rec = JSON.parse(text) as ProgressRecord;
    const progress = new JobProgress(spec);
    progress.#state = rec.s;
    progress.#endedMs = rec.e ?? 0;
    progress.#nextOccurrence = rec.b;
    for (const [number, steps] of rec.o) {
      progress.occurrences.set(number, {
        number,
        steps: steps.map((tasks) => tasks.map(decodeTask)),
      });
    }
    return progress;
  }

  /**
   * The state alone, for nodes that only answer callers; undefined where the text is no progress of
   * this job, and `decode` must not be called with it.
   */
  static decodeState(
    spec: JobSpec,
    text: string,
  ): { state: JobState; endedMs: number } | undefined {
    const rec = parseProgress(spec, text);
    return rec && { state: rec.s, endedMs: rec.e ?? 0 };
  }
}

function isDone({ phase }: TaskProgress): boolean {
  return phase === 'done';
}

function newTasks({ taskCount }: StepSpec): TaskProgress[] {
  return Array.from({ length: taskCount }, () => newTask());
}

function newTask(): TaskProgress {
  return { phase: 'waiting', run: 0, worker: '', failures: 0, checkpoint: '' };
}

function encodeOccurrence({ number, steps }: Occurrence): [number, TaskTuple[][]] {
  return [number, steps.map((tasks) => tasks.map(encodeTask))];
}

function encodeTask(task: TaskProgress): TaskTuple {
  if (task.phase === 'done') return 1;
  if (task.phase === 'waiting' && task.run === 0) return 0;
  return [PHASES.indexOf(task.phase), task.run, task.worker, task.failures, task.checkpoint];
}

function decodeTask(tuple: TaskTuple): TaskProgress {
  if (tuple === 0) return newTask();
  if (tuple === 1) return { ...newTask(), phase: 'done' };
  const [phase, run, worker, failures, checkpoint] = tuple;
  return { phase: PHASES[phase]!, run, worker, failures, checkpoint };
}
