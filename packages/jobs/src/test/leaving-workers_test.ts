import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  JOB_ID,
  SchedulerHarness,
  TIMING,
  jobSpec,
  runningRow,
  stepSpec,
  workerEntry,
} from './scheduler-harness.js';

const LONG_RUNNING_STEP = stepSpec({ lasting: true });

function oneLongRunningTask(): {
  harness: SchedulerHarness;
  start: ReturnType<SchedulerHarness['starts']>[0];
} {
  const harness = new SchedulerHarness([workerEntry('w1')]);
  harness.submit(jobSpec([LONG_RUNNING_STEP]));
  const [start] = harness.starts();
  assert.ok(start);
  harness.answer(start, 'done');
  harness.nowMs += 10;
  harness.report('w1', { running: [runningRow(start, { percent: 100 })] });
  harness.scheduler.listWorker(workerEntry('w2'), harness.nowMs);
  harness.report('w2');
  return { harness, start };
}

test('a long-running task is moved off a draining worker before the worker ends', () => {
  // If the task stayed, it would end with its worker, and would be unavailable until the worker's
  // leases have certainly expired, six seconds later.
  const { harness, start } = oneLongRunningTask();
  harness.scheduler.listWorker(
    workerEntry('w1', { draining: true, remainingMs: 2_000 }),
    harness.nowMs,
  );
  const [stop] = harness.stops();
  assert.equal(stop?.run, start.run);
  harness.nowMs += 100;
  harness.report('w1', { ended: [harness.end(start, 'stopped')] });
  assert.equal(harness.starts()[0]?.worker, 'w2');
});

test('a long-running task is moved off a draining worker before a report has listed it', () => {
  // The next report of the worker may come two seconds after the start. If the scheduler waited for
  // it before it stops the task, the task would stay until the worker has ended.
  const harness = new SchedulerHarness([workerEntry('w1')]);
  harness.submit(jobSpec([LONG_RUNNING_STEP]));
  const [start] = harness.starts();
  harness.answer(start!, 'done');
  const entry = workerEntry('w1', { draining: true, remainingMs: 2_000 });
  harness.scheduler.listWorker(entry, harness.nowMs);
  assert.equal(harness.stops()[0]?.run, start!.run);
});

test('an unlisted, unreachable worker keeps its tasks until its leases have expired', () => {
  // A network partition may refuse connections and let the worker's entry expire while its tasks
  // keep running. Such a worker looks like one that has left, but only its leases end its tasks for
  // certain.
  const { harness, start } = oneLongRunningTask();
  harness.scheduler.leaseSent('w1', harness.nowMs + 6_100);
  harness.scheduler.unlistWorker('w1');
  for (let waited = 0; waited < 6_000; waited += 500) {
    harness.nowMs += 500;
    harness.report('w2');
    assert.deepEqual(harness.starts(), []);
  }
  harness.nowMs += 500;
  harness.report('w2');
  const [again] = harness.starts();
  assert.equal(again?.run, start.run + 1);
});

test('a task bound to a worker that a new leader cannot reach waits until its leases have expired', () => {
  // The leader fails, and with it a worker fails or is cut off. The next leader finds a
  // long-running task bound to a worker without an entry. Started at once it might run twice; never
  // started it would be lost.
  const { harness } = oneLongRunningTask();
  const job = harness.scheduler.jobs.get(JOB_ID)!;
  const next = new SchedulerHarness([workerEntry('w2')]);
  next.scheduler.addJob(job);
  next.nowMs += TIMING.inheritedLeaseMs - 100;
  next.report('w2');
  assert.deepEqual(next.starts(), []);
  next.nowMs += 200;
  next.report('w2');
  assert.equal(next.starts()[0]?.worker, 'w2');
});

test('the entry of an earlier incarnation of a worker does not end runs of the current one', () => {
  // A worker crashes while it is cut off and restarts at the same address under a new id. The entry
  // of its earlier incarnation is read again later, because lists arrive in any order. The entries
  // do not tell which of them is older; the worker's answer does.
  const { harness, start } = oneLongRunningTask();
  const { address } = workerEntry('w1');
  harness.scheduler.listWorker(workerEntry('w0', { address }), harness.nowMs);
  assert.deepEqual(harness.starts(), []);
  harness.answer({ ...start, worker: 'w0' }, 'other-life');
  assert.deepEqual(harness.starts(), []);
});
