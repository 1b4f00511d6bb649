import type { IdleAllowance } from './idle-jobs.js';

/** The time over which ended tasks are counted, in milliseconds. */
const WINDOW_MS = 4_000;

/** Ends within this time are counted in one bucket, in milliseconds. */
const BUCKET_MS = 250;

/** The time for which ends must have been counted before waits are estimated, in milliseconds. */
const MIN_OBSERVED_MS = 1_000;

/**
 * Fewer idle jobs than this get their priority starts within one or two rounds, however few tasks
 * end.
 */
const MIN_IDLE_JOBS = 32;

interface Bucket {
  readonly sinceMs: number;
  count: number;
}

/**
 * Estimates how long idle jobs wait for their priority starts. The estimate is based on the tasks
 * that ended in the last seconds, because each of them makes capacity for one more, whereas starts
 * also use capacity that was free before. Only a share of the starts is for idle jobs, so with too
 * many idle jobs each of them waits for longer than its allowance.
 */
export class IdleWaitEstimator {
  readonly #sinceMs: number;

  readonly #buckets = new Map<string, Bucket[]>();

  constructor(nowMs: number) {
    this.#sinceMs = nowMs;
  }

  /** Counts an ended task of a capacity class. */
  ended(capacityClass: string, nowMs: number): void {
    const buckets = this.#buckets.get(capacityClass) ?? [];
    this.#buckets.set(capacityClass, buckets);
    const newest = buckets.at(-1);
    if (newest && nowMs - newest.sinceMs < BUCKET_MS) newest.count += 1;
    else buckets.push({ sinceMs: nowMs, count: 1 });
    while (buckets[0]!.sinceMs < nowMs - WINDOW_MS) buckets.shift();
  }

  /**
   * Returns after how many milliseconds so many idle jobs of a capacity class no longer wait too
   * long if no job is added; undefined if they do not now, or if no task of the class ends, because
   * nothing is known about its waits then.
   */
  retryAfterMs(
    capacityClass: string,
    idleJobs: number,
    allowance: IdleAllowance,
    nowMs: number,
  ): number | undefined {
    const observedMs = Math.min(WINDOW_MS, nowMs - this.#sinceMs);
    if (observedMs < MIN_OBSERVED_MS || idleJobs < MIN_IDLE_JOBS) return undefined;
    const priorityStarts = this.#count(capacityClass, nowMs) * allowance.share;
    const excessMs = (idleJobs * observedMs) / priorityStarts - allowance.idleMs;
    return priorityStarts > 0 && excessMs > 0 ? Math.ceil(excessMs) : undefined;
  }

  #count(capacityClass: string, nowMs: number): number {
    const recent = (this.#buckets.get(capacityClass) ?? []).filter(
      ({ sinceMs }) => sinceMs >= nowMs - WINDOW_MS,
    );
    return recent.reduce((sum, { count }) => sum + count, 0);
  }
}
