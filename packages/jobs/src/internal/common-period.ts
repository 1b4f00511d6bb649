import { PERIODS_MS } from './harmonic-fit.js';

/** The weight of one fit in the averages over all series. */
const LEARNING_RATE = 0.01;

/** The weight of the averages over all series, relative to the errors of a single series. */
const COMMON_WEIGHT = 5;

/**
 * Estimates the period with which similar series oscillate. A single series is too short and too
 * noisy to tell neighbouring periods apart; all series together suffice.
 */
export class CommonPeriod {
  /**
   * For each period: by how much its error exceeds the mean error of all periods, averaged over the
   * fits.
   */
  readonly #excess = PERIODS_MS.map(() => 0);

  /** Updates the averages with the errors by period of one series. */
  learn(errors: readonly number[]): void {
    const mean = meanOf(errors);
    for (const [i, error] of errors.entries()) {
      this.#excess[i]! += (error - mean - this.#excess[i]!) * LEARNING_RATE;
    }
  }

  /** Returns the index of the period that fits best, for one series together with all others. */
  best(errors: readonly number[]): number {
    const scores = errors.map((error, i) => error + COMMON_WEIGHT * this.#excess[i]!);
    return scores.indexOf(Math.min(...scores));
  }
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
