/**
 * The number of consecutive failures after which a worker is suspected. Two would often be the
 * tasks' own fault: a few in a hundred fail anywhere.
 */
const SUSPICIOUS_FAILURES = 3;

/**
 * How long a suspected worker gets no tasks, before one more failure is risked, in milliseconds.
 */
const SUSPICION_MS = 3_000;

/**
 * Tells a worker on which every task fails from one that was given tasks that fail anywhere. A
 * failing worker always has free capacity; without this it would receive one task after the other
 * until their jobs run out of attempts.
 */
export class WorkerHealth {
  #failuresInRow = 0;

  #suspectedUntilMs = 0;

  ended(succeeded: boolean, nowMs: number): void {
    if (succeeded) {
      this.#failuresInRow = 0;
      return;
    }
    this.#failuresInRow += 1;
    if (this.#failuresInRow >= SUSPICIOUS_FAILURES) this.#suspectedUntilMs = nowMs + SUSPICION_MS;
  }

  /**
   * Records that a run here made no progress for too long. This counts as many failures as it takes
   * to suspect the worker.
   */
  stalled(nowMs: number): void {
    this.#failuresInRow = SUSPICIOUS_FAILURES;
    this.#suspectedUntilMs = nowMs + SUSPICION_MS;
  }

  isSuspected(nowMs: number): boolean {
    return nowMs < this.#suspectedUntilMs;
  }
}
