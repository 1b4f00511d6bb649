/** Amounts within this time are summed up in one bucket, in milliseconds. */
const BUCKET_MS = 250;

interface Bucket {
  readonly sinceMs: number;
  amount: number;
  count: number;
}

/** The sum and the number of the amounts that were added in the last seconds. */
export class RecentSum {
  readonly #windowMs: number;

  readonly #buckets: Bucket[] = [];

  /** `windowMs`: how long amounts are kept, in milliseconds. */
  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  add(amount: number, count: number, nowMs: number): void {
    const newest = this.#buckets.at(-1);
    if (newest && nowMs - newest.sinceMs < BUCKET_MS) {
      newest.amount += amount;
      newest.count += count;
    } else this.#buckets.push({ sinceMs: nowMs, amount, count });
    while (this.#buckets[0]!.sinceMs < nowMs - this.#windowMs) this.#buckets.shift();
  }

  /** Returns what was added at the given time or later. */
  since(sinceMs: number): { readonly amount: number; readonly count: number } {
    const sum = { amount: 0, count: 0 };
    for (const bucket of this.#buckets) {
      if (bucket.sinceMs >= sinceMs) {
        sum.amount += bucket.amount;
        sum.count += bucket.count;
      }
    }
    return sum;
  }
}
