import assert from 'node:assert/strict';
import type { TestContext } from 'node:test';
import { test } from 'node:test';
import type { Order } from '@redwingcrank/jobs';
import { RoundPacing } from '../internal/round-pacing.js';
import { VirtualTime } from './virtual-fleet.js';

const STOPS = 200;

/** Processor time that an order costs a slow node, in milliseconds. */
const ORDER_MS = 3;

/** Returns orders to stop one run of each of many tasks. */
function stops(): Order[] {
  return Array.from({ length: STOPS }, (_, index) => {
    const task = { jobId: '00000000000000aa', occurrence: 0, step: 0, index };
    return { kind: 'stop', worker: 'w1', task, run: 1 };
  });
}

/** Records the stops that are sent, and how many are sent without a break at most. */
class SentStops {
  readonly stopping = new AbortController();

  readonly indexes: number[] = [];

  /** The most stops that were sent without a break. */
  maxConsecutive = 0;

  #consecutive = 0;

  readonly #time: VirtualTime;

  readonly #startedMs: number;

  readonly #orderMs: () => number;

  /** Processor time that sending has cost, in milliseconds. */
  spentMs = 0;

  /** Time from the first order to the newest, in milliseconds. */
  tookMs = 0;

  constructor(context: TestContext, orderMs: () => number = () => ORDER_MS) {
    this.#time = new VirtualTime(context);
    this.#startedMs = this.#time.nowMs;
    this.#orderMs = orderMs;
    this.#otherWork();
  }

  /** Other work of the node, due every millisecond. */
  #otherWork(): void {
    this.#consecutive = 0;
    if (!this.stopping.signal.aborted) setTimeout(() => this.#otherWork(), 1);
  }

  readonly pacing = new RoundPacing(this.stopping.signal, ({ task }) => {
    const orderMs = this.#orderMs();
    this.#time.block(orderMs);
    this.spentMs += orderMs;
    this.tookMs = this.#time.nowMs - this.#startedMs;
    this.indexes.push(task.index);
    this.#consecutive += 1;
    this.maxConsecutive = Math.max(this.maxConsecutive, this.#consecutive);
  });

  /** Lets the given time pass, then ends the term. */
  async end(ms = 3 * STOPS * ORDER_MS): Promise<void> {
    await this.#time.advance(ms);
    this.stopping.abort();
  }
}

test('sending many stops leaves the node time for its other work', async (t) => {
  // A job with hundreds of tasks is cancelled, or a new leader finds hundreds of runs that belong to no
  // job. Guards against sending the stops without a break: it keeps a node with a third of a core from
  // renewals and from writing its own record for over half a second.
  const sent = new SentStops(t);
  sent.pacing.sendAtOnce(stops());
  await sent.end();
  assert.ok(sent.maxConsecutive <= 20, `${sent.maxConsecutive} stops without a break`);
  assert.equal(sent.indexes.length, STOPS);
});

test('a stop that waits to be sent is not queued a second time', async (t) => {
  // A stop without effect is due again 1.2 s after the decision, even if it is not sent yet. Guards
  // against a queue that holds the same stops several times, and grows, where sending takes longer.
  const sent = new SentStops(t);
  sent.pacing.sendAtOnce(stops());
  sent.pacing.sendAtOnce(stops());
  await sent.end();
  assert.equal(new Set(sent.indexes).size, STOPS);
  assert.ok(sent.indexes.length <= STOPS + 20, `${sent.indexes.length} stops`);
});

test('a node with little processor time spends half of it on sending stops', async (t) => {
  // Guards against stops that are late because the pauses between them grow longer than the stops
  // themselves took: on a busy machine each order of the node takes 1 to 8 times as long.
  for (let seed = 1; seed <= 5; seed += 1) {
    let state = seed;
    const slowMs = (): number => {
      state = (state * 48_271) % 2_147_483_647;
      return ORDER_MS * (1 + (state % 8));
    };
    const sent = new SentStops(t, slowMs);
    sent.pacing.sendAtOnce(stops());
    await sent.end(20 * STOPS * ORDER_MS);
    t.mock.restoreAll();
    assert.equal(sent.indexes.length, STOPS);
    assert.ok(sent.maxConsecutive <= 20, `${sent.maxConsecutive} stops without a break`);
    assert.ok(sent.tookMs <= 2.1 * sent.spentMs, `${sent.tookMs} ms for ${sent.spentMs} ms`);
  }
});
