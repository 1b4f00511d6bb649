import type { JobSpec, JobState, StepSpec } from './job.js';
import { isFinal } from './job.js';
import { encodeCompact, packedSizeOf } from './internal/compact-progress.js';
import { windowOf } from './internal/occurrence-window.js';
import type { ProgressRecord, TaskTuple } from './internal/progress-record.js';
import { RecordRoom } from './internal/record-room.js';
import { StepReadiness } from './internal/step-readiness.js';
import { PHASES, parseProgress } from './internal/progress-record.js';

/**
 * - `waiting`: not started, or to be restarted.
 * - `bound`: assigned to a worker, where it runs or may run.
 * - `done`, `failed`: ended.
 */
export type TaskPhase = 'waiting' | 'bound' | 'done' | 'failed';

/** A stored binding of a waiting task whose start was not sent (see `AheadBindings`). */
export interface AheadBinding {
  readonly run: number;
  readonly worker: string;
}

/** The second run of a task of a `speculative` step. */
export interface TaskCopy {
  /** Its run number, higher than that of the first run. */
  readonly run: number;
  /**
   * The worker of the run; empty once the run has ended. Its number stays in use until the first run
   * ends, because workers refuse a run number that they have seen end.
   */
  readonly worker: string;
}

/** The progress of one task. */
export interface TaskProgress {
  phase: TaskPhase;
  /** The number of the latest run; 0 before the first. */
  run: number;
  /**
   * The worker of the latest run. It is kept after the run has ended, because the next run avoids
   * this worker if possible.
   */
  worker: string;
  failures: number;
  /** The checkpoint from which the next run resumes; empty to start from the beginning. */
  checkpoint: string;
  /**
   * The weight of its latest runs that crashed their workers, as far as is known (see
   * `CrashSuspects`); absent if none did.
   */
  crashWeight?: number;
  /** Absent unless the task waits and is bound ahead; its record shows it as bound then. */
  ahead?: AheadBinding;
  /** A second run beside the one of `run` and `worker`; absent unless the task is bound. */
  copy?: TaskCopy;
}

/** One execution of all steps of a job. */
export interface Occurrence {
  readonly number: number;
  readonly steps: TaskProgress[][];
}

/** A job and its progress. The leader owns and changes it. */
export class JobProgress {
  readonly spec: JobSpec;

  #state: JobState = 'queued';

  #endedMs = 0;

  readonly #recordRoom = new RecordRoom();

  /** Whether the size of the record is known; that of a loaded job may differ from what was stored. */
  #isRecordSized = true;

  /** Open occurrences, by number. */
  readonly occurrences = new Map<number, Occurrence>();

  readonly #readiness = new WeakMap<Occurrence, StepReadiness>();

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

