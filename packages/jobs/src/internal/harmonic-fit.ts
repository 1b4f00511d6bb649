/**
 * Periods with which a load may oscillate, in milliseconds, each 15% longer than the one before.
 */
export const PERIODS_MS: readonly number[] = Array.from(
  { length: 14 },
  (_, i) => 4_000 * 1.15 ** i,
);

/** The age at which an observation has about a third (1/e) of its weight left, in milliseconds. */
const DECAY_MS = 8_000;

/**
 * Ridge term that pulls the amplitude towards zero, in observations: a few observations do not
 * establish an oscillation.
 */
const AMPLITUDE_RIDGE = 3;

/** Ridge term that pulls the mean towards the prior mean, in observations. */
const MEAN_RIDGE = 1;

/** A mean and an oscillation with one period, fitted by least squares. */
interface Harmonic {
  readonly mean: number;
  readonly cosine: number;
  readonly sine: number;
}

/** A value that counts as `weight` observations. */
export interface Observation {
  readonly value: number;
  readonly weight: number;
  readonly atMs: number;
}

/** Weighted sums over the observations for one period. */
interface Sums {
  c: number;
  s: number;
  cc: number;
  cs: number;
  ss: number;
  yc: number;
  ys: number;
}

/**
 * Fits a series by least squares as a mean and an oscillation, for every candidate period, with
 * exponential decay of the weights. Only the sums are stored.
 */
export class HarmonicFit {
  readonly #sums: readonly Sums[] = PERIODS_MS.map(() => ({
    ...{ c: 0, s: 0, cc: 0, cs: 0, ss: 0 },
    ...{ yc: 0, ys: 0 },
  }));

  #weight = 0;

  #y = 0;

  #yy = 0;

  #atMs = 0;

  #harmonics: readonly Harmonic[] = [];

  /** Adds an observation. `priorMean` is the usual mean of other series. */
  observe({ value, weight, atMs }: Observation, priorMean: number): void {
    const decay = Math.exp((this.#atMs - atMs) / DECAY_MS);
    this.#atMs = atMs;
    this.#weight = this.#weight * decay + weight;
    this.#y = this.#y * decay + weight * value;
    this.#yy = this.#yy * decay + weight * value * value;
    for (const [i, sums] of this.#sums.entries()) {
      const angle = (2 * Math.PI * atMs) / PERIODS_MS[i]!;
      const c = Math.cos(angle);
      const s = Math.sin(angle);
      sums.c = sums.c * decay + weight * c;
      sums.s = sums.s * decay + weight * s;
      sums.cc = sums.cc * decay + weight * c * c;
      sums.cs = sums.cs * decay + weight * c * s;
      sums.ss = sums.ss * decay + weight * s * s;
      sums.yc = sums.yc * decay + weight * value * c;
      sums.ys = sums.ys * decay + weight * value * s;
    }
    this.#harmonics = this.#sums.map((sums) => this.#solve(sums, priorMean));
  }

  /** The total weight of the observations. */
  get weight(): number {
    return this.#weight;
  }

  /** Returns the mean squared error of the fit for each period. */
  errors(): number[] {
    return this.#harmonics.map(({ mean, cosine, sine }, i) => {
      const { c, s, cc, cs, ss, yc, ys } = this.#sums[i]!;
      const fit = mean * this.#y + cosine * yc + sine * ys;
      const square =
        mean * mean * this.#weight +
        cosine * cosine * cc +
        sine * sine * ss +
        2 * (mean * cosine * c + mean * sine * s + cosine * sine * cs);
      return (this.#yy - 2 * fit + square) / this.#weight;
    });
  }

  /** Returns the fitted value at a time, with the period of this index. */
  at(period: number, atMs: number): number {
    const { mean, cosine, sine } = this.#harmonics[period]!;
    const angle = (2 * Math.PI * atMs) / PERIODS_MS[period]!;
    return mean + cosine * Math.cos(angle) + sine * Math.sin(angle);
  }

  /**
   * Solves the normal equations by Cramer's rule; the ridge on the diagonal keeps the determinant
   * positive.
   */
  #solve({ c, s, cc, cs, ss, yc, ys }: Sums, priorMean: number): Harmonic {
    const a = this.#weight + MEAN_RIDGE;
    const y = this.#y + MEAN_RIDGE * priorMean;
    const d = cc + AMPLITUDE_RIDGE;
    const f = ss + AMPLITUDE_RIDGE;
    const det = a * (d * f - cs * cs) - c * (c * f - cs * s) + s * (c * cs - d * s);
    const mean = y * (d * f - cs * cs) - c * (yc * f - cs * ys) + s * (yc * cs - d * ys);
    const cosine = a * (yc * f - cs * ys) - y * (c * f - cs * s) + s * (c * ys - yc * s);
    const sine = a * (d * ys - yc * cs) - c * (c * ys - yc * s) + y * (c * cs - d * s);
    return { mean: mean / det, cosine: cosine / det, sine: sine / det };
  }
}
