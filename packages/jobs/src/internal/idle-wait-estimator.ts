import type { RetryAfter } from '../admission.js';
import type { Allowance } from './idle-jobs.js';

/** Ends are counted over so long, in milliseconds. */
const WINDOW_MS = 4_000;

/** Ends of so long are counted as one, in milliseconds. */
const BUCKET_MS = 250;

/** Nothing is said of turns before ends were counted for so long, in milliseconds. */
const LEAST_COUNTED_MS = 1_000;

/** Fewer idle jobs than this have their turns in one or two rounds, however few tasks end. */
const LEAST_CROWD = 32;

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
  ended(lane: string, nowMs: number): void {
    const buckets = this.#buckets.get(lane) ?? [];
    this.#buckets.set(lane, buckets);
    const newest = buckets.at(-1);
    if (newest && nowMs - newest.sinceMs < BUCKET_MS) newest.count += 1;
    else buckets.push({ sinceMs: nowMs, count: 1 });
    while (buckets[0]!.sinceMs < nowMs - WINDOW_MS) buckets.shift();
  }

  /**
   * By lane in which the turns of so many idle jobs take too long: in how many milliseconds they no
   * longer do, if no job comes. Where nothing ends at all nothing is known of them.
   */
  tooLong(idleJobs: ReadonlyMap<string, number>, allowance: Allowance, nowMs: number): RetryAfter {
    const excess: Record<string, number> = {};
    const countedMs = Math.min(WINDOW_MS, nowMs - this.#sinceMs);
    if (countedMs < LEAST_COUNTED_MS) return excess;
    for (const [lane, count] of idleJobs) {
      const turns = this.#count(lane, nowMs) * allowance.share;
      const excessMs = (count * countedMs) / turns - allowance.idleMs;
      if (count >= LEAST_CROWD && turns > 0 && excessMs > 0) excess[lane] = Math.ceil(excessMs);
    }
    return excess;
  }

  #count(lane: string, nowMs: number): number {
    const recent = (this.#buckets.get(lane) ?? []).filter(
      ({ sinceMs }) => sinceMs >= nowMs - WINDOW_MS,
    );
    return recent.reduce((sum, { count }) => sum + count, 0);
  }
}
