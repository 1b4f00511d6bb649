import type { JobProgress } from '../job-progress.js';

/** A job with tasks to start and none at a worker for longer than this is overdue, in ms. */
const MAX_IDLE_MS = 15_000;

/** The part of all starts that overdue jobs may have before others. */
const OVERDUE_SHARE = 0.05;

/** Starts that overdue jobs may have saved up, so that a quiet hour earns them no burst. */
const MAX_SAVED_STARTS = 5;

/** While workers have much room, every job is owed so many tasks at workers. */
const OWED_TASKS = 2;

/** The rank of the task of an overdue job. */
export const OVERDUE = 1;

/** The rank of tasks that a job is owed. */
export const OWED = 4;

/** Tasks of a job that go before where its deadline would put them. */
export interface Owed {
  readonly rank: typeof OVERDUE | typeof OWED;
  readonly most: number;
}

/**
 * Jobs that get too little. By urgency alone a job that is late for good comes last in every
 * round, and under a steady load it never runs again. A small part of all starts is theirs whatever
 * the load; with much room they come before the bulk of what is late.
 */
export class StarvedJobs {
  /** Since when jobs that have tasks to start have none at a worker. */
  readonly #idleSinceMs = new WeakMap<JobProgress, number>();

  #savedStarts = 0;

  /** So many overdue jobs may still be served in this round. */
  #mayServe = 0;

  /** A round of looks at all jobs begins. */
  beginRound(): void {
    this.#mayServe = Math.floor(this.#savedStarts);
  }

  /** Looks at a job in a round. */
  owed(job: JobProgress, hasMuchRoom: boolean, nowMs: number): Owed | undefined {
    const bound = job.boundCount(OWED_TASKS);
    if (this.#isOverdue(job, bound, nowMs) && this.#mayServe > 0) {
      this.#mayServe -= 1;
      return { rank: OVERDUE, most: 1 };
    }
    if (!hasMuchRoom || bound >= OWED_TASKS) return undefined;
    return { rank: OWED, most: OWED_TASKS - bound };
  }

  /**
   * No worker had a place for an overdue job. It waits anew: jobs that can never be placed would
   * otherwise take every turn.
   */
  foundNoPlace(job: JobProgress, nowMs: number): void {
    this.#idleSinceMs.set(job, nowMs);
  }

  /** A task was started, for an overdue job or in the usual order. */
  started(isOverdue: boolean): void {
    const saved = this.#savedStarts + (isOverdue ? -1 : OVERDUE_SHARE);
    this.#savedStarts = Math.max(0, Math.min(MAX_SAVED_STARTS, saved));
  }

  #isOverdue(job: JobProgress, bound: number, nowMs: number): boolean {
    if (bound > 0) {
      this.#idleSinceMs.delete(job);
      return false;
    }
    const sinceMs = this.#idleSinceMs.get(job) ?? nowMs;
    this.#idleSinceMs.set(job, sinceMs);
    return nowMs - sinceMs > MAX_IDLE_MS;
  }
}
