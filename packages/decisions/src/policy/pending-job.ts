import type { Job } from '@redwingcrank/protocol';
import type { ControlFold } from '../control-fold.js';
import { taskIdOf } from '../task-ids.js';
import type { AttemptRef } from './pass-context.js';
import type { Unplaced, WaitReason } from './plan-step.js';

/** A job with waiting tasks. They have the same requirements, so only the next one is examined. */
export class PendingJob {
  readonly job: Job;

  /** The number of waiting tasks, without those that have used up their attempts. */
  readonly count: number;

  /** The ids of tasks that are never started again because too many attempts failed. */
  readonly exhausted: readonly string[];

  #blockedTaskId: string | undefined;

  readonly #dataCentre: string;

  readonly #fold: ControlFold;

  readonly #attemptRefs: Generator<AttemptRef>;

  #next: AttemptRef | undefined;

  #takenCount = 0;

  constructor(fold: ControlFold, dataCentre: string, job: Job) {
    this.job = job;
    this.#fold = fold;
    this.#dataCentre = dataCentre;
    const owned = fold.index.of('job', job.name);
    const exhausted: string[] = [];
    let ended = 0;
    for (const taskId of owned?.ended ?? []) {
      if ((fold.tasks.get(taskId)?.failures ?? 0) < job.maxAttempts) ended += 1;
      else exhausted.push(taskId);
    }
    this.exhausted = exhausted;
    this.count = ended + (owned?.gaps.size ?? 0) + Math.max(0, job.tasks - (owned?.next ?? 0));
    this.#attemptRefs = this.#attempts();
    this.#advance();
  }

  /** The id of a task that is already used by a replica of a service that once had this name. */
  get blockedTaskId(): string | undefined {
    return this.#blockedTaskId;
  }

  /** The next attempt to bind, or undefined after the last one. */
  get nextAttempt(): AttemptRef | undefined {
    return this.#next;
  }

  advance(): void {
    this.#takenCount += 1;
    this.#advance();
  }

  /** Describes the tasks that still wait. */
  unplaced(reason: WaitReason): Unplaced {
    const taskId = this.#next?.taskId ?? this.#idOf(0);
    return { taskId, owner: this.job.name, count: this.count - this.#takenCount, reason };
  }

  #advance(): void {
    const result = this.#attemptRefs.next();
    this.#next = result.done ? undefined : result.value;
  }

  /** Yields the attempts to bind. Evicted and failed tasks come first: they were placed before. */
  *#attempts(): Generator<AttemptRef> {
    const owned = this.#fold.index.of('job', this.job.name);
    for (const taskId of owned?.ended ?? []) {
      const task = this.#fold.tasks.get(taskId);
      if (task && task.failures < this.job.maxAttempts) {
        yield { taskId, attempt: task.attempt + 1, checkpoint: task.checkpoint };
      }
    }
    for (const index of owned?.gaps ?? []) yield* this.#firstAttempt(index);
    for (let i = owned?.next ?? 0; i < this.job.tasks; i += 1) yield* this.#firstAttempt(i);
  }

  *#firstAttempt(index: number): Generator<AttemptRef> {
    const taskId = this.#idOf(index);
    // The id may belong to a replica of a service that once had this name. Ids are never reused.
    if (index >= this.job.tasks) return;
    if (this.#fold.tasks.has(taskId)) this.#blockedTaskId = taskId;
    else yield { taskId, attempt: 1 };
  }

  #idOf(index: number): string {
    return taskIdOf(this.#dataCentre, this.job.name, index);
  }
}

/** Returns the pending job, or undefined if no task of the job waits or is exhausted. */
export function pendingJob(
  fold: ControlFold,
  dataCentre: string,
  job: Job,
): PendingJob | undefined {
  const owned = fold.index.of('job', job.name);
  if (owned && owned.live.size + owned.completed >= job.tasks) return undefined;
  return new PendingJob(fold, dataCentre, job);
}
