/** Tokens added per request: one in ten requests may be sent a second time. */
const TOKENS_PER_REQUEST = 0.1;

/** Maximum number of tokens, so that a quiet period does not permit a burst of retries later. */
const MAX_TOKENS = 10;

/**
 * A token bucket that limits retries and is filled by requests.
 *
 * Invariant: over any period, retries <= 0.1 x requests + 10. In an outage every request needs a
 * retry; without the bucket, the load on the remaining endpoints would double just when capacity is
 * short.
 */
export class RetryBudget {
  #tokens = MAX_TOKENS;

  /** Counts an incoming request. */
  addRequest(): void {
    this.#tokens = Math.min(MAX_TOKENS, this.#tokens + TOKENS_PER_REQUEST);
  }

  get hasToken(): boolean {
    return this.#tokens >= 1;
  }

  /** @returns Whether a retry is allowed; its token is then consumed. */
  takeToken(): boolean {
    if (!this.hasToken) return false;
    this.#tokens -= 1;
    return true;
  }
}
