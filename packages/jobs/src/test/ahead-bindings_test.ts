import assert from 'node:assert/strict';
import { test } from 'node:test';
import { JobProgress } from '../job-progress.js';
import type { StepSpec } from '../job.js';
import type { Order } from '../order.js';
import { NO_LIMITS } from '../internal/round-limits.js';
import type { AheadMode } from '../internal/round-limits.js';
import type { Decisions } from '../scheduler.js';
import {
  SchedulerHarness,
  jobSpec,
  runningRow,
  stepSpec,
  workerEntry,
} from './scheduler-harness.js';

/** More than the interval at which ahead bindings are chosen, in milliseconds. */
const PLAN_MS = 1_100;

/** The number of short tasks that fill a worker. */
const SHORT_TASKS = 8;

const WAITING_ID = '00000000000000bb';

/** A task that fills a worker. */
const WHOLE = { cpuMilli: 8_000 };

/** Workers that are full of short tasks, and a job of four tasks that waits for capacity. */
class FullCluster extends SchedulerHarness {
  readonly names: readonly string[];

  readonly waiting: JobProgress;

  readonly #running: readonly Order[];

  constructor(step: Partial<StepSpec> = {}, workerCount = 4) {
    const names = Array.from({ length: workerCount }, (_, i) => `w${i}`);
    super(names.map((name, i) => workerEntry(name, { dataCentre: i % 2 === 0 ? 'a' : 'b' })));
    this.names = names;
    this.submit(jobSpec([stepSpec({ taskCount: SHORT_TASKS * workerCount })]));
    this.#running = this.decide().orders;
    this.waiting = this.submit(
      jobSpec([stepSpec({ ...WHOLE, taskCount: 4, ...step })], { id: WAITING_ID }),
    );
  }

