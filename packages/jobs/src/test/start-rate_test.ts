import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Order } from '../order.js';
import {
  SchedulerHarness,
  jobSpec,
  runningRow,
  stepSpec,
  workerEntry,
} from './scheduler-harness.js';

const ROUND_MS = 100;

const STARTS_PER_ROUND = 4;

const WORKERS = Array.from({ length: 60 }, (_, i) => workerEntry(`w${i}`));

/** The steps that a leader can try to place in a round whose time is limited. */
const STEPS_PER_ROUND = 10;

/** A leader with more tasks to start than it can start in the test, on workers with free capacity. */
class BusyLeader {
  readonly #harness = new SchedulerHarness(WORKERS);

  #orders: Order[] = [];

  readonly #jobCount: number;

  /** Each of the tasks, a thousand in all, reserves this part of the processors of a worker, in percent. */
  constructor({ percentPerTask = 1, jobCount = 1, reservedPercent = 0 } = {}) {
    this.#jobCount = jobCount;
    if (reservedPercent > 0) this.#reserve(reservedPercent);
    const cpuMilli = 80 * percentPerTask;
    const taskCount = 1_000 / jobCount;
    for (let i = 0; i < jobCount; i += 1)
      this.#harness.submit(jobSpec([stepSpec({ taskCount, cpuMilli, memMb: 1 })], { id: `${i}` }));
  }

  /** Reserves this part of the processors of each worker for long-running tasks, in percent. */
  #reserve(percent: number): void {
    const spec = { lasting: true, taskCount: WORKERS.length, maxPerWorker: 1, memMb: 1 };
    const steps = [stepSpec({ ...spec, cpuMilli: 80 * percent })];
    this.#harness.submit(jobSpec(steps, { id: 'services' }));
    this.run(ROUND_MS, false, Infinity);
  }

  /** Records the starts of a second in which the node was busy for this share of the time. */
  loadMeasured(starts: number, busyShare: number): void {
    this.#harness.scheduler.loadMeasured(starts, busyShare);
  }

  get startsPerSecond(): number | undefined {
    return this.#harness.scheduler.startsPerSecond();
  }

  /** Runs rounds for some time, each of which may start up to `starts` tasks. */
  run(ms: number, isNodeBusy: boolean, starts = STARTS_PER_ROUND, placingMs = Infinity): void {
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
      let stepsTried = 0;
      // The budget of a round reads the clock when it begins, and before each further step.
      const clockMs = (): number => {
        stepsTried += 1;
        return stepsTried;
      };
      const limits = { placingMs, starts, clockMs, isNodeBusy };
      for (const order of scheduler.decide(nowMs, nowMs, limits).orders) {
        this.#harness.answer(order, 'done');
        this.#orders.push(order);
      }
    }
  }

  /** Ends a running task, so that its worker has capacity for another one. */
  endTask(): void {
    const [order, ...others] = this.#orders;
    if (!order) return;
    this.#orders = others;
    this.#harness.report(order.worker, { ended: [this.#harness.end(order, 'done')] });
  }

  /** Cancels what there is to start. */
  cancel(): void {
    for (let i = 0; i < this.#jobCount; i += 1)
      this.#harness.scheduler.cancel(`${i}`, this.#harness.nowMs);
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

test('the starts of a leader whose workers are full are not taken for its rate', () => {
  // Guards against nodes that refuse jobs because the workers leave little to start.
  const leader = new BusyLeader({ percentPerTask: 100, jobCount: 100 });
  leader.run(900, true, Infinity);
  for (let round = 0; round < 40; round += 1) {
    leader.endTask();
    leader.run(ROUND_MS, true, Infinity, STEPS_PER_ROUND);
    assert.equal(leader.startsPerSecond, undefined);
  }
});

test('the start rate is measured although long-running tasks reserve most processors', () => {
  // Guards against taking the workers for the limit while they have capacity for what waits.
  const leader = new BusyLeader({ reservedPercent: 80 });
  leader.run(8_000, true);
  const rate = (1_000 * STARTS_PER_ROUND) / ROUND_MS;
  assert.ok(Math.abs(leader.startsPerSecond! - rate) < 0.1 * rate, `${leader.startsPerSecond}`);
});

test('a leader with processor time left states a higher start rate', () => {
  // Guards against a rate of the first seconds of a term, in which a leader takes over the workers, that
  // keeps callers away from a leader which could start their jobs.
  const leader = new BusyLeader();
  leader.run(3_000, true);
  const rate = leader.startsPerSecond!;
  leader.cancel();
  for (let second = 0; second < 4; second += 1) {
    leader.loadMeasured(rate, 0.5);
    leader.run(1_000, false);
  }
  const stated = leader.startsPerSecond!;
  assert.ok(stated > 1.8 * rate && stated <= 2 * rate, `${stated} after ${rate}`);
});

test('a leader that waits for the store states no higher start rate', () => {
  // Guards against a rate that rises while nothing can be started.
  const leader = new BusyLeader();
  leader.run(3_000, true);
  const rate = leader.startsPerSecond!;
  for (const busyShare of [0, 0.05, 0.6]) leader.loadMeasured(0.1 * rate, busyShare);
  assert.equal(leader.startsPerSecond, rate);
});
