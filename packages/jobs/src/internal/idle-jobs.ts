import type { JobProgress } from '../job-progress.js';

/** How long jobs may be idle, and how many starts are kept for starved jobs. */
export interface IdleAllowance {
  /** How long a job may be idle before it is starved, in milliseconds. */
  readonly idleMs: number;
  /** The share of all starts that starved jobs may have before other jobs. */
  readonly share: number;
}

/** The allowance while many processors are not reserved. */
const ALLOWANCE_WITH_CAPACITY: IdleAllowance = { idleMs: 2_000, share: 1 };

/** The allowance while nearly all processors are reserved. */
const ALLOWANCE_WHEN_FULL: IdleAllowance = { idleMs: 10_000, share: 0.15 };

/** Up to this reserved share of the processors, `ALLOWANCE_WITH_CAPACITY` applies. */
export const AMPLE_CAPACITY_BELOW = 0.6;

/** From this reserved share on, `ALLOWANCE_WHEN_FULL` applies. */
const FULL_ABOVE = 0.85;

/**
 * A job that has been idle for this many times its allowance also accepts a worker on which it runs
 * slowly.
 */
const LONG_STARVED_FACTOR = 1.25;

/**
 * The maximum number of priority starts that can be saved up, so that no burst follows a quiet
 * hour.
 */
const MAX_START_CREDIT = 5;

/** The maximum number of starved jobs for which a priority start is tried in one round. */
const MAX_PRIORITY_STARTS = 16;

/** A job that is idle for longer than this is logged, in milliseconds. */
const LOGGED_IDLE_MS = 3_000;

/** The rank of a task that is a priority start of a starved job. */
export const STARVED_RANK = 1;

/** The rank of the first task of an idle job, ahead of the tasks of jobs that can only end late. */
export const CATCH_UP_RANK = 4;

/** A job with tasks ready to start and none running. */
interface IdleJob {
  readonly sinceMs: number;
  isLogged: boolean;
  /**
   * Starved jobs get their priority starts in the order of this time: when the job became idle, or
   * was last passed over.
   */
  queuedSinceMs: number;
}

/**
 * Tracks the jobs without a running task. By urgency alone, a job that can only end late would come
 * last in every round, and under a steady load it would never run again. Therefore idle jobs come
 * first among those that cannot end in time, and a starved job comes before everything except
 * long-running tasks that were running before. After how long a job is starved, and how many starts
 * are left to other jobs, depends on the reserved share of the processors: while there is free
 * capacity, no load justifies an idle job.
 *
 * Starved jobs get their priority starts in turn, the one that has been idle longest first. In any
 * other order the first ones would be starved again before the last one had its start, and the last
 * one would wait without bound.
 */
export class IdleJobs {
  readonly #idle = new WeakMap<JobProgress, IdleJob>();

  /** Jobs with a task that was bound and may never begin: since when they were idle before. */
  readonly #formerSinceMs = new WeakMap<JobProgress, number>();

  #allowance = ALLOWANCE_WHEN_FULL;

  #startCredit = 0;

  /** Starts a round in which this share of the processors is reserved. */
  startRound(reservedShare: number): void {
    this.#allowance = allowanceAt(reservedShare);
  }

