import type { CommonPeriod } from './common-period.js';
import { HarmonicFit } from './harmonic-fit.js';

/**
 * The time constant with which the level follows the measurements, in milliseconds: a handful of
 * reports count.
 */
const LEVEL_TIME_CONSTANT_MS = 400;

/**
 * The time constant of the slow level, in milliseconds. The trend is derived from the difference
 * between the two levels.
 */
const SLOW_LEVEL_TIME_CONSTANT_MS = 1_200;

/** How far ahead the trend is extrapolated, in milliseconds; further ahead it is misleading. */
const TREND_HORIZON_MS = 1_000;

/** Reports that arrive at the same moment count as this far apart, in milliseconds. */
const MIN_SPACING_MS = 20;

/** How long observations are collected before they are fitted, in milliseconds. */
const BATCH_MS = 200;

/** The step between the times at which a forecast is evaluated, in milliseconds. */
const FORECAST_STEP_MS = 500;

/**
 * The number of recent observations from which on the fitted oscillation is used instead of the
 * trend.
 */
const MIN_OBSERVATIONS = 20;

/** The load of one step: its level, its trend and its oscillation. */
export class StepLoad {
  readonly #fit = new HarmonicFit();

  readonly #period: CommonPeriod;

  #atMs: number;

  #level: number;

  #slowLevel: number;

  /** The index of the period that fits best. */
  #bestPeriod = 0;

  #batchCount = 0;

  #batchSum = 0;

  #batchStartMs: number;

  constructor(slack: number, nowMs: number, period: CommonPeriod) {
    this.#period = period;
    this.#level = slack;
    this.#slowLevel = slack;
    this.#atMs = nowMs;
    this.#batchStartMs = nowMs;
    this.#addToBatch(slack);
  }

  /** The time of the latest observation. */
  get atMs(): number {
    return this.#atMs;
  }

  get level(): number {
    return this.#level;
  }

  /** Records the slack that one task of the step would have had without interference. */
  observe(slack: number, nowMs: number, priorSlack: number): void {
    const sinceMs = Math.max(MIN_SPACING_MS, nowMs - this.#atMs);
    this.#level += (slack - this.#level) * (1 - Math.exp(-sinceMs / LEVEL_TIME_CONSTANT_MS));
    this.#slowLevel +=
      (slack - this.#slowLevel) * (1 - Math.exp(-sinceMs / SLOW_LEVEL_TIME_CONSTANT_MS));
    this.#atMs = nowMs;
    this.#addToBatch(slack);
    if (nowMs - this.#batchStartMs >= BATCH_MS) this.#refit(nowMs, priorSlack);
  }

  /** Returns the least slack that is expected within `aheadMs`. */
  minSlackAhead(nowMs: number, aheadMs: number): number {
    if (this.#fit.weight < MIN_OBSERVATIONS) return this.#extrapolateTrend();
    let minSlack = Infinity;
    for (let ms = 0; ms <= aheadMs; ms += FORECAST_STEP_MS) {
      minSlack = Math.min(minSlack, this.#fit.at(this.#bestPeriod, nowMs + ms));
    }
    return minSlack;
  }

  #extrapolateTrend(): number {
    const slope =
      (this.#level - this.#slowLevel) / (SLOW_LEVEL_TIME_CONSTANT_MS - LEVEL_TIME_CONSTANT_MS);
    // The level itself lags by about its time constant.
    return this.#level + Math.min(0, slope) * (TREND_HORIZON_MS + LEVEL_TIME_CONSTANT_MS);
  }

  #addToBatch(slack: number): void {
    this.#batchCount += 1;
    this.#batchSum += slack;
  }

  #refit(nowMs: number, priorSlack: number): void {
    const atMs = (this.#batchStartMs + nowMs) / 2;
    this.#fit.observe(
      { value: this.#batchSum / this.#batchCount, weight: this.#batchCount, atMs },
      priorSlack,
    );
    this.#batchCount = 0;
    this.#batchSum = 0;
    this.#batchStartMs = nowMs;
    const errors = this.#fit.errors();
    if (this.#fit.weight >= MIN_OBSERVATIONS) this.#period.learn(errors);
    this.#bestPeriod = this.#period.best(errors);
  }
}
