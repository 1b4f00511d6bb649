import type { Order } from '@redwingcrank/jobs';
import { delay, steadyMs } from './delay.js';
import { MAX_UNSENT_STARTS_MS } from './timing.js';

/** So many orders are sent at once, as many as links are begun. */
const ORDERS_AT_ONCE = 16;

/** After some orders the node leaves this many times what they took: to answers, renewals and records. */
const REST = 2;

/** What an order is taken to cost before one was sent, the rest after it included, in milliseconds. */
const FIRST_GUESS_MS = 4;

/** How much the newest orders count in what one is taken to cost. */
const NEWEST = 0.2;

/**
 * Sends orders a few at a time. All those of a round at once kept a slow node from its renewals and
 * its own record for as long as they took; the node was taken for dead, and starts without an answer
 * were sent again, three times the work. The rest between them is enough, as renewals and answers
 * that are due come first then.
 */
export class OrderSender {
  readonly #signal: AbortSignal;

  readonly #send: (order: Order) => void;

  readonly #rest: number;

  #waiting: Order[] = [];

  #isBusy = false;

  #eachMs = FIRST_GUESS_MS;

  #emptied: () => void = () => {};

  /** `rest`: how many times what some took the node has before the next ones. */
  constructor(signal: AbortSignal, send: (order: Order) => void, rest = REST) {
    this.#signal = signal;
    this.#send = send;
    this.#rest = rest;
  }

  /** How many more orders can be taken on so that none waits for too long. */
  get capacity(): number {
    return Math.max(0, this.#most - this.#waiting.length);
  }

  get #most(): number {
    return Math.max(ORDERS_AT_ONCE, Math.floor(MAX_UNSENT_STARTS_MS / this.#eachMs));
  }

  send(orders: readonly Order[]): void {
    this.#waiting.push(...orders);
    if (!this.#isBusy) this.#drain();
  }

  /**
   * Calls back when a round is worth its time again: at once where half the room is free, else when
   * no order waits any more.
   */
  whenCapacity(then: () => void): void {
    if (this.capacity >= this.#most / 2) then();
    else this.#emptied = then;
  }

  async #drain(): Promise<void> {
    this.#isBusy = true;
    while (this.#waiting.length > 0 && !this.#signal.aborted) {
      const beganMs = steadyMs();
      const orders = this.#waiting.splice(0, ORDERS_AT_ONCE);
      for (const order of orders) this.#send(order);
      const tookMs = steadyMs() - beganMs;
      if (this.#waiting.length > 0) await delay(this.#rest * tookMs, this.#signal);
      // A busy node is back later than it wanted.
      const eachMs = Math.max((1 + this.#rest) * tookMs, steadyMs() - beganMs) / orders.length;
      this.#eachMs += NEWEST * (eachMs - this.#eachMs);
    }
    this.#isBusy = false;
    const then = this.#emptied;
    this.#emptied = () => {};
    then();
  }
}
