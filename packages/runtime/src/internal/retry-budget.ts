/** The share of the calls that may be repeated. */
const RETRY_RATIO = 0.1;

/** Repeats that are allowed at once after a time with few of them. */
const MAX_SAVED_RETRIES = 16;

/**
 * Limits repeated calls to a share of all calls. Where answers are late because a link or a node is
 * overloaded, repeats add to the load that delays them: without a limit, three times the usual
 * calls keep the overload going after its cause is over.
 */
export class RetryBudget {
  #saved = MAX_SAVED_RETRIES;

  /** Records a first call. */
  called(): void {
    this.#saved = Math.min(MAX_SAVED_RETRIES, this.#saved + RETRY_RATIO);
  }

  /** Returns whether a call may be repeated, and counts the repeat. */
  tryRetry(): boolean {
    if (this.#saved < 1) return false;
    this.#saved -= 1;
    return true;
  }
}
