/** Retries that each request earns: one in ten requests may be sent a second time. */
const EARNED_PER_REQUEST = 0.1;

/** What may be saved up, so that a lull does not allow a storm afterwards. */
const MAX_SAVED = 10;

/**
 * A token bucket of retries, filled by requests.
 *
 * Invariant: over any span, retries <= 0.1 x requests + 10. An outage makes every request want a
 * retry; without the bucket the load on what is left would double just when it is short.
 */
export class RetryBudget {
  #saved = MAX_SAVED;

  /** Counts a request that came in. */
  addRequest(): void {
    this.#saved = Math.min(MAX_SAVED, this.#saved + EARNED_PER_REQUEST);
  }

  get hasToken(): boolean {
    return this.#saved >= 1;
  }

  /** @returns Whether a retry is allowed; it is then spent. */
  takeToken(): boolean {
    if (!this.hasToken) return false;
    this.#saved -= 1;
    return true;
  }
}
