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

// A node takes over while callers' jobs cannot be read, and knows some of the jobs that were begun.
// What workers list of the others is of jobs that run in good order: stopped, their work would be lost.

const OTHER_ID = '00000000000000bb';

const OTHER = jobSpec([stepSpec({ cpuMilli: 5_000 })], { id: OTHER_ID });

/** A job that another node has started on a worker, and the start. */
function startedElsewhere(worker: string): { readonly job: JobProgress; readonly start: Order } {
  const before = new SchedulerHarness([workerEntry(worker)]);
  const job = before.submit(OTHER);
  const [start] = before.starts();
  assert.ok(start);
  return { job: JobProgress.decode(OTHER, job.encode()), start };
}

test('what runs of a job that is not told yet goes on, and counts once it is told', () => {
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

test('what no job asks for is stopped once all jobs are told', () => {
  const { start } = startedElsewhere('w1');
  const harness = new SchedulerHarness([workerEntry('w1')]);
  harness.scheduler.setFullyLoaded(false);
  harness.report('w1', { running: [runningRow(start)] });
  harness.scheduler.setFullyLoaded(true);
  assert.equal(harness.stops().length, 1);
});

test('an end of a job that is not told yet is not acknowledged before it is told', () => {
  // Acknowledged, the end would be gone from the worker's list; the job, told later, would have the
  // task on that worker still, and it would run a second time.
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

test('a known task is not taken to be absent while its end stands behind one that is not told', () => {
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

test('nothing starts beside what is not told yet, and elsewhere it does', () => {
  // How much room that takes is known only with the job.
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

test('a job that is told later has the leases on silent workers that the earlier node named', () => {
  // The earlier node had told that leases on a worker that it could not reach last longer than those
  // of all others. Taken to be over with the others, the task would start a second time.
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
