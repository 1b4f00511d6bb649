import type { JobProgress } from '../job-progress.js';

/** A job with tasks to start and none at a worker for longer than this is overdue, in ms. */
const MAX_IDLE_MS = 15_000;

/** The part of all starts that overdue jobs may have before others. */
const OVERDUE_SHARE = 0.05;

/** Starts that overdue jobs may have saved up, so that a quiet hour earns them no burst. */
const MAX_SAVED_STARTS = 5;

/** Places are looked for on behalf of so many overdue jobs in one round at most. */
const MAX_TURNS = 16;

/** While workers have much room, every job is owed so many tasks at workers. */
const OWED_TASKS = 2;

/** The rank of the task of an overdue job. */
export const OVERDUE = 1;

/** The rank of tasks that a job is owed. */
export const OWED = 4;

/** A job that is idle for longer than this gets a line in the log, in milliseconds. */
const NOTED_IDLE_MS = 3_000;

/** A job with tasks to start and none at a worker. */
interface IdleJob {
  readonly sinceMs: number;
  isNoted: boolean;
  /** Overdue jobs have their turns in the order of this: when it became due, or found no place. */
  turnMs: number;
}

/**
 * Jobs that get too little. By urgency alone a job that is late for good comes last in every
 * round, and under a steady load it never runs again. A small part of all starts is theirs whatever
 * the load; with much room they come before the bulk of what is late.
 *
 * Overdue jobs take turns, the one that is overdue longest first. In any other order those at the
 * front are overdue again before the last had a turn, and that one waits without bound.
 */
export class StarvedJobs {
  readonly #idle = new WeakMap<JobProgress, IdleJob>();

  #savedStarts = 0;

  /**
   * Looks at a job that could go on, of which so many tasks at workers are halted; returns whether it
   * is overdue.
   */
  isOverdue(job: JobProgress, haltedCount: number, nowMs: number): boolean {
    if (job.boundCount(haltedCount + 1) > haltedCount) {
      this.#idle.delete(job);
      return false;
    }
    const idle = this.#idle.get(job);
    if (!idle) this.#idle.set(job, { sinceMs: nowMs, isNoted: false, turnMs: nowMs + MAX_IDLE_MS });
    return idle !== undefined && nowMs - idle.sinceMs > MAX_IDLE_MS;
  }

  /** For how long a job has been idle, in milliseconds; undefined where it is not. */
  idleMs(job: JobProgress, nowMs: number): number | undefined {
    const idle = this.#idle.get(job);
    return idle && nowMs - idle.sinceMs;
  }

  /** Whether a job is idle for long, and was not asked for since it is. */
  isNewlyIdle(job: JobProgress, nowMs: number): boolean {
    const idle = this.#idle.get(job);
    if (!idle || idle.isNoted || nowMs - idle.sinceMs <= NOTED_IDLE_MS) return false;
    idle.isNoted = true;
    return true;
  }

  /** The overdue jobs whose turn it is in this round, in the order of their turns. */
  turnsOf(overdue: readonly JobProgress[]): readonly JobProgress[] {
    if (this.#savedStarts < 1) return [];
    return [...overdue].sort((a, b) => this.turnMs(a) - this.turnMs(b)).slice(0, MAX_TURNS);
  }

  /** Overdue jobs with a lower value have their turns first. */
  turnMs(job: JobProgress): number {
    return this.#idle.get(job)?.turnMs ?? Infinity;
  }

  /** Whether a task of an overdue job may still be started in this round. */
  mayStart(job: JobProgress): boolean {
    return this.#savedStarts >= 1 && this.#idle.has(job);
  }

  /** How many tasks of a job go first while workers have much room. */
  owedTasks(job: JobProgress): number {
    return OWED_TASKS - job.boundCount(OWED_TASKS);
  }

  /**
   * An overdue job found no place where others did after it. It waits behind the rest: jobs that can
   * never be placed would otherwise take every turn. Where nobody finds a place it keeps its turn, as
   * the next room that comes free may be its own.
   */
  passedOver(job: JobProgress, nowMs: number): void {
    const idle = this.#idle.get(job);
    if (idle) idle.turnMs = nowMs;
  }

  /** A task of a job was started, as an overdue one's or in the usual order. */
  started(job: JobProgress, isOverdue: boolean): void {
    this.#idle.delete(job);
    const saved = this.#savedStarts + (isOverdue ? -1 : OVERDUE_SHARE);
    this.#savedStarts = Math.max(0, Math.min(MAX_SAVED_STARTS, saved));
  }
}
