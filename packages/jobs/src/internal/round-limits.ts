/** How much one round may place; the rest waits for the next ones. */
export interface RoundLimits {
  /** How long it may look for places, in milliseconds of `clockMs`. */
  readonly placingMs: number;
  /** How many starts it may order. A gang is started whole or not at all, beyond this too. */
  readonly starts: number;
  readonly clockMs: () => number;
}

export const NO_LIMITS: RoundLimits = {
  placingMs: Infinity,
  starts: Infinity,
  clockMs: () => 0,
};

/** Watches the limits of a round from the time when it begins to place. */
export class RoundBudget {
  readonly #limits: RoundLimits;

  readonly #untilMs: number;

  #starts = 0;

  constructor(limits: RoundLimits) {
    this.#limits = limits;
    this.#untilMs = limits.clockMs() + limits.placingMs;
  }

  recordStarts(count: number): void {
    this.#starts += count;
  }

  get hasStarts(): boolean {
    return this.#starts < this.#limits.starts;
  }

  get hasTime(): boolean {
    return this.#limits.clockMs() < this.#untilMs;
  }
}
