/**
 * So many failures in a row, and the worker is suspected. Two would often be the tasks' own
 * fault: a few in a hundred fail anywhere.
 */
const MAX_FAILURES_IN_ROW = 3;

/** How long a suspected worker is left alone before one more failure is risked, in ms. */
const SUSPICION_MS = 3_000;

/**
 * Tells a worker that fails all it starts from one that was given tasks that fail. Without it a
 * failing worker, always idle, draws task after task until their jobs run out of attempts.
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
    if (this.#failuresInRow >= MAX_FAILURES_IN_ROW) this.#suspectedUntilMs = nowMs + SUSPICION_MS;
  }

  /** A run here made no progress for too long: as good as all failures in a row. */
  stalled(nowMs: number): void {
    this.#failuresInRow = MAX_FAILURES_IN_ROW;
    this.#suspectedUntilMs = nowMs + SUSPICION_MS;
  }

  isSuspected(nowMs: number): boolean {
    return nowMs < this.#suspectedUntilMs;
  }
}
