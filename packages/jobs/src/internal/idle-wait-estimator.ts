import type { RetryAfter } from '../admission.js';
import type { IdleAllowance } from './idle-jobs.js';

/** Ends are counted over so long, in milliseconds. */
const WINDOW_MS = 4_000;

/** Ends of so long are counted as one, in milliseconds. */
const BUCKET_MS = 250;

/** Nothing is said of turns before ends were counted for so long, in milliseconds. */
const MIN_OBSERVED_MS = 1_000;

/** Fewer idle jobs than this have their turns in one or two rounds, however few tasks end. */
const MIN_IDLE_JOBS = 32;

interface Bucket {
  readonly sinceMs: number;
  count: number;
}

/**
 * How long idle jobs wait for their turns, by the tasks that ended in the last seconds: each makes room
 * for one more, while starts also fill what was empty. Only a share of these is for idle jobs, so with
 * too many of them each waits for longer than it may.
 */
export class IdleWaitEstimator {
  readonly #sinceMs: number;

  readonly #buckets = new Map<string, Bucket[]>();

  constructor(nowMs: number) {
    this.#sinceMs = nowMs;
  }

  /** A task of a lane has ended. */
  ended(capacityClass: string, nowMs: number): void {
    const buckets = this.#buckets.get(capacityClass) ?? [];
    this.#buckets.set(capacityClass, buckets);
    const newest = buckets.at(-1);
    if (newest && nowMs - newest.sinceMs < BUCKET_MS) newest.count += 1;
    else buckets.push({ sinceMs: nowMs, count: 1 });
    while (buckets[0]!.sinceMs < nowMs - WINDOW_MS) buckets.shift();
  }

  /**
   * By lane in which the turns of so many idle jobs take too long: in how many milliseconds they no
   * longer do, if no job comes. Where nothing ends at all nothing is known of them.
   */
  retryAfter(
    idleJobs: ReadonlyMap<string, number>,
    allowance: IdleAllowance,
    nowMs: number,
  ): RetryAfter {
    const excess: Record<string, number> = {};
    const observedMs = Math.min(WINDOW_MS, nowMs - this.#sinceMs);
    if (observedMs < MIN_OBSERVED_MS) return excess;
    for (const [capacityClass, count] of idleJobs) {
      const priorityStarts = this.#count(capacityClass, nowMs) * allowance.share;
      const excessMs = (count * observedMs) / priorityStarts - allowance.idleMs;
      if (count >= MIN_IDLE_JOBS && priorityStarts > 0 && excessMs > 0)
        excess[capacityClass] = Math.ceil(excessMs);
    }
    return excess;
  }

  #count(capacityClass: string, nowMs: number): number {
    const recent = (this.#buckets.get(capacityClass) ?? []).filter(
      ({ sinceMs }) => sinceMs >= nowMs - WINDOW_MS,
    );
    return recent.reduce((sum, { count }) => sum + count, 0);
  }
}
