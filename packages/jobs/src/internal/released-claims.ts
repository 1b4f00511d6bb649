/** The time over which ended tasks are counted, in milliseconds. */
const WINDOW_MS = 4_000;

/** Ends within this time are added to one sum, in milliseconds. */
const BUCKET_MS = 250;

/** The time for which ends must have been counted before a rate is known, in milliseconds. */
const MIN_OBSERVED_MS = 1_000;

interface Bucket {
  readonly number: number;
  milli: number;
}

/** Measures the rate at which ended tasks release the processors that they claimed. */
export class ReleasedClaims {
  readonly #sinceMs: number;

  readonly #buckets: Bucket[] = [];

  /** `sinceMs`: since when ends are counted. */
  constructor(sinceMs: number) {
    this.#sinceMs = sinceMs;
  }

  /** Counts an ended task that claimed this much, in thousandths of a core. */
  add(milli: number, nowMs: number): void {
    const number = Math.floor(nowMs / BUCKET_MS);
    const last = this.#buckets.at(-1);
    if (last?.number === number) last.milli += milli;
    else this.#buckets.push({ number, milli });
    this.#dropOld(nowMs);
  }

  /**
   * Returns the rate over the last seconds, in thousandths of a core for each millisecond; undefined
   * while ends have been counted for too short a time.
   */
  rate(nowMs: number): number | undefined {
    const observedMs = nowMs - this.#sinceMs;
    if (observedMs < MIN_OBSERVED_MS) return undefined;
    this.#dropOld(nowMs);
    const sum = this.#buckets.reduce((total, { milli }) => total + milli, 0);
    return sum / Math.min(observedMs, WINDOW_MS);
  }

  #dropOld(nowMs: number): void {
    const oldest = Math.floor((nowMs - WINDOW_MS) / BUCKET_MS);
    while (this.#buckets.length > 0 && this.#buckets[0]!.number <= oldest) this.#buckets.shift();
  }
}
