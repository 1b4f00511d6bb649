/**
 * So many failures in a row, and the worker is suspected. Two would often be the tasks' own
 * fault: a few in a hundred fail anywhere.
 */
const SUSPICIOUS_FAILURES = 3;

/** How long a suspected worker is left alone before one more failure is risked, in ms. */
const REST_MS = 3_000;

/**
 * Tells a worker that fails all it starts from one that was given tasks that fail. Without it a
 * failing worker, always idle, draws task after task until their jobs run out of attempts.
 */
export class WorkerHealth {
  #inRow = 0;

  #restUntilMs = 0;

  ended(well: boolean, nowMs: number): void {
    if (well) {
      this.#inRow = 0;
      return;
    }
    this.#inRow += 1;
    if (this.#inRow >= SUSPICIOUS_FAILURES) this.#restUntilMs = nowMs + REST_MS;
  }

  /** A run here made no progress for too long: as good as all failures in a row. */
  stoodStill(nowMs: number): void {
    this.#inRow = SUSPICIOUS_FAILURES;
    this.#restUntilMs = nowMs + REST_MS;
  }

  isResting(nowMs: number): boolean {
    return nowMs < this.#restUntilMs;
  }
}
