import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Order } from '@redwingcrank/jobs';
import { delay, steadyMs } from '../internal/delay.js';
import { RoundPacing } from '../internal/round-pacing.js';

const STOPS = 200;

/** What an order costs a slow node, in milliseconds. */
const ORDER_MS = 3;

function busy(ms: number): void {
  for (const endMs = steadyMs() + ms; steadyMs() < endMs;);
}

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

  readonly #other = setInterval(() => {
    this.#inPiece = 0;
  }, 1);

  readonly pacing = new RoundPacing(this.stopping.signal, ({ task }) => {
    busy(ORDER_MS);
    this.indexes.push(task.index);
    this.#inPiece += 1;
    this.longest = Math.max(this.longest, this.#inPiece);
  });

  async end(): Promise<void> {
    await delay(3 * STOPS * ORDER_MS, this.stopping.signal);
    this.stopping.abort();
    clearInterval(this.#other);
  }
}

test('stops leave the node time for its other work', async () => {
  // A job with hundreds of tasks is cancelled, or a node takes over and finds as many that nobody asks
  // for. Sent in one piece the stops keep a node with a third of a core from renewals and from its own
  // record for over half a second.
  const sent = new Sent();
  sent.pacing.sendAtOnce(stops());
  await sent.end();
  assert.ok(sent.longest <= 20, `${sent.longest} stops in one piece`);
  assert.equal(sent.indexes.length, STOPS);
});

test('a stop that waits to be sent is not sent a second time', async () => {
  // A stop without effect falls due again after 1.2 s, as if it had been sent when it was decided on.
  // Where sending takes longer, the same stops would wait twice and three times, and more each time.
  const sent = new Sent();
  sent.pacing.sendAtOnce(stops());
  sent.pacing.sendAtOnce(stops());
  await sent.end();
  assert.equal(new Set(sent.indexes).size, STOPS);
  assert.ok(sent.indexes.length <= STOPS + 20, `${sent.indexes.length} stops`);
});
