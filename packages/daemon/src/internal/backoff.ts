/** Upper bound of the first pause. Each further failure doubles it, up to the limit below. */
const FIRST_PAUSE_MS = 100;
const MAX_PAUSE_MS = 1_000;

/**
 * Exponential backoff with jitter, for retries of a failing operation. After an outage of the
 * platform, every node of every data centre retries; without jitter they would all retry at the
 * same moment and overload it again.
 */
export class Backoff {
  readonly #random: () => number;

  #failures = 0;

  /** @param random - Returns a number from 0 (inclusive) to 1 (exclusive). */
  constructor(random: () => number = Math.random) {
    this.#random = random;
  }

  /** Counts a failure and returns the pause in ms, drawn between half the bound and the bound. */
  next(): number {
    const boundMs = Math.min(FIRST_PAUSE_MS * 2 ** this.#failures, MAX_PAUSE_MS);
    this.#failures += 1;
    return boundMs / 2 + (this.#random() * boundMs) / 2;
  }

  /** Records a success: the next failure counts as the first. */
  reset(): void {
    this.#failures = 0;
  }
}
