import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BLOCK_SIZE } from '../internal/round-candidates.js';
import type { WorkerEntry } from '../worker.js';
import { SchedulerHarness, jobSpec, stepSpec, workerEntry } from './scheduler-harness.js';

const WORKERS = 3_000;

const FAILED_JOBS = 30;

/** Counts how often a worker is considered: each time its state is read. */
let checks = 0;

function countedEntry(index: number, changes: Partial<WorkerEntry> = {}): WorkerEntry {
  return {
    ...workerEntry(`w${index}`, changes),
    get draining() {
      checks += 1;
      return false;
    },
  };
}

function countedWorkers(): WorkerEntry[] {
  return Array.from({ length: WORKERS }, (_, index) => countedEntry(index));
}

/** Runs a round whose time limit is a number of checks of workers; returns its starts. */
function startsWithin(harness: SchedulerHarness, maxChecks: number) {
  harness.nowMs += 100;
  const limits = { placingMs: maxChecks, starts: Infinity, clockMs: () => checks };
  return harness.scheduler
    .decide(harness.nowMs, harness.nowMs, limits)
    .orders.filter(({ kind }) => kind === 'start');
}

test('long-running tasks that failed in a pool of thousands are all restarted within two short rounds', () => {
  // Guards against a leader that evaluates each of 3,000 workers for each kind of task: it started
  // about one kind a round, and long-running tasks that had failed stayed away for seconds beside free
  // capacity.
  const harness = new SchedulerHarness(countedWorkers());
  for (let i = 0; i < FAILED_JOBS; i += 1)
    harness.submit(jobSpec([stepSpec({ lasting: true, cpuMilli: 500 + i })], { id: `j${i}` }));
  const starts = harness.starts();
  for (const start of starts) {
    harness.answer(start, 'done');
    harness.report(start.worker, { ended: [harness.end(start, 'failed')] });
  }
  const restarted = [0, 1].flatMap(() => startsWithin(harness, 8 * WORKERS));
  assert.equal(restarted.length, FAILED_JOBS);
});

test('a task that only the last workers of a large pool can take is placed there', () => {
  // Guards against a search that ends before all blocks of the pool were evaluated.
  const large = { cpuMilli: 64_000, memMb: 16_000, gpus: 0 };
  const entries = [
    ...countedWorkers().slice(0, 2 * BLOCK_SIZE),
    countedEntry(WORKERS, { capacity: large }),
  ];
  const harness = new SchedulerHarness(entries);
  for (let i = 0; i < 4; i += 1) {
    harness.submit(jobSpec([stepSpec({ cpuMilli: 15_000 + i })], { id: `j${i}` }));
    assert.deepEqual(
      harness.starts().map(({ worker }) => worker),
      [`w${WORKERS}`],
    );
  }
});

test('rounds use all blocks of a large pool in turn', () => {
  // Guards against filling the first block while the others are idle.
  const harness = new SchedulerHarness(countedWorkers());
  const used = new Set<number>();
  for (let i = 0; i < 12; i += 1) {
    harness.submit(jobSpec([stepSpec()], { id: `j${i}` }));
    for (const { worker } of harness.starts())
      used.add(Math.floor(Number(worker.slice(1)) / BLOCK_SIZE));
  }
  assert.ok(used.size >= 5, `blocks ${[...used].join(' ')}`);
});
