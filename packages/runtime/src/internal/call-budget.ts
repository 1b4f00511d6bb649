const MS_PER_S = 1_000;

/** The pause of all calls after one was beyond the rate, and its limit when doubled. */
const LIMITED_PAUSE_MS = 200;

const MAX_LIMITED_PAUSE_MS = 2_000;

/** The share of the allowed rate that this node uses: a former leader may have called as well. */
const RATE_SHARE = 0.5;

/** The number of calls that may be made at once, as a share of the rate of one second. */
const BURST_SHARE = 0.25;

/** Limits calls to a rate that all nodes share. */
export class CallBudget {
  readonly #perMs: number;

  readonly #burst: number;

  #tokens: number;

  #filledMs = -Infinity;

  #pausedUntilMs = -Infinity;

  #pauseMs = LIMITED_PAUSE_MS;

  constructor(callsPerS: number) {
    this.#perMs = (callsPerS * RATE_SHARE) / MS_PER_S;
    this.#burst = Math.max(1, Math.floor(callsPerS * BURST_SHARE));
    this.#tokens = this.#burst;
  }

  /** Returns how many calls may be made now. */
  available(nowMs: number): number {
    if (nowMs < this.#pausedUntilMs) return 0;
    const refill = (nowMs - this.#filledMs) * this.#perMs;
    this.#tokens = Math.min(this.#burst, this.#tokens + refill);
    this.#filledMs = nowMs;
    return Math.floor(this.#tokens);
  }

  take(): void {
    this.#tokens -= 1;
  }

  /** Records whether a call was beyond the rate. */
  answered(isLimited: boolean, nowMs: number): void {
    if (!isLimited) {
      this.#pauseMs = LIMITED_PAUSE_MS;
      return;
    }
    this.#pausedUntilMs = nowMs + this.#pauseMs;
    this.#pauseMs = Math.min(MAX_LIMITED_PAUSE_MS, 2 * this.#pauseMs);
  }
}
