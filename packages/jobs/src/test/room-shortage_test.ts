import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Order } from '../order.js';
import {
  QUEUE,
  SchedulerHarness,
  jobSpec,
  runningRow,
  stepSpec,
  workerEntry,
} from './scheduler-harness.js';

type Start = Order & { kind: 'start' };

const ROUND_MS = 100;

/** The short tasks that run first: five eighths of the processors of each worker. */
const SHORT = stepSpec({ taskCount: 2, cpuMilli: 5_000, estimateMs: 500 });

const SHORT_MS = 500;

/** A task that needs more than half of the processors of a worker. */
const LARGE = stepSpec({ cpuMilli: 6_000, estimateMs: 2_000 });

const NEW_LONG_RUNNING = stepSpec({ taskCount: 2, cpuMilli: 3_000, lasting: true });

/** The longest time for which an accepted job may be idle, in milliseconds. */
const MAX_IDLE_MS = 15_000;

/** Two workers on which short tasks run, with room for a long-running task beside each of them. */
class NearlyFullCluster {
  readonly harness = new SchedulerHarness([workerEntry('w1'), workerEntry('w2')]);

  #running: { readonly start: Start; readonly endMs: number }[] = [];

  /** When the first task of each job was started. */
  readonly startedMs = new Map<string, number>();

  constructor() {
    this.harness.submit(jobSpec([SHORT], { id: 'short', acceptedMs: this.harness.nowMs }));
    this.round();
  }

  /** Runs a round; short tasks end after their time, and long-running ones never. */
  round(): void {
    const { harness } = this;
    for (const start of harness.starts()) {
      const { spec } = harness.scheduler.jobs.get(start.task.jobId)!;
      const { lasting, estimateMs } = spec.steps[0]!;
      harness.answer(start, 'done');
      this.#running.push({ start, endMs: harness.nowMs + (lasting ? Infinity : estimateMs) });
      if (!this.startedMs.has(spec.id)) this.startedMs.set(spec.id, harness.nowMs);
    }
    harness.nowMs += ROUND_MS;
    const ended = this.#running.filter(({ endMs }) => endMs <= harness.nowMs);
    this.#running = this.#running.filter(({ endMs }) => endMs > harness.nowMs);
    for (const worker of ['w1', 'w2']) {
      harness.report(worker, {
        running: this.#running
          .filter(({ start }) => start.worker === worker)
          .map(({ start }) => runningRow(start, { percent: 100 })),
        ended: ended
          .filter(({ start }) => start.worker === worker)
          .map(({ start }) => harness.end(start, 'done')),
      });
    }
  }
}

test('new long-running tasks leave the room to a job in time that waits for it', () => {
  // Guards against jobs that miss their objective beside free processors: what becomes free for them is
  // taken, in pieces and for minutes, by tasks that come after them.
  const cluster = new NearlyFullCluster();
  const { harness } = cluster;
  const acceptedMs = harness.nowMs;
  harness.submit(jobSpec([LARGE], { id: 'large', acceptedMs }));
  harness.submit(jobSpec([NEW_LONG_RUNNING], { id: 'watch', acceptedMs }));
  const objectiveMs = QUEUE.stretch * LARGE.estimateMs + QUEUE.targetLatencyMs;
  const latestStartMs = acceptedMs + objectiveMs - LARGE.estimateMs;
  while (harness.nowMs < latestStartMs) cluster.round();
  const startedMs = cluster.startedMs.get('large') ?? Infinity;
  assert.ok(startedMs <= acceptedMs + SHORT_MS + ROUND_MS, `started at ${startedMs}`);
});

test('new long-running tasks are started although jobs in time keep lacking room', () => {
  // Guards against long-running jobs that never start while jobs which no worker has room for keep
  // coming.
  const cluster = new NearlyFullCluster();
  const { harness } = cluster;
  const acceptedMs = harness.nowMs;
  harness.submit(jobSpec([NEW_LONG_RUNNING], { id: 'watch', acceptedMs }));
  while (harness.nowMs < acceptedMs + MAX_IDLE_MS) {
    const id = `large${harness.nowMs}`;
    harness.submit(jobSpec([LARGE], { id, acceptedMs: harness.nowMs }));
    cluster.round();
  }
  const startedMs = cluster.startedMs.get('watch') ?? Infinity;
  assert.ok(startedMs <= acceptedMs + MAX_IDLE_MS, `started at ${startedMs}`);
});

test('new long-running tasks of an urgent queue do not wait for less urgent jobs that lack room', () => {
  // Guards against the reverse: long-running tasks that wait for work that comes after them.
  const cluster = new NearlyFullCluster();
  const { harness } = cluster;
  harness.scheduler.setQueues([{ ...QUEUE, name: 'less-urgent', priority: 2 }]);
  const acceptedMs = harness.nowMs;
  harness.submit(jobSpec([LARGE], { id: 'large', queue: 'less-urgent', acceptedMs }));
  cluster.round();
  harness.submit(jobSpec([NEW_LONG_RUNNING], { id: 'watch', acceptedMs }));
  cluster.round();
  assert.ok(cluster.startedMs.has('watch'));
});
