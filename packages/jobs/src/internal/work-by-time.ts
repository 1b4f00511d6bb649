/** Work whose times fall within this time of each other is summed up, in milliseconds. */
const BUCKET_MS = 250;

/**
 * A sum of work, each part of which counts until a time of its own. The sum at any moment takes time
 * in proportion to the range of these times, not to the number of jobs.
 */
export class WorkByTime {
  readonly #buckets = new Map<number, number>();

  /** Adds work that counts until the given time; a negative amount takes it away again. */
  add(work: number, untilMs: number): void {
    const bucket = Math.ceil(untilMs / BUCKET_MS);
    const sum = (this.#buckets.get(bucket) ?? 0) + work;
    if (sum === 0) this.#buckets.delete(bucket);
    else this.#buckets.set(bucket, sum);
  }

  /** Returns the work that counts at the given time. */
  at(nowMs: number): number {
    let sum = 0;
    for (const [bucket, work] of this.#buckets) if (bucket * BUCKET_MS > nowMs) sum += work;
    return sum;
  }
}
