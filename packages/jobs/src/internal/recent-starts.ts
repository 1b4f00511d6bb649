/** The time over which starts are counted, in milliseconds. */
const WINDOW_MS = 3_000;

/** Starts within this time are counted in one bucket, in milliseconds. */
const BUCKET_MS = 250;

/** Counts the tasks that were started in the last seconds. */
export class RecentStarts {
  readonly #buckets: { readonly sinceMs: number; count: number }[] = [];

  record(nowMs: number): void {
    const newest = this.#buckets.at(-1);
    if (newest && nowMs - newest.sinceMs < BUCKET_MS) newest.count += 1;
    else this.#buckets.push({ sinceMs: nowMs, count: 1 });
    this.#forget(nowMs);
  }

  /** Returns how many tasks were started in the last 3 s. */
  count(nowMs: number): number {
    this.#forget(nowMs);
    return this.#buckets.reduce((sum, { count }) => sum + count, 0);
  }

  #forget(nowMs: number): void {
    while (this.#buckets.length > 0 && this.#buckets[0]!.sinceMs <= nowMs - WINDOW_MS)
      this.#buckets.shift();
  }
}
