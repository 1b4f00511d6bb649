import assert from 'node:assert/strict';
import { test } from 'node:test';
import { JobProgress } from '../job-progress.js';
import type { Order, OrderOutcome } from '../order.js';
import {
  SchedulerHarness,
  TIMING,
  jobSpec,
  runningRow,
  stepSpec,
  workerEntry,
} from './scheduler-harness.js';

/** The longest time for which the stored state may not show that a job has begun, in milliseconds. */
const MAX_STATE_AGE_MS = 2_000;

/** The time between two rounds, in milliseconds. */
const ROUND_MS = 250;

function boundJob(spec = jobSpec([stepSpec()])): [SchedulerHarness, JobProgress, Order] {
  const harness = new SchedulerHarness([workerEntry('w1')]);
  const job = harness.submit(spec);
  const [start] = harness.starts();
  harness.scheduler.startSent(start!, harness.nowMs + 1_500, harness.nowMs);
  return [harness, job, start!];
}

/** Returns the state in the newest record of the job, as nodes that answer callers read it. */
function storedState(job: JobProgress): string | undefined {
  return JobProgress.decodeState(job.spec, job.encode())?.state;
}

for (const outcome of ['unknown', 'no-room', 'too-late', 'unhealthy'] satisfies OrderOutcome[]) {
  test(`a job whose start ends as ${outcome} stays queued`, () => {
    // Guards against jobs that count as started while they wait, so that too few count as pending.
    const [harness, job, start] = boundJob();
    assert.equal(storedState(job), 'queued');
    harness.answer(start, outcome);
    harness.decide();
    assert.equal(storedState(job), 'queued');
    harness.nowMs += 100;
    harness.report('w1');
    harness.decide();
    assert.equal(storedState(job), 'queued');
  });
}

test('a job that is bound to a worker which falls silent stays queued', () => {
  // Guards against jobs that count as started for as long as the leases of a lost worker last.
  const [harness, job, start] = boundJob();
  harness.answer(start, 'unknown', harness.nowMs + 1_500);
  harness.nowMs += TIMING.inheritedLeaseMs + TIMING.leaseMs;
  harness.decide();
  assert.equal(storedState(job), 'queued');
});

test('a job whose start is answered is stored as running within two seconds', () => {
  // Guards against long jobs that count as pending until their first task ends.
  const [harness, job, start] = boundJob();
  harness.answer(start, 'done');
  const startedMs = harness.nowMs;
  let stored: readonly JobProgress[] = [];
  while (stored.length === 0) {
    harness.nowMs += ROUND_MS;
    harness.report('w1', { running: [runningRow(start)] });
    stored = harness.decide().changed;
    assert.ok(harness.nowMs - startedMs < MAX_STATE_AGE_MS, 'not stored');
  }
  assert.deepEqual(stored, [job]);
  assert.equal(storedState(job), 'running');
  harness.nowMs += 10 * ROUND_MS;
  assert.deepEqual(harness.decide().changed, []);
});

test('a job that ends soon has no record for its start', () => {
  // Guards against a third record for each short job, which every node would have to read.
  const [harness, , start] = boundJob();
  harness.answer(start, 'done');
  harness.nowMs += ROUND_MS;
  assert.deepEqual(harness.decide().changed, []);
  harness.report('w1', { ended: [harness.end(start, 'done')] });
  assert.equal(harness.decide().changed.length, 1);
  harness.nowMs += 10 * ROUND_MS;
  assert.deepEqual(harness.decide().changed, []);
});

test('an end shows that its job has begun, although no report had listed the run', () => {
  // Guards against a job that stays queued after a task of it has run.
  const [harness, job, start] = boundJob(jobSpec([stepSpec(), stepSpec({ after: [0] })]));
  harness.answer(start, 'unknown');
  harness.report('w1', { ended: [harness.end(start, 'done')] });
  harness.decide();
  assert.equal(storedState(job), 'running');
});

test('a gang has begun when all of its members are at their workers', () => {
  // Guards against a gang that counts as started while its first members wait for the others.
  const harness = new SchedulerHarness([workerEntry('w1'), workerEntry('w2')]);
  const step = stepSpec({ taskCount: 2, gang: true, cpuMilli: 5_000 });
  const job = harness.submit(jobSpec([step]));
  const [first, second] = harness.starts();
  harness.answer(first!, 'done');
  harness.report(first!.worker, { running: [runningRow(first!)] });
  harness.decide();
  assert.equal(storedState(job), 'queued');
  harness.answer(second!, 'done');
  assert.equal(storedState(job), 'running');
});

test('the next leader finds out from reports which bound jobs have begun', () => {
  // A leader ends between the record of a binding and the start, or between the start and the record
  // that shows it. Guards against a job that counts as started, or as pending, for good.
  const [, job, start] = boundJob();
  for (const hasArrived of [false, true]) {
    const harness = new SchedulerHarness([workerEntry('w1')]);
    const loaded = JobProgress.decode(job.spec, job.encode());
    harness.scheduler.addJob(loaded, harness.nowMs);
    harness.nowMs += 100;
    harness.report('w1', { running: hasArrived ? [runningRow(start)] : [] });
    harness.decide();
    assert.equal(storedState(loaded), hasArrived ? 'running' : 'queued');
  }
});

test('a job that an earlier version stored as running stays running', () => {
  const [, job] = boundJob();
  job.markRunning();
  const harness = new SchedulerHarness([workerEntry('w1')]);
  const loaded = JobProgress.decode(job.spec, job.encode());
  harness.scheduler.addJob(loaded, harness.nowMs);
  harness.report('w1');
  harness.decide();
  assert.equal(storedState(loaded), 'running');
});

test('a job whose start never arrived has been idle since before it was bound', () => {
  // Guards against jobs that lose their place among those that have waited for long with each start
  // that is lost.
  const harness = new SchedulerHarness([]);
  harness.submit(jobSpec([stepSpec()]));
  harness.decide();
  harness.nowMs += 3_000;
  harness.scheduler.listWorker(workerEntry('w1'), harness.nowMs);
  harness.report('w1');
  const [start] = harness.starts();
  harness.answer(start!, 'unknown');
  harness.nowMs += 1_000;
  harness.scheduler.unlistWorker('w1');
  harness.report('w1');
  harness.decide();
  assert.equal(harness.scheduler.backlog(harness.nowMs).longestIdleMs, 4_000);
});
