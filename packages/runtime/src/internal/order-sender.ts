import type { Order } from '@redwingcrank/jobs';
import { delay, steadyMs } from './delay.js';
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

/**
 * How long a start lets starts of more urgent queues pass, in milliseconds for each priority between
 * them. A task that is bound holds capacity, so no start waits for urgent ones without end.
 */
const YIELD_MS_PER_PRIORITY = 500;

/** The longest time for which a start lets others pass, in milliseconds. */
const MAX_YIELD_MS = 1_000;

/** Weight of the newest batch in the moving average of the cost of an order. */
const NEWEST_WEIGHT = 0.2;

interface QueuedOrder {
  readonly order: Order;
  /** The orders are sent in the order of this time, on the steady clock. */
  readonly sortMs: number;
}

/**
 * Sends orders in small batches, starts of urgent queues first. Sending all orders of a round at once
 * would keep a slow node from its renewals and its own record for the whole time, so that it is
 * considered dead; starts without an answer are sent again, which makes three times the work. The
 * pause between batches is sufficient, as due renewals and answers are processed first during it.
 */
export class OrderSender {
  readonly #signal: AbortSignal;

  readonly #send: (order: Order) => void;

  readonly #restFactor: number;

  readonly #waiting: QueuedOrder[] = [];

  #isBusy = false;

  #costMs = INITIAL_COST_MS;

  #onEmpty: () => void = () => {};

  /** `restFactor`: the pause between batches as a multiple of the duration of a batch. */
  constructor(signal: AbortSignal, send: (order: Order) => void, restFactor = REST_FACTOR) {
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
    const nowMs = steadyMs();
    for (const order of orders) this.#waiting.push({ order, sortMs: nowMs + yieldMsOf(order) });
    this.#waiting.sort((a, b) => a.sortMs - b.sortMs);
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
      const startedMs = steadyMs();
      const orders = this.#waiting.splice(0, ORDERS_PER_BATCH);
      for (const { order } of orders) this.#send(order);
      const tookMs = steadyMs() - startedMs;
      if (this.#waiting.length > 0) await delay(this.#restFactor * tookMs, this.#signal);
      // On a busy node the delay takes longer than requested.
      const costMs =
        Math.max((1 + this.#restFactor) * tookMs, steadyMs() - startedMs) / orders.length;
      this.#costMs += NEWEST_WEIGHT * (costMs - this.#costMs);
    }
    this.#isBusy = false;
    const onEmpty = this.#onEmpty;
    this.#onEmpty = () => {};
    onEmpty();
  }
}

function yieldMsOf(order: Order): number {
  if (order.kind !== 'start') return 0;
  return Math.min(MAX_YIELD_MS, order.priority * YIELD_MS_PER_PRIORITY);
}
