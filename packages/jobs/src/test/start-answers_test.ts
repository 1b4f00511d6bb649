import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SchedulerHarness, TIMING, jobSpec, stepSpec, workerEntry } from './scheduler-harness.js';

test('a run that has ended before its start was answered is not started again', () => {
  // The answer to a start is lost. The run succeeds, and its report is still in flight when the
  // start is sent again; the worker now answers that this run is over. If that counted as "did not
  // run", the task would be bound a second time, to another worker.
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

test('a task is started again if its worker rejects the run as superseded and does not report it', () => {
  // The worker has stopped a newer run of the task before, so this one never starts there. Another
  // start is safe only after the next report, which lists neither the run nor its end.
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

test('a task stays bound while its start is being sent, however long the worker is silent', () => {
  // The leader stalls for seconds after it has sent a start that gets no answer, and no other node
  // takes over. When it continues, the leases of the worker have expired, and the start is sent
  // again. If the task were bound to another worker as well, it would run twice.
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
