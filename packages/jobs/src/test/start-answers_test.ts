import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SchedulerHarness, TIMING, jobSpec, stepSpec, workerEntry } from './scheduler-harness.js';

test('a run that has ended before its start was answered is not started again', () => {
  // The answer to a start is lost. The run ends well, and its report is still on its way when the
  // start is sent again; the worker now says that this run is over there. Taking that for "did
  // not run" would book the task a second time, on another worker.
  const harness = new SchedulerHarness([workerEntry('w1'), workerEntry('w2')]);
  const job = harness.submit(jobSpec([stepSpec()]));
  const [start] = harness.starts();
  assert.ok(start);
  harness.answer(start, 'superseded');
  assert.deepEqual(harness.starts(), []);
  harness.nowMs += 10;
  harness.report(start.worker, { ended: [harness.end(start, 'done')] });
  harness.decide();
  assert.equal(job.state, 'completed');
});

test('a run that its worker refused as over, and lists nowhere, is started anew', () => {
  // The worker has stopped a newer run of the task before, so this one never starts there. The
  // next report shows neither the run nor its end, and only then is another start safe.
  const harness = new SchedulerHarness([workerEntry('w1'), workerEntry('w2')]);
  harness.submit(jobSpec([stepSpec()]));
  const [start] = harness.starts();
  assert.ok(start);
  harness.answer(start, 'superseded');
  harness.nowMs += 10;
  harness.report(start.worker);
  const [again] = harness.starts();
  assert.equal(again?.run, start.run + 1);
});

test('a start that is still being sent holds its task, however long the worker is silent', () => {
  // The scheduling node stands still for seconds after it has sent a start that gets no answer, and
  // no other node takes over. When it goes on, the leases of the worker are over, and the start is
  // sent again. Given to another worker as well, the task would run twice.
  const harness = new SchedulerHarness([workerEntry('w1')]);
  harness.submit(jobSpec([stepSpec()]));
  const [start] = harness.starts();
  harness.scheduler.listWorker(workerEntry('w2'), harness.nowMs);
  harness.nowMs += TIMING.leaseMs + 1_000;
  harness.report('w2');
  assert.deepEqual(harness.starts(), []);
  harness.answer(start!, 'unknown', harness.nowMs + 1_600);
  harness.report('w2');
  assert.equal(harness.starts()[0]?.worker, 'w2');
});