  /** How much of its record the job uses. */
  get recordRoom(): RecordRoom {
    if (!this.#isRecordSized) this.encode();
    return this.#recordRoom;
  }

  /** Whether any occurrence has yet to be opened. */
  get hasUnopened(): boolean {
    return this.#nextOccurrence < this.occurrenceCount;
  }

  /**
   * Opens the occurrences that are due, the oldest first, until `maxOpen` are open. Returns whether any
   * was opened.
   */
  openDue(timeOfDayMs: number, maxOpen = windowOf(this.spec)): boolean {
    let opened = false;
    while (this.hasUnopened && this.nextDueMs <= timeOfDayMs && this.occurrences.size < maxOpen) {
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

  /** Records that a task of the job has begun. */
  markRunning(): void {
    if (this.#state === 'queued') this.#state = 'running';
  }

  /** Returns whether all tasks that a step depends on are done. */
  isStepReady(occurrence: Occurrence, step: number): boolean {
    let readiness = this.#readiness.get(occurrence);
    if (!readiness) {
      readiness = new StepReadiness(occurrence);
      this.#readiness.set(occurrence, readiness);
    }
    return readiness.isReady(step, this.spec.steps[step]!);
  }

  /**
   * Closes occurrences whose tasks are all done, and completes the job after its last occurrence.
   */
  closeOccurrences(timeOfDayMs: number): void {
    for (const occurrence of this.occurrences.values()) {
      if (occurrence.steps.every((tasks) => tasks.every(isDone))) {
        this.occurrences.delete(occurrence.number);
      }
    }
    if (!this.hasUnopened && this.occurrences.size === 0) this.finish('completed', timeOfDayMs);
  }

  /**
   * Encodes the progress. If that takes more than `maxBytes`, checkpoints are left out, and with them
   * only the work that they would have saved.
   */
  encode(maxBytes = Infinity): string {
    const rec: ProgressRecord = {
      s: this.#state,
      b: this.#nextOccurrence,
      o:
        isFinal(this.#state) && !this.hasBoundTasks()
          ? []
          : [...this.occurrences.values()].map(encodeOccurrence),
    };
    if (this.#endedMs) rec.e = this.#endedMs;
    const text = encodeCompact(rec);
    const checkpointBytes = this.#noteSize(rec, text);
    if (text.length <= maxBytes) return text;
    if (text.length - checkpointBytes > maxBytes && isFinal(this.#state)) return this.encodeEnd();
    return encodeCompact({ ...rec, o: rec.o.map(withoutCheckpoints) });
  }

  /** Records how much of its record the job uses, and returns the size of the checkpoints in it. */
  #noteSize({ o }: ProgressRecord, text: string): number {
    let [startedCount, checkpointBytes] = [0, 0];
    for (const [, steps] of o) {
      for (const tasks of steps) {
        for (const task of tasks) {
          if (typeof task === 'object') {
            startedCount += 1;
            if (task[4]) checkpointBytes += packedSizeOf(task[4]);
          }
        }
      }
    }
    this.#isRecordSized = true;
    this.#recordRoom.written(text.length - checkpointBytes, startedCount);
    return checkpointBytes;
  }

  /**
   * Encodes the state of an ended job without its runs, for a job whose runs make its record too large.
   * A later leader stops the runs that workers report, as an ended job needs none.
   */
  encodeEnd(): string {
    const { state: s } = this;
    return encodeCompact({ s, e: this.#endedMs, b: this.#nextOccurrence, o: [] });
  }

  hasBoundTasks(): boolean {
    for (const { steps } of this.occurrences.values()) {
      if (steps.some((tasks) => tasks.some(({ phase }) => phase === 'bound'))) return true;
    }
    return false;
  }

  /** Returns how many tasks are bound to workers, counting up to `limit`. */
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

  /**
   * Decodes what `encode` returned for the same job.
   *
   * @throws Error if the text is not the progress of this job
   */
  static decode(spec: JobSpec, text: string): JobProgress {
    const rec = parseProgress(spec, text);
    if (!rec) throw new Error(`progress of job ${spec.id} is unreadable`);
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
    progress.#isRecordSized = false;
    return progress;
  }

  /**
   * Decodes only the state and the numbers of tasks that have yet to be started (see
   * `unstartedTasksOf`), for nodes that answer callers but do not schedule. Returns undefined if the
   * text is not the progress of this job; `decode` must not be called with such a text.
   */
  static decodeState(
    spec: JobSpec,
    text: string,
  ): ({ state: JobState; endedMs: number } & UnstartedTasks) | undefined {
    const rec = parseProgress(spec, text);
    return rec && { state: rec.s, endedMs: rec.e ?? 0, ...unstartedIn(spec, rec) };
  }
}

/** How many tasks of a job the leader has yet to start. */
export interface UnstartedTasks {
  /** All of them. */
  readonly unstartedTasks: number;
  /** Those of steps whose earlier steps are done. */
  readonly readyTasks: number;
}

/**
 * Returns how many tasks of a new job the leader has to start. Long-running and scheduled jobs count
 * as none: they are accepted whatever waits.
 */
export function unstartedTasksOf({ schedule, steps }: JobSpec): UnstartedTasks {
  let [unstartedTasks, readyTasks] = [0, 0];
  for (const { lasting, taskCount, after } of schedule ? [] : steps) {
    if (!lasting) unstartedTasks += taskCount;
    if (!lasting && after.length === 0) readyTasks += taskCount;
  }
  return { unstartedTasks, readyTasks };
}

function unstartedIn({ schedule, steps }: JobSpec, { s, o }: ProgressRecord): UnstartedTasks {
  let [unstartedTasks, readyTasks] = [0, 0];
  for (const [, stepTasks] of schedule || isFinal(s) ? [] : o) {
    const areDone = stepTasks.map((tasks) => tasks.every((tuple) => tuple === 1));
    for (const [step, tasks] of stepTasks.entries()) {
      const { lasting, after } = steps[step]!;
      const count = lasting ? 0 : tasks.filter(isUnstarted).length;
      unstartedTasks += count;
      if (count > 0 && after.every((earlier) => areDone[earlier])) readyTasks += count;
    }
  }
  return { unstartedTasks, readyTasks };
}

function isUnstarted(tuple: TaskTuple): boolean {
  return tuple === 0 || (tuple !== 1 && PHASES[tuple[0]] === 'waiting');
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

function withoutCheckpoints([number, steps]: [number, TaskTuple[][]]): [number, TaskTuple[][]] {
  const without = (task: TaskTuple): TaskTuple =>
    typeof task === 'object' ? (task.with(4, '') as TaskTuple) : task;
  return [number, steps.map((tasks) => tasks.map(without))];
}

function encodeTask(task: TaskProgress): TaskTuple {
  if (task.phase === 'done') return 1;
  const isBoundAhead = task.phase === 'waiting' && task.ahead !== undefined;
  if (task.phase === 'waiting' && task.run === 0 && !isBoundAhead) return 0;
  const { failures, checkpoint, crashWeight = 0, copy } = task;
  const { run, worker } = isBoundAhead ? task.ahead! : task;
  const index = PHASES.indexOf(isBoundAhead ? 'bound' : task.phase);
  if (task.phase === 'bound' && copy)
    return [index, run, worker, failures, checkpoint, crashWeight, copy.run, copy.worker];
  const tuple: TaskTuple = [index, run, worker, failures, checkpoint];
  if (crashWeight) tuple.push(crashWeight);
  return tuple;
}

function decodeTask(tuple: TaskTuple): TaskProgress {
  if (tuple === 0) return newTask();
  if (tuple === 1) return { ...newTask(), phase: 'done' };
  const [phase, run, worker, failures, checkpoint, crashWeight, copyRun, copyWorker] = tuple;
  const task: TaskProgress = { phase: PHASES[phase]!, run, worker, failures, checkpoint };
  if (crashWeight) task.crashWeight = crashWeight;
  if (copyRun !== undefined) task.copy = { run: copyRun, worker: copyWorker! };
  return task;
}
