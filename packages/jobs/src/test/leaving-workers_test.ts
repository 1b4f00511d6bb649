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

const LONG_RUNNING = stepSpec({ lasting: true });

function oneLongRunningTask(): {
  harness: SchedulerHarness;
  start: ReturnType<SchedulerHarness['starts']>[0];
} {
  const harness = new SchedulerHarness([workerEntry('w1')]);
  harness.submit(jobSpec([LONG_RUNNING]));
  const [start] = harness.starts();
  assert.ok(start);
  harness.answer(start, 'done');
  harness.nowMs += 10;
  harness.report('w1', { running: [runningRow(start, { percent: 100 })] });
  harness.scheduler.listWorker(workerEntry('w2'), harness.nowMs);
  harness.report('w2');
  return { harness, start };
}

test('a lasting task leaves a draining worker before the worker does', () => {
  // The worker says that it drains. Left there, the task would end with it and be away until the
  // worker's leases are surely over, six seconds later.
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

test('a lasting task leaves a draining worker also where no list has named it yet', () => {
  // A task has just been started; its worker's next list may be two seconds away. Before that the
  // worker says that it drains. Waiting for the list would leave the task there until it is gone.
  const harness = new SchedulerHarness([workerEntry('w1')]);
  harness.submit(jobSpec([LONG_RUNNING]));
  const [start] = harness.starts();
  harness.answer(start!, 'done');
  const entry = workerEntry('w1', { draining: true, remainingMs: 2_000 });
  harness.scheduler.listWorker(entry, harness.nowMs);
  assert.equal(harness.stops()[0]?.run, start!.run);
});

test('a worker that is not listed and cannot be reached keeps its tasks until its leases are over', () => {
  // A cut may refuse connections and let the worker's entry lapse while its tasks run on: what
  // looks like a worker that has left is none. Only its leases end them for certain.
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

test('what may run on a worker that a new leader cannot reach waits for its leases', () => {
  // The leader dies and a worker is gone with it, or only cut off. The next leader finds a lasting
  // task bound there and no entry. Started at once it might run twice; never started it is lost.
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

test('the entry of an earlier life does not end what runs in the present one', () => {
  // A worker crashes behind a cut and starts again at its address under a new id. The entry of its
  // earlier life is read once more afterwards, as lists come in no order. Which of two entries is
  // the older one cannot be told from them; the worker itself tells when it is asked.
  const { harness, start } = oneLongRunningTask();
  const { address } = workerEntry('w1');
  harness.scheduler.listWorker(workerEntry('w0', { address }), harness.nowMs);
  assert.deepEqual(harness.starts(), []);
  harness.answer({ ...start, worker: 'w0' }, 'other-life');
  assert.deepEqual(harness.starts(), []);
});
