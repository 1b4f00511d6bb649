/**
 * What a round does with ahead bindings: `plan` chooses them anew when that is due, `release` lets
 * their tasks wait without.
 */
export type AheadMode = 'plan' | 'release';

/** Limits the placement work of one round; the rest waits for the next rounds. */
export interface RoundLimits {
  /** The time for which the round may place tasks, in milliseconds of `clockMs`. */
  readonly placingMs: number;
  /**
   * The number of starts that the round may order. A gang is started as a whole or not at all, even
   * beyond this number.
   */
  readonly starts: number;
  readonly clockMs: () => number;
  /** Whether the node has no processor time left; absent if it is not known. */
  readonly isNodeBusy?: boolean;
  /** Absent if no ahead binding is made; those that can still be started stay. */
  readonly ahead?: AheadMode;
}

export const NO_LIMITS: RoundLimits = {
  placingMs: Infinity,
  starts: Infinity,
  clockMs: () => 0,
};

/** Tracks the limits of a round from the time at which placement starts. */
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
