import type { ServiceRate } from './service-rate.js';

/** Maximum number of waiting requests of one service on one entry host. */
export const MAX_QUEUED = 1_000;

/** Maximum estimated wait in the queue: a longer queue adds latency but no throughput. */
export const MAX_QUEUE_WAIT_MS = 250;

/** Share of the remaining time that estimates may use; the rest allows for their error. */
const USABLE_SHARE = 0.8;

const SECOND_MS = 1_000;

interface Entry<T> {
  readonly item: T;
  /** Time in milliseconds, on the clock of the caller of this class. */
  readonly deadline: number;
}

/** The result of offering a request to the queue. */
export type Admission =
  | { readonly type: 'queued'; readonly giveUpAt: number }
  | { readonly type: 'refused'; readonly retryAfterS: number };

/**
 * The requests of one service that wait for a slot, earliest deadline first.
 *
 * Invariant: a request that cannot meet its deadline at the measured rate is refused when it is
 * offered. Otherwise it would take the place of a request that can, and its caller would wait in
 * vain.
 */
export class RequestQueue<T> {
  readonly #rate: ServiceRate;

  readonly #entries: Entry<T>[] = [];

  constructor(rate: ServiceRate) {
    this.#rate = rate;
  }

  get length(): number {
    return this.#entries.length;
  }

  /**
   * Adds a request to the queue unless it would miss its deadline.
   *
   * @param capacity - The number of slots that this entry host may use for the service.
   * @returns The time at which to stop waiting, or the whole seconds after which to retry.
   */
  offer(item: T, deadline: number, capacity: number, now: number): Admission {
    const position = this.#positionOf(deadline);
    if (!this.#admits(position, deadline - now, capacity)) {
      return { type: 'refused', retryAfterS: this.retryAfterS(capacity) };
    }
    this.#entries.splice(position, 0, { item, deadline });
    const latestStart = deadline - (this.#rate.meanMs ?? 0);
    return { type: 'queued', giveUpAt: Math.min(latestStart, now + 2 * MAX_QUEUE_WAIT_MS) };
  }

  /** Returns the request with the earliest deadline. */
  peek(): T | undefined {
    return this.#entries[0]?.item;
  }

  /** Removes and returns the request with the earliest deadline. */
  take(): T | undefined {
    return this.#entries.shift()?.item;
  }

  /** Removes a request that no longer waits. */
  remove(item: T): void {
    const position = this.#entries.findIndex((entry) => entry.item === item);
    if (position >= 0) this.#entries.splice(position, 1);
  }

  /** Returns the whole seconds until the current queue has drained, at least one. */
  retryAfterS(capacity: number): number {
    const waitMs = this.#rate.waitMs(this.#entries.length, capacity) ?? 0;
    return Math.max(1, Math.ceil(waitMs / SECOND_MS));
  }

  #admits(position: number, remainingMs: number, capacity: number): boolean {
    if (remainingMs <= 0 || this.#entries.length >= MAX_QUEUED) return false;
    const waitMs = this.#rate.waitMs(position + 1, capacity);
    // Before the first answer the rate is unknown: as many requests as there are slots may wait.
    if (waitMs === undefined) return this.#entries.length < capacity;
    const serviceMs = this.#rate.meanMs ?? 0;
    return waitMs <= MAX_QUEUE_WAIT_MS && waitMs + serviceMs <= remainingMs * USABLE_SHARE;
  }

  /** Returns the position after all entries with the same deadline, which keeps their order. */
  #positionOf(deadline: number): number {
    let low = 0;
    let high = this.#entries.length;
    while (low < high) {
      const mid = Math.floor((low + high) / 2);
      if ((this.#entries[mid]?.deadline ?? Infinity) <= deadline) low = mid + 1;
      else high = mid;
    }
    return low;
  }
}
