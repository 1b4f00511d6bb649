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

interface Bucket {
  readonly sinceMs: number;
  count: number;
}

/**
 * Estimates how long waiting tasks wait for their starts where the leader, not the workers' capacity,
 * limits the starts: it is short of processor time or its link is saturated. Accepted jobs would
 * wait longer and longer beside free capacity. The estimate is based on the starts since the leader
 * became overloaded; before, fewer tasks may have waited than it could start.
 */
export class StartBacklog {
  readonly #buckets: Bucket[] = [];

  /** When a round last placed all tasks for which there was capacity. */
  #completeMs: number;

  #waitingTasks = 0;

  constructor(nowMs: number) {
    this.#completeMs = nowMs;
  }

  /** Records a round that placed all tasks for which there was capacity. */
  completed(starts: number, nowMs: number): void {
    this.#completeMs = nowMs;
    this.#started(starts, nowMs);
  }

  /** Records a round that was cut short before it had tried to place this many tasks. */
  cutShort(starts: number, waitingTasks: number, nowMs: number): void {
    this.#waitingTasks = waitingTasks;
    this.#started(starts, nowMs);
  }

  /**
   * Returns after how many milliseconds the waiting tasks will be started soon enough again if no
   * job is added; undefined while the leader starts what fits on the workers.
   */
  retryAfterMs(nowMs: number): number | undefined {
    if (nowMs - this.#completeMs < MIN_OVERLOADED_MS) return undefined;
    const observedMs = Math.min(WINDOW_MS, nowMs - this.#completeMs);
    const starts = this.#buckets
      .filter(({ sinceMs }) => sinceMs >= nowMs - observedMs)
      .reduce((sum, { count }) => sum + count, 0);
    const waitMs = (this.#waitingTasks * observedMs) / Math.max(1, starts);
    return waitMs > MAX_START_WAIT_MS ? Math.ceil(waitMs - MAX_START_WAIT_MS) : undefined;
  }

  #started(starts: number, nowMs: number): void {
    const newest = this.#buckets.at(-1);
    if (newest && nowMs - newest.sinceMs < BUCKET_MS) newest.count += starts;
    else this.#buckets.push({ sinceMs: nowMs, count: starts });
    while (this.#buckets[0]!.sinceMs < nowMs - WINDOW_MS) this.#buckets.shift();
  }
}
