import assert from 'node:assert/strict';
import { test } from 'node:test';
import { JobProgress } from '../job-progress.js';
import type { Order } from '../order.js';
import {
  SchedulerHarness,
  jobSpec,
  runningRow,
  stepSpec,
  workerEntry,
} from './scheduler-harness.js';

// A node takes over while jobs cannot be read, and knows only some of the jobs that were started.
// The runs of other jobs that workers list are valid: if they were stopped, their work would be
// lost.

const OTHER_ID = '00000000000000bb';

const OTHER = jobSpec([stepSpec({ cpuMilli: 5_000 })], { id: OTHER_ID });

/** Returns a job that another node has started on a worker, and the start. */
function startedElsewhere(worker: string): { readonly job: JobProgress; readonly start: Order } {
  const before = new SchedulerHarness([workerEntry(worker)]);
  const job = before.submit(OTHER);
  const [start] = before.starts();
  assert.ok(start);
  return { job: JobProgress.decode(OTHER, job.encode()), start };
}

test('a run of a job that is not loaded yet continues, and is the current one once it is loaded', () => {
  const { job, start } = startedElsewhere('w1');
  const harness = new SchedulerHarness([workerEntry('w1')]);
  harness.scheduler.setFullyLoaded(false);
  harness.report('w1', { running: [runningRow(start)] });
  assert.deepEqual(harness.stops(), []);
  harness.scheduler.addJob(job);
  harness.scheduler.setFullyLoaded(true);
  harness.report('w1', { running: [runningRow(start)] });
  assert.deepEqual(harness.decide().orders, []);
});

test('a run that no job needs is stopped once all jobs are loaded', () => {
  const { start } = startedElsewhere('w1');
  const harness = new SchedulerHarness([workerEntry('w1')]);
  harness.scheduler.setFullyLoaded(false);
  harness.report('w1', { running: [runningRow(start)] });
  harness.scheduler.setFullyLoaded(true);
  assert.equal(harness.stops().length, 1);
});

test('an end of a job is not acknowledged before the job is loaded', () => {
  // If the end were acknowledged, it would be removed from the worker's list. When the job is
  // loaded, its task would still be bound to that worker, and would run a second time.
  const { job, start } = startedElsewhere('w1');
  const harness = new SchedulerHarness([workerEntry('w1')]);
  const report = { ended: [harness.end(start, 'done')] };
  harness.scheduler.setFullyLoaded(false);
  harness.report('w1', report);
  assert.equal(harness.decide().acks.size, 0);
  harness.scheduler.addJob(job);
  harness.scheduler.setFullyLoaded(true);
  harness.report('w1', report);
  assert.deepEqual(harness.starts(), []);
  assert.equal(job.state, 'completed');
});

test('a known task is not released while its end is listed after one of a job not loaded yet', () => {
  const { start } = startedElsewhere('w1');
  const harness = new SchedulerHarness([workerEntry('w1')]);
  const job = harness.submit(jobSpec([stepSpec()]));
  const [known] = harness.starts();
  assert.ok(known);
  harness.answer(known, 'done');
  harness.scheduler.setFullyLoaded(false);
  const report = { ended: [harness.end(start, 'done'), harness.end(known, 'done')] };
  harness.nowMs += 10;
  harness.report('w1', report);
  assert.deepEqual(harness.starts(), []);
  harness.scheduler.setFullyLoaded(true);
  harness.report('w1', report);
  harness.decide();
  assert.equal(job.state, 'completed');
});

test('no task starts on a worker with runs of jobs not loaded yet, but on others they do', () => {
  // The capacity that the run uses is known only once its job is loaded.
  const { start } = startedElsewhere('w1');
  const harness = new SchedulerHarness([workerEntry('w1')]);
  harness.scheduler.setFullyLoaded(false);
  harness.report('w1', { running: [runningRow(start)] });
  harness.submit(jobSpec([stepSpec({ cpuMilli: 5_000 })]));
  assert.deepEqual(harness.starts(), []);
  harness.scheduler.listWorker(workerEntry('w2'), harness.nowMs);
  harness.report('w2');
  assert.equal(harness.starts()[0]?.worker, 'w2');
});

test('inherited leases on silent workers also apply to a job that is loaded later', () => {
  // The earlier leader has stored that its leases on a worker that it could not reach last longer
  // than those on all others. If they were assumed to expire with the others, the task would be
  // started a second time.
  const { job } = startedElsewhere('w1');
  const harness = new SchedulerHarness([workerEntry('w2')]);
  const endMs = harness.nowMs + 30_000;
  harness.scheduler.inheritLeases(new Map([['w1', endMs]]));
  harness.scheduler.setFullyLoaded(false);
  harness.scheduler.addJob(job);
  harness.scheduler.setFullyLoaded(true);
  harness.nowMs = endMs - 1;
  harness.report('w2');
  assert.deepEqual(harness.starts(), []);
  harness.nowMs = endMs + 1;
  harness.report('w2');
  assert.equal(harness.starts()[0]?.worker, 'w2');
});
