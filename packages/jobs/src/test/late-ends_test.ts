import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Order } from '../order.js';
import {
  SchedulerHarness,
  jobSpec,
  runningRow,
  stepSpec,
  workerEntry,
} from './scheduler-harness.js';

const FIRST = stepSpec();

const SECOND = stepSpec({ after: [0] });

/** A job whose first task runs on a worker that is silent until its leases have expired. */
function silentWorker(steps = [FIRST, SECOND]): [SchedulerHarness, Order & { kind: 'start' }] {
  const harness = new SchedulerHarness([workerEntry('w1')]);
  harness.submit(jobSpec(steps));
  const [start] = harness.starts();
  harness.answer(start!, 'done');
  harness.report('w1', { running: [runningRow(start!)] });
  harness.nowMs += 20_000;
  harness.decide();
  return [harness, start!];
}

test('a task that succeeded on a worker whose leases have expired is not started again', () => {
  // Guards against repeating work, and against a job that waits for a task that is already done:
  // its next step was ready for seconds while none of its tasks ran.
  const [harness, start] = silentWorker();
  harness.report('w1', { ended: [harness.end(start, 'done')] });
  const steps = harness.starts().map(({ task }) => task.step);
  assert.deepEqual(steps, [1]);
});

test('a later run of a task that has succeeded is stopped, and its end has no effect', () => {
  // Guards against the same if the task was started on another worker before the first one answered
  // again.
  const [harness, start] = silentWorker();
  harness.scheduler.listWorker(workerEntry('w2'), harness.nowMs);
  harness.report('w2');
  const [again] = harness.starts();
  assert.deepEqual([again!.worker, again!.run, again!.task.step], ['w2', 2, 0]);
  harness.answer(again!, 'done');
  harness.report('w2', { running: [runningRow(again!)] });

  harness.report('w1', { ended: [harness.end(start, 'done')] });
  const { orders } = harness.decide();
  const stopped = orders.filter(({ kind }) => kind === 'stop');
  assert.deepEqual(
    stopped.map(({ worker, run }) => [worker, run]),
    [['w2', 2]],
  );
  const [next] = orders.filter(({ kind }) => kind === 'start');
  assert.equal(next!.task.step, 1);
  harness.report('w2', { ended: [harness.end(again!, 'failed')] });
  harness.report(next!.worker, { ended: [harness.end(next!, 'done')] });
  harness.decide();
  assert.equal(harness.scheduler.jobs.values().next().value!.state, 'completed');
});

test('a long-running task that ended on a worker whose leases have expired is started again', () => {
  // Guards against considering a long-running task as done for good.
  const [harness, start] = silentWorker([stepSpec({ lasting: true })]);
  harness.report('w1', { ended: [harness.end(start, 'done')] });
  assert.equal(harness.starts().length, 1);
});
