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

/** A job whose first task runs on a worker that falls silent until its leases are over. */
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

test('a task that ended well on a worker whose leases are over is not begun again', () => {
  // Guards against work done twice, and against a job that waits for a task that is done: for
  // seconds its next step was ready and nothing of it at work.
  const [harness, start] = silentWorker();
  harness.report('w1', { ended: [harness.end(start, 'done')] });
  const steps = harness.starts().map(({ task }) => task.step);
  assert.deepEqual(steps, [1]);
});

test('a later run of a task that has ended well is stopped, and its end changes nothing', () => {
  // Guards against the same where the task was begun elsewhere before the worker was heard of again.
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

test('a lasting task that ended well on a worker whose leases are over is begun again', () => {
  // Guards against a lasting task that is taken to be done for good.
  const [harness, start] = silentWorker([stepSpec({ lasting: true })]);
  harness.report('w1', { ended: [harness.end(start, 'done')] });
  assert.equal(harness.starts().length, 1);
});
