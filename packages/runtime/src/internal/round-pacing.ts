import type { Order, RoundLimits } from '@redwingcrank/jobs';
import { taskName } from '@redwingcrank/jobs';
import { Pause, delay, steadyMs } from './delay.js';
import { OrderSender } from './order-sender.js';
import { INPUT_BATCH_MS, MAX_ROUND_PAUSE_MS, PLACEMENT_BUDGET_MS } from './timing.js';

/**
 * After a batch of urgent orders the node pauses for as long as the batch took; they are more
 * urgent than starts.
 */
const URGENT_REST_FACTOR = 1;

/**
 * Divides the time of the leader between its rounds and its other work. A round can take seconds
 * where hundreds of workers and thousands of jobs wait for a node with a third of a core. Without
 * the pacing its leases would expire meanwhile, and the next node, which considers it dead, would
 * have even more to do.
 */
export class RoundPacing {
  readonly #signal: AbortSignal;

  readonly #starts: OrderSender;

  readonly #urgent: OrderSender;

  /** Keys of stops that are queued. */
  readonly #unsent = new Set<string>();

  readonly #idlePause = new Pause();

  #isRoundRequested = false;

  /** The duration of the latest round without its append. */
  #lastRoundMs = 0;

  #endedMs = -Infinity;

  constructor(signal: AbortSignal, send: (order: Order) => void) {
    this.#signal = signal;
    this.#starts = new OrderSender(signal, send);
    const sendUrgent = (order: Order): void => {
      this.#unsent.delete(keyOf(order));
      send(order);
    };
    this.#urgent = new OrderSender(signal, sendUrgent, URGENT_REST_FACTOR);
  }

  /** Waits until the next round is requested or due, and until it may start. */
  async next(dueInMs: () => number): Promise<void> {
    if (!this.#isRoundRequested) await this.#idlePause.wait(dueInMs());
    const restMs = Math.min(this.#lastRoundMs, MAX_ROUND_PAUSE_MS) - (steadyMs() - this.#endedMs);
    await delay(Math.max(INPUT_BATCH_MS, restMs), this.#signal);
    this.#isRoundRequested = false;
  }

  /** Requests a round. */
  wake(): void {
    this.#isRoundRequested = true;
    this.#idlePause.end();
  }

  /** The limits on placements and starts of the next round. */
  get limits(): RoundLimits {
    return { placingMs: PLACEMENT_BUDGET_MS, starts: this.#starts.capacity, clockMs: steadyMs };
  }

  /** Called when a round has done its work and its append is in flight. */
  roundDone(startedMs: number): void {
    this.#endedMs = steadyMs();
    this.#lastRoundMs = this.#endedMs - startedMs;
  }

  /**
   * Sends orders that do not depend on a stored record. These are sent in batches too, as a
   * cancelled job may have hundreds of tasks. A stop that becomes due again while it is queued is
   * not queued twice.
   */
  sendAtOnce(orders: readonly Order[]): void {
    const unqueued = orders.filter((order) => !this.#unsent.has(keyOf(order)));
    for (const order of unqueued) if (order.kind === 'stop') this.#unsent.add(keyOf(order));
    this.#urgent.send(unqueued);
  }

  /** Sends starts whose bindings are stored. */
  send(starts: readonly Order[]): void {
    this.#starts.send(starts);
  }

  /** Requests a round as soon as many more starts can be queued. */
  wakeWhenCapacity(): void {
    this.#starts.whenCapacity(() => this.wake());
  }
}

/** The limits of rounds that must not start anything. */
export const NO_STARTS: RoundLimits = { placingMs: 0, starts: 0, clockMs: steadyMs };

function keyOf({ kind, worker, task, run }: Order): string {
  return `${kind} ${worker} ${taskName(task)} ${run}`;
}
