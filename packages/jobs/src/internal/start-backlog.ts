import { clampedStartRate } from '../admission.js';
import { CountByPriority } from './count-by-priority.js';

/** The time over which starts are counted, in milliseconds. */
const WINDOW_MS = 4_000;

/** Starts within this time are counted in one bucket, in milliseconds. */
const BUCKET_MS = 250;

/**
 * Rounds must have been cut short for this time before the leader counts as overloaded, in
 * milliseconds: a single large job takes some rounds.
 */
const MIN_OVERLOADED_MS = 1_000;

/**
 * How long the waiting tasks of accepted jobs may take to be started, in milliseconds: a third of
 * the longest wait of an accepted job, as later steps and tasks that fail need starts too.
 */
const MAX_START_WAIT_MS = 5_000;

/** Weight of the newest measurement in the moving average of the rate. */
const NEWEST_WEIGHT = 0.25;

/**
 * How long the rate stays as it was measured last while the leader is not overloaded, in
 * milliseconds: a new leader measures it first.
 */
const RATE_HOLD_MS = 4_000;

/**
 * After that the rate doubles in each such time in which the leader is not overloaded, in
 * milliseconds: jobs are accepted more quickly step by step until it is overloaded again or the rate
 * is forgotten.
 */
const RATE_DOUBLING_MS = 4_000;

/**
 * In a second in which the node was busy for a smaller share of the time, its starts say too little
 * about how many it could send.
 */
const MIN_BUSY_SHARE = 0.3;

/** Weight of the newest second in the rate of a leader that has processor time left. */
const SPARE_TIME_WEIGHT = 0.5;

/** After how long without an overload the rate is forgotten, in milliseconds. */
const RATE_LIFETIME_MS = 20_000;

/** A longer pause between two rounds does not count as time without an overload, in milliseconds. */
const MAX_ROUND_GAP_MS = 500;

/**
 * What limits the starts of a round that is cut short.
 *
 * - `leader`: its node has no processor time left, and most of the waiting tasks were not tried.
 * - `workers`: its node has no processor time left, but most of the waiting tasks found no worker
 *   either.
 * - `other`: the node waits, for example for the store. The starts say nothing about it.
 */
export type StartLimit = 'leader' | 'workers' | 'other';

interface Bucket {
  readonly sinceMs: number;
  count: number;
}

/**
 * Estimates how long waiting tasks wait for their starts where the leader, not the workers' capacity,
 * limits the starts: it is short of processor time or its link is saturated. Accepted jobs would
 * wait longer and longer beside free capacity. The estimate is based on the starts since the leader
 * became overloaded; before, fewer tasks may have waited than it could start. The rate of starts is
 * kept for some time after the overload, and stated to all nodes and to later leaders.
 */
export class StartBacklog {
  readonly #buckets: Bucket[] = [];

  /** When a round last placed all tasks for which there was capacity. */
  #completeMs: number;

  /** When a round was last cut short while the leader did not limit the starts. */
  #notLimitingMs = -Infinity;

  #waitingTasks = new CountByPriority();

  /** The starts a second when the leader was last overloaded. */
  #rate: number | undefined;

  /**
   * How long the leader has not been overloaded since. A wait for the store does not count: nothing is
   * started then, and the backlog stays as it is.
   */
  #relaxedMs = 0;

  #lastRoundMs: number;

  constructor(nowMs: number) {
    this.#completeMs = nowMs;
    this.#lastRoundMs = nowMs;
  }

  /** Records a round that placed all tasks for which there was capacity. */
  completed(starts: number, nowMs: number): void {
    this.#completeMs = nowMs;
    this.#relax(nowMs);
    this.#started(starts, nowMs);
  }

  /** Records a round that was cut short before it had tried to place these tasks. */
  cutShort(starts: number, waitingTasks: CountByPriority, nowMs: number, limit: StartLimit): void {
    this.#waitingTasks = waitingTasks;
    this.#started(starts, nowMs);
    if (limit === 'workers') this.#relax(nowMs);
    this.#lastRoundMs = nowMs;
    if (limit !== 'leader') this.#notLimitingMs = nowMs;
    const sinceMs = Math.max(this.#completeMs, this.#notLimitingMs);
    if (nowMs - sinceMs < MIN_OVERLOADED_MS) return;
    const { count, overMs } = this.#startsSince(sinceMs, nowMs);
    const measured = (1_000 * count) / overMs;
    const former = this.startsPerSecond() ?? measured;
    this.restoreRate(former + NEWEST_WEIGHT * (measured - former));
  }

  /**
   * Records the starts of the last second, in which the node was busy for this share of the time.
   * While few jobs are accepted because of the rate, the starts alone would never show that the
   * leader can do more, for example once it has taken over all work of an earlier leader.
   */
  loadMeasured(startsPerSecond: number, busyShare: number): void {
    if (this.#rate === undefined || busyShare < MIN_BUSY_SHARE) return;
    const excess = clampedStartRate(startsPerSecond / busyShare) - this.#rate;
    this.#rate += SPARE_TIME_WEIGHT * Math.max(0, excess);
  }

  /** Sets the rate, for example to the one that an earlier leader stated. */
  restoreRate(startsPerSecond: number): void {
    this.#rate = clampedStartRate(startsPerSecond);
    this.#relaxedMs = 0;
  }

  /**
   * Returns how many tasks a second the leader can start; undefined if it was not overloaded
   * recently.
   */
  startsPerSecond(): number | undefined {
    if (this.#rate === undefined || this.#relaxedMs > RATE_LIFETIME_MS) return undefined;
    const doublings = (this.#relaxedMs - RATE_HOLD_MS) / RATE_DOUBLING_MS;
    return clampedStartRate(this.#rate * 2 ** Math.max(0, doublings));
  }

  /**
   * Returns after how many milliseconds the waiting tasks that come before a job of this priority
   * will be started soon enough again if no job is added; undefined while the leader starts what fits
   * on the workers.
   */
  retryAfterMs(priority: number, nowMs: number): number | undefined {
    if (nowMs - this.#completeMs < MIN_OVERLOADED_MS) return undefined;
    const { count, overMs } = this.#startsSince(this.#completeMs, nowMs);
    const waitMs = (this.#waitingTasks.upTo(priority) * overMs) / Math.max(1, count);
    return waitMs > MAX_START_WAIT_MS ? Math.ceil(waitMs - MAX_START_WAIT_MS) : undefined;
  }

  /** Returns the number of starts since the given time, of the last seconds at most. */
  #startsSince(sinceMs: number, nowMs: number): { count: number; overMs: number } {
    const overMs = Math.min(WINDOW_MS, nowMs - sinceMs);
    const count = this.#buckets
      .filter((bucket) => bucket.sinceMs >= nowMs - overMs)
      .reduce((sum, bucket) => sum + bucket.count, 0);
    return { count, overMs };
  }

  /** Counts the time since the round before as time in which the leader was not overloaded. */
  #relax(nowMs: number): void {
    this.#relaxedMs += Math.min(MAX_ROUND_GAP_MS, nowMs - this.#lastRoundMs);
    this.#lastRoundMs = nowMs;
  }

  #started(starts: number, nowMs: number): void {
    const newest = this.#buckets.at(-1);
    if (newest && nowMs - newest.sinceMs < BUCKET_MS) newest.count += starts;
    else this.#buckets.push({ sinceMs: nowMs, count: starts });
    while (this.#buckets[0]!.sinceMs < nowMs - WINDOW_MS) this.#buckets.shift();
  }
}
