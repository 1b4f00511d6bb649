import { steadyMs } from './delay.js';

/** Calls that may be in flight however few are answered. */
const MIN_IN_FLIGHT = 24;

/** A call waits no longer than this behind others on a saturated link, in milliseconds. */
const MAX_WAIT_MS = 400;

/** With answers that take longer than this, the link is considered saturated, in milliseconds. */
const SATURATED_ANSWER_MS = 200;

/** How many milliseconds of answers may be in flight while the link is not saturated. */
const UNSATURATED_WAIT_MS = 1_000;

/** Time constant of the moving averages, in milliseconds. */
const AVERAGE_MS = 1_000;

/**
 * Limits the calls in flight by the recent rate of answers (Little's law). Calls that are sent
 * beyond the capacity of a network link wait there in front of everything else, and time out.
 *
 * Calls to workers that do not answer must not hold up the others: they show in neither average,
 * and count for `MAX_WAIT_MS` only unless the link is saturated.
 */
export class InFlightLimit {
  /** When the calls in flight were sent, by number, the oldest first. */
  readonly #sentMs = new Map<number, number>();

  #count = 0;

  /** Answers within the last `AVERAGE_MS`, as an exponential moving average. */
  #answers = 0;

  /** Sum of the durations of these answers, in milliseconds, averaged alike. */
  #answersMs = 0;

  #averagedMs = -Infinity;

  /** How many more calls may be sent now. */
  get room(): number {
    this.#decay();
    const isSaturated = this.#answersMs > SATURATED_ANSWER_MS * this.#answers;
    const waitMs = isSaturated ? MAX_WAIT_MS : UNSATURATED_WAIT_MS;
    const allowed = Math.max(MIN_IN_FLIGHT, Math.floor((this.#answers / AVERAGE_MS) * waitMs));
    return Math.max(0, allowed - (isSaturated ? this.#sentMs.size : this.#recentCount()));
  }

  /** Records a call, and returns its number. */
  sent(): number {
    this.#count += 1;
    this.#sentMs.set(this.#count, steadyMs());
    return this.#count;
  }

  /** Records that the call with this number is no longer in flight. */
  ended(number: number, isAnswered: boolean): void {
    const tookMs = steadyMs() - this.#sentMs.get(number)!;
    this.#sentMs.delete(number);
    if (!isAnswered) return;
    this.#decay();
    this.#answers += 1;
    this.#answersMs += tookMs;
  }

  /** Returns how many calls in flight were sent within the last `MAX_WAIT_MS`. */
  #recentCount(): number {
    let oldCount = 0;
    for (const sentMs of this.#sentMs.values()) {
      if (steadyMs() - sentMs < MAX_WAIT_MS) break;
      oldCount += 1;
    }
    return this.#sentMs.size - oldCount;
  }

  #decay(): void {
    const nowMs = steadyMs();
    const factor = Math.exp((this.#averagedMs - nowMs) / AVERAGE_MS);
    this.#answers *= factor;
    this.#answersMs *= factor;
    this.#averagedMs = nowMs;
  }
}
