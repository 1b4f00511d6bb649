import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Order } from '@redwingcrank/jobs';
import { OrderSender } from '../internal/order-sender.js';
import { VirtualTime } from './virtual-fleet.js';

/** Processor time that a start costs a slow node, in milliseconds. */
const START_MS = 3;

/** The starts that such a node sends in about two seconds. */
const LESS_URGENT = 200;

/** The urgent starts that wait when the less urgent one is queued. */
const URGENT = 50;

/** What the objective of an urgent job leaves beside its work, in milliseconds. */
const TARGET_LATENCY_MS = 250;

/** The interval at which urgent starts are queued, in milliseconds: more than the node can send. */
const URGENT_INTERVAL_MS = START_MS;

/** What the objective of a less urgent job leaves beside its work, in milliseconds. */
const LESS_URGENT_LATENCY_MS = 3_000;

/** A slow node that sends starts, in virtual time. */
class SlowSender {
  readonly #time: VirtualTime;

  readonly #sender: OrderSender;

  /** When each start was sent, by the id of its job, in the order of sending. */
  readonly sentMs = new Map<string, number>();

  constructor(time: VirtualTime) {
    this.#time = time;
    this.#sender = new OrderSender(new AbortController().signal, ({ task }) => {
      time.block(START_MS);
      this.sentMs.set(task.jobId, time.nowMs);
    });
  }

  /** Queues starts of one task each. */
  queue(jobId: string, priority: number, count = 1): void {
    const orders = Array.from({ length: count }, (_, index): Order => {
      const task = { jobId, occurrence: 0, step: 0, index };
      return { kind: 'start', worker: 'w1', task, run: 1, priority, payload: '', checkpoint: '' };
    });
    this.#sender.send(orders);
  }

  async advance(ms: number): Promise<void> {
    await this.#time.advance(ms);
  }
}

test('a start of an urgent queue does not wait for less urgent ones that were queued before', async (t) => {
  // Guards against urgent jobs that miss their objective behind a second of less urgent starts, in each
  // of their steps.
  const time = new VirtualTime(t);
  const sender = new SlowSender(time);
  sender.queue('less-urgent', 2, LESS_URGENT);
  await sender.advance(100);
  const queuedMs = time.nowMs;
  sender.queue('urgent', 0);
  await sender.advance(5_000);
  const waitMs = sender.sentMs.get('urgent')! - queuedMs;
  assert.ok(waitMs <= TARGET_LATENCY_MS, `sent after ${waitMs} ms`);
});

test('a less urgent start is sent although urgent ones keep coming', async (t) => {
  // Guards against tasks that hold their capacity and never start while urgent starts use all the time
  // of the node.
  const time = new VirtualTime(t);
  const sender = new SlowSender(time);
  const queuedMs = time.nowMs;
  sender.queue('urgent', 0, URGENT);
  sender.queue('less-urgent', 2);
  while (!sender.sentMs.has('less-urgent') && time.nowMs < queuedMs + 2 * LESS_URGENT_LATENCY_MS) {
    sender.queue('urgent', 0);
    await sender.advance(URGENT_INTERVAL_MS);
  }
  const waitMs = (sender.sentMs.get('less-urgent') ?? Infinity) - queuedMs;
  assert.ok(waitMs <= LESS_URGENT_LATENCY_MS, `sent after ${waitMs} ms`);
});
