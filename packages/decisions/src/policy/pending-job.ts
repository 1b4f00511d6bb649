import type { Job } from '@redwingcrank/protocol';
import type { ControlFold } from '../control-fold.js';
import { taskIdOf } from '../task-ids.js';
import type { AttemptRef } from './pass-context.js';
import type { Unplaced, WaitReason } from './plan-step.js';

/** A job that has tasks without an attempt. Its tasks are alike, so it stands for all of them. */
export class PendingJob {
  readonly job: Job;

  /** How many of its tasks wait; those that are out of attempts are not among them. */
  readonly count: number;

  /** Tasks that are never started again, because too many attempts failed. */
  readonly exhausted: readonly string[];

  #blocked: string | undefined;

  readonly #dataCentre: string;

  readonly #fold: ControlFold;

  readonly #refs: Generator<AttemptRef>;

  #next: AttemptRef | undefined;

  #taken = 0;

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
    this.#refs = this.#attempts();
    this.#advance();
  }

  /** A task whose identity belongs to a replica of a service that once had this name. */
  get blockedTaskId(): string | undefined {
    return this.#blocked;
  }

  /** The next attempt to bind, or undefined after the last. */
  get nextAttempt(): AttemptRef | undefined {
    return this.#next;
  }

  advance(): void {
    this.#taken += 1;
    this.#advance();
  }

  /** What still waits. */
  unplaced(reason: WaitReason): Unplaced {
    const taskId = this.#next?.taskId ?? this.#idOf(0);
    return { taskId, owner: this.job.name, count: this.count - this.#taken, reason };
  }

  #advance(): void {
    const result = this.#refs.next();
    this.#next = result.done ? undefined : result.value;
  }

  /** Work that was evicted or failed comes first: it has a place in line already. */
  *#attempts(): Generator<AttemptRef> {
    const owned = this.#fold.index.of('job', this.job.name);
    for (const taskId of owned?.ended ?? []) {
      const task = this.#fold.tasks.get(taskId);
      if (task && task.failures < this.job.maxAttempts) {
        yield { taskId, attempt: task.attempt + 1, checkpoint: task.checkpoint };
      }
    }
    for (const index of owned?.gaps ?? []) yield* this.#first(index);
    for (let i = owned?.next ?? 0; i < this.job.tasks; i += 1) yield* this.#first(i);
  }

  *#first(index: number): Generator<AttemptRef> {
    const taskId = this.#idOf(index);
    // A replica of a service that once had this name may own the identity; it is never reused.
    if (index >= this.job.tasks) return;
    if (this.#fold.tasks.has(taskId)) this.#blocked = taskId;
    else yield { taskId, attempt: 1 };
  }

  #idOf(index: number): string {
    return taskIdOf(this.#dataCentre, this.job.name, index);
  }
}

/** The job, where it has anything that waits or was given up. */
export function pendingJob(
  fold: ControlFold,
  dataCentre: string,
  job: Job,
): PendingJob | undefined {
  const owned = fold.index.of('job', job.name);
  if (owned && owned.live.size + owned.completed >= job.tasks) return undefined;
  return new PendingJob(fold, dataCentre, job);
}
