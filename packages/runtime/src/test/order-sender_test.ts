import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Order } from '@redwingcrank/jobs';
import { delay } from '../internal/delay.js';
import { OrderSender } from '../internal/order-sender.js';
import { MAX_UNSENT_STARTS_MS } from '../internal/timing.js';

const STARTS = 200;

/** Processor time that a start costs a slow node, in milliseconds. */
const START_MS = 3;

/** Time of a start together with the time that is then left to other work, in milliseconds. */
const START_WITH_PAUSE_MS = 3 * START_MS;

/** Blocks the event loop for the given time, in milliseconds. */
function blockEventLoop(ms: number): void {
  const endMs = performance.now() + ms;
  while (performance.now() < endMs);
}

function orders(count: number): Order[] {
  return Array.from({ length: count }, (_, index) => {
    const task = { jobId: '00000000000000aa', occurrence: 0, step: 0, index };
    return { kind: 'start', worker: 'w1', task, run: 1, priority: 0, payload: '', checkpoint: '' };
  });
}

test('sending many starts leaves the node time for its other work and keeps their order', async () => {
  // One round of a node with a third of a core binds hundreds of tasks. Guards against sending the
  // starts without a break: it keeps the node from renewals and from writing its own record for over
  // half a second.
  const stopping = new AbortController();
  const sent: number[] = [];
  let consecutive = 0;
  let maxConsecutive = 0;
  const sender = new OrderSender(stopping.signal, ({ task }) => {
    blockEventLoop(START_MS);
    sent.push(task.index);
    consecutive += 1;
    maxConsecutive = Math.max(maxConsecutive, consecutive);
  });
  const otherWork = setInterval(() => {
    consecutive = 0;
  }, 1);
  sender.send(orders(STARTS));
  while (sent.length < STARTS) await delay(5, stopping.signal);
  clearInterval(otherWork);
  assert.ok(maxConsecutive <= 20, `${maxConsecutive} starts without a break`);
  assert.deepEqual(
    sent,
    orders(STARTS).map(({ task }) => task.index),
  );
  // By now the sender has measured the cost of a start: urgent orders must not wait for more than about
  // a second of starts.
  assert.ok(
    sender.capacity * START_WITH_PAUSE_MS < 1.5 * MAX_UNSENT_STARTS_MS,
    `capacity for ${sender.capacity}`,
  );
});

test('no more starts are sent after the end of the term', async () => {
  // Guards against running a task twice: the next leader may have started it elsewhere.
  const stopping = new AbortController();
  let sent = 0;
  const sender = new OrderSender(stopping.signal, () => {
    sent += 1;
  });
  sender.send(orders(STARTS));
  stopping.abort();
  const before = sent;
  await delay(50, new AbortController().signal);
  assert.ok(before < STARTS);
  assert.equal(sent, before);
});
