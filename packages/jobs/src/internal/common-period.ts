import { PERIODS_MS } from './harmonic-fit.js';

/** What one fit adds to the figures of all series. */
const LEARNING_RATE = 0.01;

/** How much the period that suits all series counts beside the one that suits a single one. */
const COMMON_WEIGHT = 5;

/**
 * Which period series that are alike swing with. One series is too short and too noisy to tell
 * neighbouring periods apart; together they do.
 */
export class CommonPeriod {
  /** By period: how much more it leaves unexplained than the others, in the mean over the fits. */
  readonly #excess = PERIODS_MS.map(() => 0);

  /** Takes in what each period leaves unexplained of one series. */
  learn(errors: readonly number[]): void {
    const mean = meanOf(errors);
    for (const [i, error] of errors.entries()) {
      this.#excess[i]! += (error - mean - this.#excess[i]!) * LEARNING_RATE;
    }
  }

  /** The index of the period that suits a series best, and the others with it. */
  best(errors: readonly number[]): number {
    const scores = errors.map((error, i) => error + COMMON_WEIGHT * this.#excess[i]!);
    return scores.indexOf(Math.min(...scores));
  }
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
