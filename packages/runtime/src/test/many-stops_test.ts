import assert from 'node:assert/strict';
import type { TestContext } from 'node:test';
import { test } from 'node:test';
import type { Order } from '@redwingcrank/jobs';
import { RoundPacing } from '../internal/round-pacing.js';
import { VirtualTime } from './virtual-fleet.js';

const STOPS = 200;

/** What an order costs a slow node, in milliseconds. */
const ORDER_MS = 3;

function stops(): Order[] {
  return Array.from({ length: STOPS }, (_, index) => {
    const task = { jobId: '00000000000000aa', occurrence: 0, step: 0, index };
    return { kind: 'stop', worker: 'w1', task, run: 1 };
  });
}

/** Notes what is sent, and how many in one piece at most. */
class Sent {
  readonly stopping = new AbortController();

  readonly indexes: number[] = [];

  longest = 0;

  #inPiece = 0;

  readonly #time: VirtualTime;

  readonly #beganMs: number;

  readonly #orderMs: () => number;

  /** What sending has taken so far, in milliseconds. */
  spentMs = 0;

  /** From the first order to the newest, in milliseconds. */
  tookMs = 0;

  constructor(context: TestContext, orderMs: () => number = () => ORDER_MS) {
    this.#time = new VirtualTime(context);
    this.#beganMs = this.#time.nowMs;
    this.#orderMs = orderMs;
    this.#otherWork();
  }

  /** What the node does beside sending: due at any moment. */
  #otherWork(): void {
    this.#inPiece = 0;
    if (!this.stopping.signal.aborted) setTimeout(() => this.#otherWork(), 1);
  }

  readonly pacing = new RoundPacing(this.stopping.signal, ({ task }) => {
    const orderMs = this.#orderMs();
    this.#time.block(orderMs);
    this.spentMs += orderMs;
    this.tookMs = this.#time.nowMs - this.#beganMs;
    this.indexes.push(task.index);
    this.#inPiece += 1;
    this.longest = Math.max(this.longest, this.#inPiece);
  });

  async end(ms = 3 * STOPS * ORDER_MS): Promise<void> {
    await this.#time.advance(ms);
    this.stopping.abort();
  }
}

test('stops leave the node time for its other work', async (t) => {
  // A job with hundreds of tasks is cancelled, or a node takes over and finds as many that nobody asks
  // for. Sent in one piece the stops keep a node with a third of a core from renewals and from its own
  // record for over half a second.
  const sent = new Sent(t);
  sent.pacing.sendAtOnce(stops());
  await sent.end();
  assert.ok(sent.longest <= 20, `${sent.longest} stops in one piece`);
  assert.equal(sent.indexes.length, STOPS);
});

test('a stop that waits to be sent is not sent a second time', async (t) => {
  // A stop without effect falls due again after 1.2 s, as if it had been sent when it was decided on.
  // Where sending takes longer, the same stops would wait twice and three times, and more each time.
  const sent = new Sent(t);
  sent.pacing.sendAtOnce(stops());
  sent.pacing.sendAtOnce(stops());
  await sent.end();
  assert.equal(new Set(sent.indexes).size, STOPS);
  assert.ok(sent.indexes.length <= STOPS + 20, `${sent.indexes.length} stops`);
});

test('a node that gets little processor time sends stops for half of it', async (t) => {
  // Guards against stops that come late for rests that grow beyond what the stops themselves took: a
  // machine with much else to do makes each order of a node take 1 to 8 times as long.
  for (let seed = 1; seed <= 5; seed += 1) {
    let state = seed;
    const slowMs = (): number => {
      state = (state * 48_271) % 2_147_483_647;
      return ORDER_MS * (1 + (state % 8));
    };
    const sent = new Sent(t, slowMs);
    sent.pacing.sendAtOnce(stops());
    await sent.end(20 * STOPS * ORDER_MS);
    t.mock.restoreAll();
    assert.equal(sent.indexes.length, STOPS);
    assert.ok(sent.longest <= 20, `${sent.longest} stops in one piece`);
    assert.ok(sent.tookMs <= 2.1 * sent.spentMs, `${sent.tookMs} ms for ${sent.spentMs} ms`);
  }
});
