import { steadyMs } from './delay.js';

/** Calls that may be in flight however few are answered. */
const MIN_IN_FLIGHT = 24;

/** A call waits no longer than this behind others where the limit applies, in milliseconds. */
const MAX_WAIT_MS = 400;

/** Time constant of the moving average of answers, in milliseconds. */
const AVERAGE_MS = 1_000;

/**
 * Limits the calls in flight to those that are answered within `MAX_WAIT_MS` at the recent rate of
 * answers (Little's law). Calls that are sent beyond the capacity of a network link wait there in
 * front of everything else, and time out.
 */
export class InFlightLimit {
  #inFlight = 0;

  /** Answers within the last `AVERAGE_MS`, as an exponential moving average. */
  #answers = 0;

  #averagedMs = -Infinity;

  /** How many more calls may be sent now. */
  get room(): number {
    const allowed = (this.#recentAnswers() / AVERAGE_MS) * MAX_WAIT_MS;
    return Math.max(0, Math.floor(Math.max(MIN_IN_FLIGHT, allowed)) - this.#inFlight);
  }

  sent(): void {
    this.#inFlight += 1;
  }

  ended(isAnswered: boolean): void {
    this.#inFlight -= 1;
    if (!isAnswered) return;
    this.#answers = this.#recentAnswers() + 1;
    this.#averagedMs = steadyMs();
  }

  #recentAnswers(): number {
    return this.#answers * Math.exp((this.#averagedMs - steadyMs()) / AVERAGE_MS);
  }
}
