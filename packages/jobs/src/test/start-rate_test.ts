import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Order } from '../order.js';
import {
  JOB_ID,
  SchedulerHarness,
  jobSpec,
  runningRow,
  stepSpec,
  workerEntry,
} from './scheduler-harness.js';

const ROUND_MS = 100;

const STARTS_PER_ROUND = 4;

const WORKERS = Array.from({ length: 60 }, (_, i) => workerEntry(`w${i}`));

/** A leader with more tasks to start than it can start in the test, on workers with free capacity. */
class BusyLeader {
  readonly #harness = new SchedulerHarness(WORKERS);

  readonly #orders: Order[] = [];

  /** Each task reserves the given part of the processors of a worker, in percent. */
  constructor(percentPerTask = 1) {
    const cpuMilli = 80 * percentPerTask;
    this.#harness.submit(jobSpec([stepSpec({ taskCount: 1_000, cpuMilli, memMb: 1 })]));
  }

  get startsPerSecond(): number | undefined {
    return this.#harness.scheduler.startsPerSecond();
  }

  /** Runs rounds for some time, each of which may start up to `starts` tasks. */
  run(ms: number, isNodeBusy: boolean, starts = STARTS_PER_ROUND): void {
    const endMs = this.#harness.nowMs + ms;
    while (this.#harness.nowMs < endMs) {
      this.#harness.nowMs += ROUND_MS;
      const { nowMs, scheduler } = this.#harness;
      for (const { id } of WORKERS) {
        const running = this.#orders.filter(({ worker }) => worker === id);
        const percent = Math.floor(nowMs / ROUND_MS) % 100;
        this.#harness.report(id, {
          running: running.map((order) => runningRow(order, { percent })),
        });
      }
      const limits = { placingMs: Infinity, starts, clockMs: () => nowMs, isNodeBusy };
      for (const order of scheduler.decide(nowMs, nowMs, limits).orders) {
        this.#harness.answer(order, 'done');
        this.#orders.push(order);
      }
    }
  }

  /** Cancels what there is to start. */
  cancel(): void {
    this.#harness.scheduler.cancel(JOB_ID, this.#harness.nowMs);
  }
}

test('the start rate of a leader is measured while it has no processor time left', () => {
  // Guards against nodes that do not learn how few tasks a slow leader can start.
  const leader = new BusyLeader();
  leader.run(900, true);
  assert.equal(leader.startsPerSecond, undefined);
  leader.run(3_000, true);
  const rate = (1_000 * STARTS_PER_ROUND) / ROUND_MS;
  assert.ok(Math.abs(leader.startsPerSecond! - rate) < 0.1 * rate, `${leader.startsPerSecond}`);
});

test('a wait for the store neither lowers nor raises the start rate', () => {
  // Guards against nodes that refuse jobs after an outage of the store, because the leader started
  // no task meanwhile, and against nodes that accept more during the outage, as it was not busy.
  const leader = new BusyLeader();
  leader.run(5_000, false, 0);
  assert.equal(leader.startsPerSecond, undefined);
  leader.run(3_000, true);
  const rate = leader.startsPerSecond!;
  leader.run(15_000, false, 0);
  assert.equal(leader.startsPerSecond, rate);
  leader.run(500, true);
  assert.equal(leader.startsPerSecond, rate);
});

test('the start rate rises step by step after an overload, and is forgotten', () => {
  // Guards against refusals that outlast the overload, and against accepting all jobs at once as soon
  // as the leader has caught up.
  const leader = new BusyLeader();
  leader.run(3_000, true);
  const rate = leader.startsPerSecond!;
  leader.cancel();
  leader.run(4_000, true);
  assert.equal(leader.startsPerSecond, rate);
  leader.run(8_000, true);
  assert.equal(leader.startsPerSecond, 4 * rate);
  leader.run(9_000, true);
  assert.equal(leader.startsPerSecond, undefined);
});

test('the starts of a leader whose workers are nearly full are not taken for its rate', () => {
  // Guards against nodes that refuse jobs because the workers leave little to start.
  const leader = new BusyLeader(100);
  leader.run(900, true, 5);
  leader.run(1_500, true, 1);
  assert.equal(leader.startsPerSecond, undefined);
});
