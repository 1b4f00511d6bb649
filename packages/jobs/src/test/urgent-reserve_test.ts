import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { WorkerEntry } from '../worker.js';
import { contend } from './contended-cluster.js';
import type { Outcome } from './contended-cluster.js';
import { QUEUE, SchedulerHarness, jobSpec, stepSpec, workerEntry } from './scheduler-harness.js';

/** Four of the sixteen processors of two workers: as much as may be reserved. */
const SHORT = stepSpec({ taskCount: 4, estimateMs: 500 });

/** Long-running tasks for all processors of two workers. */
const WATCH = stepSpec({ taskCount: 16, lasting: true });

const RESERVED = 4;

const SHORT_MS = 500;

const MAX_YIELD_MS = 10_000;

/** Two workers on which short tasks of the queue `short` have run for two seconds. */
function withDemand(priority = 0): SchedulerHarness {
  const harness = new SchedulerHarness([workerEntry('w1'), workerEntry('w2')]);
  harness.scheduler.setQueues([{ ...QUEUE, name: 'short', priority }]);
  for (let i = 0; i < 4; i += 1) runShort(harness);
  return harness;
}

/** Submits a job of short tasks, and runs them to their end. Returns how many others were started. */
function runShort(harness: SchedulerHarness): number {
  const { nowMs } = harness;
  harness.submit(jobSpec([SHORT], { id: `short${nowMs}`, queue: 'short', acceptedMs: nowMs }));
  const all = harness.starts();
  const starts = all.filter(({ task }) => task.jobId !== 'watch');
  for (const start of all) harness.answer(start, 'done');
  harness.nowMs += SHORT_MS;
  for (const worker of harness.scheduler.workers.keys()) {
    const ended = starts.filter((start) => start.worker === worker);
    harness.report(worker, { ended: ended.map((start) => harness.end(start, 'done')) });
  }
  return all.length - starts.length;
}

/** Submits long-running tasks, and returns how many of them are started at once. */
function startedWatches(harness: SchedulerHarness, taskCount = WATCH.taskCount): number {
  const spec = jobSpec([{ ...WATCH, taskCount }], { id: 'watch', acceptedMs: harness.nowMs });
  harness.submit(spec);
  return harness.starts().length;
}

test('urgent short jobs end in time beside long-running jobs that ask for all that is left', (t) => {
  // Guards against urgent jobs that find no contiguous capacity, as long-running tasks of the same
  // priority take for minutes what is free between two of them, and against a reserve that costs
  // long-running or best-effort tasks much.
  const load = { longRunning: 0.85, bestEffortMb: 1_000, bestEffortPerS: 0.5 };
  const outcomes = [1, 2, 3].map((seed) => contend({ ...load, seed }, 40));
  const sum = (key: keyof Outcome): number =>
    outcomes.reduce((total, found) => total + found[key], 0);
  const inTime = sum('urgentInTime') / sum('urgent');
  const longRunningPercent = sum('longRunningPercent') / outcomes.length;
  t.diagnostic(`${inTime.toFixed(3)} in time, ${longRunningPercent.toFixed(1)} % long-running`);
  assert.ok(inTime >= 0.75, `${inTime} in time`);
  assert.ok(longRunningPercent >= 75, `${longRunningPercent} % long-running`);
  assert.ok(sum('bestEffortInTime') >= 0.98 * sum('bestEffort'));
});

test('new long-running tasks leave the reserve free for 10 s, and the reserve is logged', () => {
  // Guards against a reserve that is not kept, and against long-running jobs that wait without bound.
  const harness = withDemand();
  const { nowMs } = harness;
  assert.equal(startedWatches(harness), WATCH.taskCount - RESERVED);
  const [first] = harness.fieldsOf('urgent-reserve');
  assert.deepEqual(first, {
    pool: 'pool',
    priority: 0,
    sizeMilli: 1_024,
    tasks: RESERVED,
    freeTasks: 16,
  });
  while (harness.nowMs < nowMs + MAX_YIELD_MS) assert.equal(runShort(harness), 0);
  assert.equal(harness.starts().length, RESERVED);
});

test('where no short task came, or only less urgent ones, all long-running tasks start at once', () => {
  // Guards against a reserve for what does not come, and against long-running tasks that wait for
  // work that comes after them.
  const idle = new SchedulerHarness([workerEntry('w1'), workerEntry('w2')]);
  assert.equal(startedWatches(idle), WATCH.taskCount);
  assert.equal(startedWatches(withDemand(2)), WATCH.taskCount);
});

test('the reserve decays when no more short tasks come', () => {
  // Guards against capacity that stays reserved for hours after a load spike.
  const harness = withDemand();
  startedWatches(harness, 1);
  for (let second = 0; second < 40; second += 1) {
    harness.nowMs += 1_000;
    for (const worker of ['w1', 'w2']) harness.report(worker);
    harness.decide();
  }
  const tasks = harness.fieldsOf('urgent-reserve').map((fields) => fields.tasks);
  assert.deepEqual(tasks, [4, 3, 2, 1, 0]);
});

test('a new leader keeps the reserve by the jobs of the last seconds that have ended', () => {
  // Guards against long-running tasks that take all capacity in the first rounds of each term.
  const harness = new SchedulerHarness([workerEntry('w1'), workerEntry('w2')]);
  for (const agoMs of [500, 1_000, 12_000]) {
    const acceptedMs = harness.nowMs - agoMs;
    harness.submit(jobSpec([SHORT], { id: `short${agoMs}`, acceptedMs })).finish('completed', 1);
  }
  assert.equal(startedWatches(harness), WATCH.taskCount - RESERVED);
});

const UNAVAILABLE: Record<string, (harness: SchedulerHarness, entry: WorkerEntry) => void> = {
  leaves: ({ scheduler, nowMs }, entry) =>
    scheduler.listWorker({ ...entry, draining: true }, nowMs),
  'is evacuated': ({ scheduler, nowMs }) => scheduler.setEvacuated(new Set(['b']), nowMs),
  'is silent': (harness) => {
    harness.nowMs += 2_000;
    harness.report('w1');
  },
};

for (const [name, apply] of Object.entries(UNAVAILABLE)) {
  test(`a worker that ${name} has no slots for the reserve`, () => {
    // Guards against a reserve that rests on capacity which no urgent task can use.
    const harness = withDemand();
    const entry = workerEntry('w2', { dataCentre: 'b' });
    harness.scheduler.listWorker(entry, harness.nowMs);
    apply(harness, entry);
    // A quarter of the eight processors that are left.
    assert.equal(startedWatches(harness, 8), 6);
  });
}

test('long-running tasks that have run before are started on reserved capacity', () => {
  // Guards against callers that are without their tasks because a worker ended.
  const harness = new SchedulerHarness([workerEntry('w1'), workerEntry('w2')]);
  harness.scheduler.setQueues([{ ...QUEUE, name: 'short' }]);
  assert.equal(startedWatches(harness), WATCH.taskCount);
  runShort(harness);
  harness.scheduler.workerEnded('w2', harness.nowMs, 'test');
  harness.scheduler.listWorker(workerEntry('w3'), harness.nowMs);
  harness.report('w3');
  assert.equal(harness.starts().filter(({ task }) => task.jobId === 'watch').length, 8);
});
