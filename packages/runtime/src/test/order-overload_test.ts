import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Order, OrderOutcome } from '@redwingcrank/jobs';
import { RetryBudget } from '../internal/retry-budget.js';
import type { LinkListener } from '../internal/worker-link.js';
import { WorkerLink } from '../internal/worker-link.js';
import { NodeLog } from '../node-log.js';
import type { OrderResult, RenewResult } from '../task-workers.js';
import { TaskWorkers } from '../task-workers.js';
import { WORKER_ENTRY } from './fixtures.js';
import { VirtualTime } from './virtual-fleet.js';

/** Time that the leader's network link needs for one call, in milliseconds. */
const CALL_MS = 10;

/** Interval of new orders, in milliseconds: they use 80 % of the link. */
const ORDER_INTERVAL_MS = 12.5;

/** Time limit of a call, in milliseconds. */
const TIMEOUT_MS = 500;

/** Duration of an answer without load, and while the workers are slow, in milliseconds. */
const USUAL_ANSWER_MS = 3;

const SLOW_ANSWER_MS = 600;

const SLOW_FROM_MS = 2_000;

const SLOW_UNTIL_MS = 7_000;

const END_MS = 20_000;

/** Workers behind one network link that carries one call after another. */
class SharedLink extends TaskWorkers {
  readonly #time: VirtualTime;

  readonly #startedMs: number;

  #busyUntilMs = 0;

  calls = 0;

  constructor(time: VirtualTime) {
    super();
    this.#time = time;
    this.#startedMs = time.nowMs;
  }

  override async renew(): Promise<RenewResult> {
    return { outcome: 'unknown', reason: 'unused' };
  }

  override async order(): Promise<OrderResult> {
    this.calls += 1;
    const { nowMs } = this.#time;
    const sinceStartMs = nowMs - this.#startedMs;
    const isSlow = sinceStartMs >= SLOW_FROM_MS && sinceStartMs < SLOW_UNTIL_MS;
    this.#busyUntilMs = Math.max(nowMs, this.#busyUntilMs) + CALL_MS;
    const tookMs = this.#busyUntilMs - nowMs + (isSlow ? SLOW_ANSWER_MS : USUAL_ANSWER_MS);
    await this.#time.after(Math.min(tookMs, TIMEOUT_MS));
    if (tookMs > TIMEOUT_MS) return { outcome: 'unknown', reason: 'timeout' };
    return { outcome: 'done', reason: '' };
  }

  override disconnect(): void {}
}

test('orders that time out are not repeated so often that a short overload lasts', async (t) => {
  // Guards against a retry storm: three attempts of each order keep a link saturated long after the
  // workers answer quickly again.
  const time = new VirtualTime(t);
  const startedMs = time.nowMs;
  const workers = new SharedLink(time);
  const waits: { readonly sentMs: number; readonly tookMs: number }[] = [];
  const outcomes: OrderOutcome[] = [];
  const listener: LinkListener = {
    token: 1,
    leaseLimitMs: () => 6_000,
    ackedEnd: () => 0,
    isBusy: () => true,
    isDue: () => true,
    views: { windowMs: () => 1_500, ages: () => ({}) },
    startSent: () => {},
    leaseSent: () => {},
    reported: () => {},
    answered: (_order, outcome) => outcomes.push(outcome),
    workerEnded: () => {},
    fenced: () => {},
  };
  const log = new NodeLog('n1', 'silent');
  const link = new WorkerLink(WORKER_ENTRY, workers, listener, log, 6_000, new RetryBudget());
  const task = { jobId: '00000000000000aa', occurrence: 0, step: 0, index: 0 };
  const order: Order = {
    kind: 'start',
    worker: 'w1',
    task,
    run: 1,
    priority: 0,
    payload: '',
    checkpoint: '',
  };
  const sent: Promise<void>[] = [];
  for (let atMs = 0; atMs < END_MS; atMs += ORDER_INTERVAL_MS) {
    const sentMs = time.nowMs - startedMs;
    sent.push(
      link.order(order).then(() => {
        waits.push({ sentMs, tookMs: time.nowMs - startedMs - sentMs });
      }),
    );
    await time.advance(ORDER_INTERVAL_MS);
  }
  await time.advance(10 * TIMEOUT_MS);
  await Promise.all(sent);
  assert.equal(outcomes.length, sent.length);
  assert.ok(workers.calls <= 1.15 * sent.length, `${workers.calls} calls, ${sent.length} orders`);
  const late = waits.filter(({ sentMs, tookMs }) => sentMs > SLOW_UNTIL_MS + 2_000 && tookMs > 100);
  assert.deepEqual(late, [], 'orders wait for long two seconds after the overload');
});
