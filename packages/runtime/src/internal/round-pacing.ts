import type { Order, RoundLimits } from '@redwingcrank/jobs';
import { Pause, delay, steadyMs } from './delay.js';
import { StartSender } from './start-sender.js';
import { GATHER_MS, MAX_ROUND_REST_MS, PLACING_MS } from './timing.js';

/**
 * Divides the time of a scheduling node between its rounds and everything else. A round can take
 * seconds where hundreds of workers and thousands of jobs wait for a node with a third of a core;
 * its leases ended meanwhile, and the next node, that took it for dead, had more to do.
 */
export class RoundPacing {
  readonly #signal: AbortSignal;

  readonly #starts: StartSender;

  readonly #send: (order: Order) => void;

  readonly #idle = new Pause();

  #isWoken = false;

  /** What the newest round took, the time for its append left out. */
  #tookMs = 0;

  #endedMs = -Infinity;

  constructor(signal: AbortSignal, send: (order: Order) => void) {
    this.#signal = signal;
    this.#send = send;
    this.#starts = new StartSender(signal, send);
  }

  /** Waits until the next round is asked for or due, and until it may begin. */
  async next(dueInMs: () => number): Promise<void> {
    if (!this.#isWoken) await this.#idle.wait(dueInMs());
    const restMs = Math.min(this.#tookMs, MAX_ROUND_REST_MS) - (steadyMs() - this.#endedMs);
    await delay(Math.max(GATHER_MS, restMs), this.#signal);
    this.#isWoken = false;
  }

  /** Asks for a round. */
  wake(): void {
    this.#isWoken = true;
    this.#idle.end();
  }

  /** What the next round may place. */
  get limits(): RoundLimits {
    return { placingMs: PLACING_MS, starts: this.#starts.room, clockMs: steadyMs };
  }

  /** A round has done its work; its append is under way. */
  worked(beganMs: number): void {
    this.#endedMs = steadyMs();
    this.#tookMs = this.#endedMs - beganMs;
  }

  /** Sends orders that need nothing stored. */
  sendAtOnce(orders: readonly Order[]): void {
    for (const order of orders) this.#send(order);
  }

  /** Sends starts whose bindings are stored. */
  send(starts: readonly Order[]): void {
    this.#starts.send(starts);
  }

  /** Asks for a round as soon as many more starts can be taken on. */
  wakeWithRoom(): void {
    this.#starts.whenRoom(() => this.wake());
  }
}
