/** The weight of a new sample in the moving average. */
const SAMPLE_WEIGHT = 0.05;

/** Measures how long the requests of a service occupy a slot. */
export class ServiceRate {
  #meanMs: number | undefined;

  /** The mean time in a slot in milliseconds, or undefined before the first answer. */
  get meanMs(): number | undefined {
    return this.#meanMs;
  }

  sample(ms: number): void {
    this.#meanMs =
      this.#meanMs === undefined ? ms : this.#meanMs + SAMPLE_WEIGHT * (ms - this.#meanMs);
  }

  /**
   * Estimates the time until the given number of requests have been started when all `capacity`
   * slots are in use: by Little's law, slots become free at a rate of capacity / mean per
   * millisecond.
   *
   * @returns Milliseconds, or undefined before the first answer.
   */
  waitMs(requests: number, capacity: number): number | undefined {
    if (this.#meanMs === undefined || capacity <= 0) return undefined;
    return (requests * this.#meanMs) / capacity;
  }
}
