import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Order } from '@redwingcrank/jobs';
import { delay } from '../internal/delay.js';
import { OrderSender } from '../internal/order-sender.js';
import { MAX_UNSENT_STARTS_MS } from '../internal/timing.js';

const STARTS = 200;

/** What a start costs a slow node, in milliseconds. */
const START_MS = 3;

/** A start takes so much of the node's time together with what is left to its other work. */
const TURN_MS = 3 * START_MS;

function busy(ms: number): void {
  const endMs = performance.now() + ms;
  while (performance.now() < endMs);
}

function orders(count: number): Order[] {
  return Array.from({ length: count }, (_, index) => {
    const task = { jobId: '00000000000000aa', occurrence: 0, step: 0, index };
    return { kind: 'start', worker: 'w1', task, run: 1, payload: '', checkpoint: '' };
  });
}

test('starts leave the node time for its other work, and keep their order', async () => {
  // A round of a node with a third of a core has bound hundreds of tasks. Sent in one piece the
  // starts keep it for over half a second from renewals and from its own record. What else there is
  // to do must have its turn after every few of them.
  const stopping = new AbortController();
  const sent: number[] = [];
  let inPiece = 0;
  let longest = 0;
  const sender = new OrderSender(stopping.signal, ({ task }) => {
    busy(START_MS);
    sent.push(task.index);
    inPiece += 1;
    longest = Math.max(longest, inPiece);
  });
  const other = setInterval(() => {
    inPiece = 0;
  }, 1);
  sender.send(orders(STARTS));
  while (sent.length < STARTS) await delay(5, stopping.signal);
  clearInterval(other);
  assert.ok(longest <= 20, `${longest} starts in one piece`);
  assert.deepEqual(
    sent,
    orders(STARTS).map(({ task }) => task.index),
  );
  // By now it knows how slow it is: what is urgent must not stand behind more than a second.
  assert.ok(sender.capacity * TURN_MS < 1.5 * MAX_UNSENT_STARTS_MS, `room for ${sender.capacity}`);
});

test('starts are not sent any more once the term is over', async () => {
  // The node that replaced this one may have started the same tasks elsewhere.
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
