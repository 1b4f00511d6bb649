import type { JobProgress } from '../job-progress.js';

/** What idle jobs may have. */
export interface IdleAllowance {
  /** For how long a job may be idle before it is overdue, in milliseconds. */
  readonly idleMs: number;
  /** The part of all starts that overdue jobs may have before others. */
  readonly share: number;
}

/** While much of the processors is not reserved. */
const ALLOWANCE_WITH_CAPACITY: IdleAllowance = { idleMs: 2_000, share: 1 };

/** Where nearly all processors are reserved. */
const ALLOWANCE_WHEN_FULL: IdleAllowance = { idleMs: 10_000, share: 0.15 };

/** Up to this part of the processors reserved, much is not. */
const AMPLE_CAPACITY_BELOW = 0.6;

/** From this part on nearly all are. */
const FULL_ABOVE = 0.85;

/** After this many times the idle time that it may have, a job takes a slow place as well. */
const LONG_STARVED_FACTOR = 1.25;

/** Starts that overdue jobs may have saved up, so that a quiet hour earns them no burst. */
const MAX_START_CREDIT = 5;

/** Places are looked for on behalf of so many overdue jobs in one round at most. */
const MAX_PRIORITY_STARTS = 16;

/** A job that is idle for longer than this gets a line in the log, in milliseconds. */
const LOGGED_IDLE_MS = 3_000;

/** The rank of the task of an overdue job. */
export const STARVED_RANK = 1;

/** The rank of the task that an idle job is owed. */
export const CATCH_UP_RANK = 4;

/** A job with tasks to start and none at work. */
interface IdleJob {
  readonly sinceMs: number;
  isLogged: boolean;
  /** Overdue jobs have their turns in the order of this: since when they are idle, or found no place. */
  queuedSinceMs: number;
}

/**
 * Jobs of which nothing is at work. By urgency alone a job that is late for good comes last in every
 * round, and under a steady load it never runs again. So of what cannot end in time, idle jobs come
 * first, and once one is overdue it comes before all but lasting tasks that were at work before. How
 * long that takes, and how many starts are left to others, goes by the part of the processors that is
 * reserved: with room to spare no load is a reason to leave a job alone.
 *
 * Overdue jobs take turns, the one that is idle longest first. In any other order those at the
 * front are overdue again before the last had a turn, and that one waits without bound.
 */
export class IdleJobs {
  readonly #idle = new WeakMap<JobProgress, IdleJob>();

  #allowance = ALLOWANCE_WHEN_FULL;

  #startCredit = 0;

  /** A round begins with this part of the processors reserved. */
  startRound(reservedShare: number): void {
    this.#allowance = allowanceAt(reservedShare);
  }

  /** Looks at a job that could go on, of which so many tasks at workers are halted. */
  update(job: JobProgress, haltedCount: number, nowMs: number): void {
    if (job.boundCount(haltedCount + 1) > haltedCount) this.#idle.delete(job);
    else if (!this.#idle.has(job)) this.markIdle(job, nowMs);
  }

  /** The job is idle since then. */
  markIdle(job: JobProgress, sinceMs: number): void {
    this.#idle.set(job, { sinceMs, isLogged: false, queuedSinceMs: sinceMs });
  }

  /** As of the newest round. */
  get allowance(): IdleAllowance {
    return this.#allowance;
  }

  /** Whether a job is idle for longer than it may be. */
  isStarved(job: JobProgress, nowMs: number): boolean {
    const idleMs = this.idleMs(job, nowMs);
    return idleMs !== undefined && idleMs > this.#allowance.idleMs;
  }

  /** Whether it is overdue for so long that any place is better than none. */
  isLongStarved(job: JobProgress, nowMs: number): boolean {
    const idleMs = this.idleMs(job, nowMs);
    return idleMs !== undefined && idleMs > LONG_STARVED_FACTOR * this.#allowance.idleMs;
  }

  /** For how long a job has been idle, in milliseconds; undefined where it is not. */
  idleMs(job: JobProgress, nowMs: number): number | undefined {
    const idle = this.#idle.get(job);
    return idle && nowMs - idle.sinceMs;
  }

  /** Whether a job is idle for long, and was not asked for since it is. */
  shouldLogIdle(job: JobProgress, nowMs: number): boolean {
    const idle = this.#idle.get(job);
    if (!idle || idle.isLogged || nowMs - idle.sinceMs <= LOGGED_IDLE_MS) return false;
    idle.isLogged = true;
    return true;
  }

  /** The overdue jobs whose turn it is in this round, in the order of their turns. */
  withPriorityStart(starved: readonly JobProgress[]): readonly JobProgress[] {
    if (this.#startCredit < 1) return [];
    return [...starved]
      .sort((a, b) => this.queuedSinceMs(a) - this.queuedSinceMs(b))
      .slice(0, MAX_PRIORITY_STARTS);
  }

  /** Idle jobs with a lower value have their turns first. */
  queuedSinceMs(job: JobProgress): number {
    return this.#idle.get(job)?.queuedSinceMs ?? Infinity;
  }

  /** Whether a task of an overdue job may still be started in this round. */
  mayStart(job: JobProgress): boolean {
    return this.#startCredit >= 1 && this.#idle.has(job);
  }

  /**
   * An overdue job found no place where others did after it. It waits behind the rest: jobs that can
   * never be placed would otherwise take every turn. Where nobody finds a place it keeps its turn, as
   * the next room that comes free may be its own.
   */
  passedOver(job: JobProgress, nowMs: number): void {
    const idle = this.#idle.get(job);
    if (idle) idle.queuedSinceMs = nowMs;
  }

  /** A task of a job was started, as an overdue one's or in the usual order. */
  started(job: JobProgress, isPriorityStart: boolean): void {
    this.#idle.delete(job);
    const credit = this.#startCredit + this.#allowance.share - (isPriorityStart ? 1 : 0);
    this.#startCredit = Math.max(0, Math.min(MAX_START_CREDIT, credit));
  }
}

/** Changes evenly from one allowance to the other: a few services more or fewer decide nothing. */
function allowanceAt(reservedShare: number): IdleAllowance {
  const position = (reservedShare - AMPLE_CAPACITY_BELOW) / (FULL_ABOVE - AMPLE_CAPACITY_BELOW);
  const fraction = Math.max(0, Math.min(1, position));
  const interpolate = (from: number, to: number): number => from + fraction * (to - from);
  return {
    idleMs: interpolate(ALLOWANCE_WITH_CAPACITY.idleMs, ALLOWANCE_WHEN_FULL.idleMs),
    share: interpolate(ALLOWANCE_WITH_CAPACITY.share, ALLOWANCE_WHEN_FULL.share),
  };
}