  /** Runs a round that may bind tasks ahead, after the workers have reported what runs. */
  round(ahead: AheadMode = 'plan'): Decisions {
    for (const name of this.names)
      this.report(name, { running: this.#runningOn(name).map((order) => runningRow(order)) });
    return this.scheduler.decide(this.nowMs, this.nowMs, { ...NO_LIMITS, ahead });
  }

  /** Runs a round that binds tasks ahead, and returns what it must store. */
  plan(): Decisions {
    this.nowMs += PLAN_MS;
    return this.round();
  }

  /** Ends the short tasks. */
  endAll(): void {
    for (const name of this.names)
      this.report(name, { ended: this.#runningOn(name).map((order) => this.end(order, 'done')) });
  }

  #runningOn(name: string): Order[] {
    return this.#running.filter(({ worker }) => worker === name);
  }

  startAhead(): Order[] {
    return this.scheduler.startAhead(this.nowMs, NO_LIMITS, 500);
  }

  /** Returns the tasks of the waiting job as they are stored. */
  storedTasks(): { phase: string; run: number; worker: string }[] {
    const { spec } = this.waiting;
    const stored = JobProgress.decode(spec, this.waiting.encode());
    return [...stored.occurrences.values()].flatMap(({ steps }) => steps[0]!);
  }
}

test('a task that is bound ahead starts on its worker only once its binding is stored', () => {
  // Guards against a start whose binding is in an append without an answer: a later leader that does
  // not find the binding would start the task a second time.
  const cluster = new FullCluster();
  const { ahead, orders, changed } = cluster.plan();
  assert.deepEqual([ahead.length, orders.length, changed.length], [4, 0, 1]);
  cluster.endAll();
  assert.deepEqual(cluster.startAhead(), []);
  cluster.scheduler.aheadStored(ahead);
  const bound = cluster.storedTasks();
  const starts = cluster.startAhead();
  assert.deepEqual(
    starts.map(({ task, run, worker }) => ({ index: task.index, run, worker })),
    bound.map(({ run, worker }, index) => ({ index, run, worker })),
  );
  assert.deepEqual(cluster.storedTasks(), bound, 'starts change no binding');
  assert.deepEqual(cluster.startAhead(), [], 'started a second time');
});

test('a task that is bound ahead counts as waiting, except in its record', () => {
  // Guards against idle jobs that count as running, workers that count as full, and callers that are
  // told that a job runs of which nothing was started.
  const cluster = new FullCluster();
  cluster.plan();
  const { idleJobs, reservedPercent } = cluster.scheduler.backlog(cluster.nowMs);
  assert.deepEqual([idleJobs, reservedPercent, cluster.scheduler.aheadCount], [1, 100, 4]);
  assert.equal(cluster.waiting.boundCount(4), 0);
  assert.equal(cluster.waiting.state, 'queued');
  assert.ok(cluster.storedTasks().every(({ phase, run }) => phase === 'bound' && run === 1));
});

test('a round places a task that is bound ahead where there is capacity', () => {
  // Guards against urgent tasks that wait for the worker that they are bound to, and against a second
  // start under the binding that was left.
  const cluster = new FullCluster();
  cluster.scheduler.aheadStored(cluster.plan().ahead);
  const free = workerEntry('free', { capacity: { cpuMilli: 32_000, memMb: 64_000, gpus: 0 } });
  cluster.scheduler.listWorker(free, cluster.nowMs);
  cluster.report('free');
  const { orders } = cluster.round();
  assert.deepEqual(
    orders.map(({ worker, run }) => `${worker} ${run}`),
    Array<string>(4).fill('free 2'),
  );
  cluster.endAll();
  assert.deepEqual(cluster.startAhead(), []);
  cluster.report('free', { ended: orders.map((order) => cluster.end(order, 'failed')) });
  assert.deepEqual(cluster.startAhead(), []);
  assert.ok(cluster.storedTasks().every(({ phase, run }) => phase === 'waiting' && run === 2));
});

test('nothing is started ahead beyond the capacity of the worker', () => {
  // Guards against over-commitment: several tasks are bound ahead to a worker with room for one.
  const cluster = new FullCluster({}, 2);
  const { ahead } = cluster.plan();
  cluster.scheduler.aheadStored(ahead);
  assert.equal(ahead.length, 4);
  assert.deepEqual(cluster.startAhead(), [], 'both workers are full');
  cluster.endAll();
  assert.equal(cluster.startAhead().length, 2);
  assert.deepEqual(cluster.startAhead(), []);
});

test('an ahead binding ends with its worker, its job, or the term', () => {
  // Guards against starts on workers that leave and of cancelled jobs, against records that name such
  // workers, and against a resigned leader's bindings that its successor has to clear up.
  const losses: readonly ((cluster: FullCluster) => void)[] = [
    (cluster) => cluster.scheduler.cancel(WAITING_ID, cluster.nowMs),
    ({ scheduler, nowMs }) => scheduler.setEvacuated(new Set(['a', 'b']), nowMs),
    (cluster) => {
      for (const name of cluster.names) {
        const entry = workerEntry(name, { draining: true, remainingMs: 5_000 });
        cluster.scheduler.listWorker(entry, cluster.nowMs);
      }
    },
  ];
  for (const lose of losses) {
    const cluster = new FullCluster();
    cluster.scheduler.aheadStored(cluster.plan().ahead);
    lose(cluster);
    cluster.endAll();
    assert.deepEqual(cluster.startAhead(), []);
    assert.ok(cluster.round().changed.includes(cluster.waiting));
    assert.ok(cluster.storedTasks().every(({ phase, run }) => phase === 'waiting' && run === 1));
  }
  const cluster = new FullCluster();
  cluster.plan();
  assert.ok(cluster.round('release').changed.includes(cluster.waiting));
  assert.equal(cluster.scheduler.aheadCount, 0);
  assert.ok(cluster.storedTasks().every(({ phase, run }) => phase === 'waiting' && run === 1));
});

test('ahead bindings are limited by recent starts, worker, data centre and kind of step', () => {
  // Guards against a later leader that has to wait for many tasks because of few workers.
  const count = (step: Partial<StepSpec>, workers = 4): number =>
    new FullCluster(step, workers).plan().ahead.length;
  assert.equal(count({ taskCount: 20 }, 1), 4, 'four on a worker');
  assert.equal(count({ taskCount: 4 }, 1), 2, 'half of the tasks in one data centre');
  assert.equal(count({ gang: true }), 0);
  assert.equal(count({ lasting: true }), 0);
  assert.equal(count({ speculative: true }), 0);
  assert.equal(count({ maxPerWorker: 1 }), 0);
  const cluster = new FullCluster({ taskCount: 100 }, 20);
  assert.equal(cluster.plan().ahead.length, 80);
  cluster.nowMs += 2_000;
  cluster.round();
  assert.equal(cluster.scheduler.aheadCount, 0, 'nothing was started in the last 3 s');
});

test('a later leader asks the worker of an ahead binding before it starts the task', () => {
  // Guards against a second run of a task that the former leader started while the store did not
  // answer, and against a job that is shown as queued while it runs.
  const cluster = new FullCluster();
  const former = cluster.plan().ahead;
  cluster.scheduler.aheadStored(former);
  cluster.endAll();
  const stored = JobProgress.decode(cluster.waiting.spec, cluster.waiting.encode());
  const [started] = cluster.startAhead();
  const next = new SchedulerHarness([]);
  next.scheduler.addJob(stored);
  for (const name of cluster.names) next.scheduler.listWorker(workerEntry(name), next.nowMs);
  assert.deepEqual(next.starts(), []);
  next.report(started!.worker, { running: [runningRow(started!)] });
  assert.equal(stored.state, 'running');
  for (const name of cluster.names) if (name !== started!.worker) next.report(name);
  const restarted = next.starts();
  assert.equal(restarted.length, 3);
  assert.ok(restarted.every(({ task, run }) => task.index !== started!.task.index && run === 2));
});
