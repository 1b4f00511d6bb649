import type { Order, RoundLimits } from '@redwingcrank/jobs';
import { taskName } from '@redwingcrank/jobs';
import { Pause, delay, steadyMs } from './delay.js';
import { OrderSender } from './order-sender.js';
import { INPUT_BATCH_MS, MAX_ROUND_PAUSE_MS, PLACEMENT_BUDGET_MS } from './timing.js';

/** After stops the node leaves as much time as they took: they are more urgent than starts. */
const URGENT_REST = 1;

/**
 * Divides the time of a scheduling node between its rounds and everything else. A round can take
 * seconds where hundreds of workers and thousands of jobs wait for a node with a third of a core;
 * its leases ended meanwhile, and the next node, that took it for dead, had more to do.
 */
export class RoundPacing {
  readonly #signal: AbortSignal;

  readonly #starts: OrderSender;

  readonly #urgent: OrderSender;

  /** Stops that were not sent yet. */
  readonly #unsent = new Set<string>();

  readonly #idle = new Pause();

  #isWoken = false;

  /** What the newest round took, the time for its append left out. */
  #tookMs = 0;

  #endedMs = -Infinity;

  constructor(signal: AbortSignal, send: (order: Order) => void) {
    this.#signal = signal;
    this.#starts = new OrderSender(signal, send);
    const sendUrgent = (order: Order): void => {
      this.#unsent.delete(keyOf(order));
      send(order);
    };
    this.#urgent = new OrderSender(signal, sendUrgent, URGENT_REST);
  }

  /** Waits until the next round is asked for or due, and until it may begin. */
  async next(dueInMs: () => number): Promise<void> {
    if (!this.#isWoken) await this.#idle.wait(dueInMs());
    const restMs = Math.min(this.#tookMs, MAX_ROUND_PAUSE_MS) - (steadyMs() - this.#endedMs);
    await delay(Math.max(INPUT_BATCH_MS, restMs), this.#signal);
    this.#isWoken = false;
  }

  /** Asks for a round. */
  wake(): void {
    this.#isWoken = true;
    this.#idle.end();
  }

  /** What the next round may place. */
  get limits(): RoundLimits {
    return { placingMs: PLACEMENT_BUDGET_MS, starts: this.#starts.capacity, clockMs: steadyMs };
  }

  /** A round has done its work; its append is under way. */
  roundDone(beganMs: number): void {
    this.#endedMs = steadyMs();
    this.#tookMs = this.#endedMs - beganMs;
  }

  /**
   * Sends orders that need nothing stored, a few at a time as well: a job that is cancelled may have
   * hundreds of tasks. A stop falls due again while it waits here; the same one does not wait twice.
   */
  sendAtOnce(orders: readonly Order[]): void {
    const others = orders.filter((order) => !this.#unsent.has(keyOf(order)));
    for (const order of others) if (order.kind === 'stop') this.#unsent.add(keyOf(order));
    this.#urgent.send(others);
  }

  /** Sends starts whose bindings are stored. */
  send(starts: readonly Order[]): void {
    this.#starts.send(starts);
  }

  /** Asks for a round as soon as many more starts can be taken on. */
  wakeWhenCapacity(): void {
    this.#starts.whenCapacity(() => this.wake());
  }
}

/** For rounds that must start nothing. */
export const NO_STARTS: RoundLimits = { placingMs: 0, starts: 0, clockMs: steadyMs };

function keyOf({ kind, worker, task, run }: Order): string {
  return `${kind} ${worker} ${taskName(task)} ${run}`;
}
