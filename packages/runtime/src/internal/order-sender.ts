import type { Order } from '@redwingcrank/jobs';
import { Pause, delay, steadyMs } from './delay.js';
import { InFlightLimit } from './in-flight-limit.js';
import { MAX_UNSENT_STARTS_MS } from './timing.js';

/** Orders that are sent at once; equal to the number of links that are started at once. */
const ORDERS_PER_BATCH = 16;

/**
 * After a batch the node leaves this many times the duration of the batch for answers, renewals and
 * records.
 */
const REST_FACTOR = 2;

/** Assumed cost of an order before one was sent, in milliseconds, including the pause after it. */
const INITIAL_COST_MS = 4;

/** Weight of the newest batch in the moving average of the cost of an order. */
const NEWEST_WEIGHT = 0.2;

/**
 * Sends one order. A promise resolves when the order is no longer in flight, to whether its worker
 * answered; without one, any number may be in flight.
 */
export type SendOrder = (order: Order) => void | Promise<boolean>;

/** Longest wait before it is checked again whether more orders may be in flight, in milliseconds. */
const IN_FLIGHT_CHECK_MS = 100;

/**
 * Sends orders in small batches. Sending all orders of a round at once would keep a slow node from
 * its renewals and its own record for the whole time, so that it is considered dead; starts without
 * an answer are sent again, which makes three times the work. The pause between batches is
 * sufficient, as due renewals and answers are processed first during it.
 */
export class OrderSender {
  readonly #signal: AbortSignal;

  readonly #send: SendOrder;

  readonly #restFactor: number;

  #waiting: Order[] = [];

  #isBusy = false;

  #costMs = INITIAL_COST_MS;

  #onEmpty: () => void = () => {};

  readonly #inFlight = new InFlightLimit();

  readonly #roomPause = new Pause();

  /** `restFactor`: the pause between batches as a multiple of the duration of a batch. */
  constructor(signal: AbortSignal, send: SendOrder, restFactor = REST_FACTOR) {
    this.#signal = signal;
    this.#send = send;
    this.#restFactor = restFactor;
  }

  /** The number of further orders that can be queued without any of them waiting for too long. */
  get capacity(): number {
    return Math.max(0, this.#maxWaiting - this.#waiting.length);
  }

  get #maxWaiting(): number {
    return Math.max(ORDERS_PER_BATCH, Math.floor(MAX_UNSENT_STARTS_MS / this.#costMs));
  }

  send(orders: readonly Order[]): void {
    this.#waiting.push(...orders);
    if (!this.#isBusy) this.#drain();
  }

  /**
   * Calls back when another round is worthwhile: immediately if half of the capacity is free,
   * otherwise when no order is queued.
   */
  whenCapacity(callback: () => void): void {
    if (this.capacity >= this.#maxWaiting / 2) callback();
    else this.#onEmpty = callback;
  }

  async #drain(): Promise<void> {
    this.#isBusy = true;
    while (this.#waiting.length > 0 && !this.#signal.aborted) {
      const dueMs = steadyMs();
      await this.#waitForRoom();
      if (this.#signal.aborted) break;
      const startedMs = steadyMs();
      const batchSize = Math.min(ORDERS_PER_BATCH, this.#inFlight.room);
      const orders = this.#waiting.splice(0, batchSize);
      for (const order of orders) this.#sendOne(order);
      const tookMs = steadyMs() - startedMs;
      if (this.#waiting.length > 0) await delay(this.#restFactor * tookMs, this.#signal);
      // On a busy node the delay takes longer than requested.
      const costMs = Math.max((1 + this.#restFactor) * tookMs, steadyMs() - dueMs) / orders.length;
      this.#costMs += NEWEST_WEIGHT * (costMs - this.#costMs);
    }
    this.#isBusy = false;
    const onEmpty = this.#onEmpty;
    this.#onEmpty = () => {};
    onEmpty();
  }

  async #waitForRoom(): Promise<void> {
    while (this.#inFlight.room === 0 && !this.#signal.aborted)
      await this.#roomPause.wait(IN_FLIGHT_CHECK_MS);
  }

  #sendOne(order: Order): void {
    const ended = this.#send(order);
    if (!ended) return;
    const number = this.#inFlight.sent();
    ended.then((isAnswered) => {
      this.#inFlight.ended(number, isAnswered);
      this.#roomPause.end();
    });
  }
}