  /**
   * Updates whether a job with tasks to start or halted is idle. `haltedCount` of its bound tasks
   * are halted and do not count as running.
   */
  update(job: JobProgress, haltedCount: number, nowMs: number): void {
    if (job.boundCount(haltedCount + 1) > haltedCount) this.#idle.delete(job);
    else if (!this.#idle.has(job)) this.markIdle(job, this.#formerSinceMs.get(job) ?? nowMs);
  }

  /** Records that the job has been idle since the given time. */
  markIdle(job: JobProgress, sinceMs: number): void {
    this.#idle.set(job, { sinceMs, isLogged: false, queuedSinceMs: sinceMs });
  }

  /** The allowance of the latest round. */
  get allowance(): IdleAllowance {
    return this.#allowance;
  }

  /** Returns whether the job has been idle for longer than its allowance. */
  isStarved(job: JobProgress, nowMs: number): boolean {
    const idleMs = this.idleMs(job, nowMs);
    return idleMs !== undefined && idleMs > this.#allowance.idleMs;
  }

  /** Returns whether the job has been idle for so long that any worker is better than none. */
  isLongStarved(job: JobProgress, nowMs: number): boolean {
    const idleMs = this.idleMs(job, nowMs);
    return idleMs !== undefined && idleMs > LONG_STARVED_FACTOR * this.#allowance.idleMs;
  }

  /** Returns how long the job has been idle, in milliseconds; undefined if it is not idle. */
  idleMs(job: JobProgress, nowMs: number): number | undefined {
    const idle = this.#idle.get(job);
    return idle && nowMs - idle.sinceMs;
  }

  /**
   * Returns whether the job has been idle long enough to be logged. Returns true only once for each
   * idle period.
   */
  shouldLogIdle(job: JobProgress, nowMs: number): boolean {
    const idle = this.#idle.get(job);
    if (!idle || idle.isLogged || nowMs - idle.sinceMs <= LOGGED_IDLE_MS) return false;
    idle.isLogged = true;
    return true;
  }

  /**
   * Returns the starved jobs that may have a priority start in this round, in the order of their
   * starts.
   */
  withPriorityStart(starved: readonly JobProgress[]): readonly JobProgress[] {
    if (this.#startCredit < 1) return [];
    return [...starved]
      .sort((a, b) => this.queuedSinceMs(a) - this.queuedSinceMs(b))
      .slice(0, MAX_PRIORITY_STARTS);
  }

  /** Returns the sort key of the job's priority start; idle jobs with a lower value come first. */
  queuedSinceMs(job: JobProgress): number {
    return this.#idle.get(job)?.queuedSinceMs ?? Infinity;
  }

  /** Returns whether a task of a starved job may still have a priority start in this round. */
  mayStart(job: JobProgress): boolean {
    return this.#startCredit >= 1 && this.#idle.has(job);
  }

  /**
   * Puts a starved job behind the others, because it found no worker and a job after it did.
   * Otherwise jobs that can never be placed would take every priority start. If no job finds a
   * worker, the order stays: the next capacity that becomes free may suit the first job.
   */
  passedOver(job: JobProgress, nowMs: number): void {
    const idle = this.#idle.get(job);
    if (idle) idle.queuedSinceMs = nowMs;
  }

  /** Records that a task of the job has begun. Until then, the job counts as idle all the while. */
  began(job: JobProgress): void {
    this.#formerSinceMs.delete(job);
  }

  /** Records that a task is bound, either as a priority start or in the usual order. */
  started(job: JobProgress, isPriorityStart: boolean): void {
    const idle = this.#idle.get(job);
    if (idle) this.#formerSinceMs.set(job, idle.sinceMs);
    this.#idle.delete(job);
    const credit = this.#startCredit + this.#allowance.share - (isPriorityStart ? 1 : 0);
    this.#startCredit = Math.max(0, Math.min(MAX_START_CREDIT, credit));
  }
}

/**
 * Interpolates linearly between the two allowances, so that a few services more or fewer cause no
 * abrupt change.
 */
function allowanceAt(reservedShare: number): IdleAllowance {
  const position = (reservedShare - AMPLE_CAPACITY_BELOW) / (FULL_ABOVE - AMPLE_CAPACITY_BELOW);
  const fraction = Math.max(0, Math.min(1, position));
  const interpolate = (from: number, to: number): number => from + fraction * (to - from);
  return {
    idleMs: interpolate(ALLOWANCE_WITH_CAPACITY.idleMs, ALLOWANCE_WHEN_FULL.idleMs),
    share: interpolate(ALLOWANCE_WITH_CAPACITY.share, ALLOWANCE_WHEN_FULL.share),
  };
}
