import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Order } from '../order.js';
import {
  JOB_ID,
  SchedulerHarness,
  TIMING,
  jobSpec,
  runningRow,
  stepSpec,
  workerEntry,
} from './scheduler-harness.js';

const FORMER = 1_700_000_000_000;

const PRESENT = FORMER + 9_000;

test('a task that has ended on a worker that restarted under its id is not started again', () => {
  // Guards against ends that are skipped and acknowledged: a restarted worker numbers its ends from 1.
  const harness = new SchedulerHarness([workerEntry('w1')]);
  harness.report('w1', { incarnation: FORMER });
  harness.submit(jobSpec([stepSpec({ taskCount: 3 })]));
  const ended = harness.starts().map((start) => harness.end(start, 'done'));
  harness.report('w1', { incarnation: FORMER, ended });
  harness.scheduler.acknowledge(harness.decide().acks);

  harness.scheduler.listWorker(workerEntry('w1', { incarnation: PRESENT }), harness.nowMs);
  harness.report('w1', { incarnation: PRESENT });
  const job = harness.submit(jobSpec([stepSpec()], { id: '00000000000000bb' }));
  const [start] = harness.starts();
  harness.answer(start!, 'done');
  harness.nowMs += 500;
  harness.report('w1', {
    incarnation: PRESENT,
    ended: [{ ...harness.end(start!, 'done'), number: 1 }],
  });
  const { orders, acks } = harness.decide();
  assert.equal(job.state, 'completed');
  assert.deepEqual(orders, []);
  assert.deepEqual([...acks.values()], [1]);
});

/** A worker with `taskCount` bound tasks, whose starts were sent, before it restarts. */
function busyWorker(taskCount: number): [SchedulerHarness, readonly Order[]] {
  const harness = new SchedulerHarness([workerEntry('w1', { incarnation: FORMER })]);
  harness.submit(jobSpec([stepSpec({ taskCount })]));
  const starts = harness.starts();
  for (const start of starts)
    harness.scheduler.startSent(start, harness.nowMs + 1_500, harness.nowMs);
  return [harness, starts];
}

function addWorker(harness: SchedulerHarness, id: string): void {
  harness.scheduler.listWorker(workerEntry(id), harness.nowMs);
  harness.report(id);
}

test('ends of a former process do not acknowledge those of the present one', () => {
  // Guards against an append that is confirmed after a restart and has the worker forget ends that
  // were not read.
  const [harness, starts] = busyWorker(3);
  const ended = starts.map((start) => harness.end(start, 'done'));
  harness.report('w1', { incarnation: FORMER, ended });
  const { acks } = harness.decide();
  harness.report('w1', { incarnation: PRESENT });
  harness.scheduler.acknowledge(acks);
  assert.equal(harness.scheduler.workers.get('w1')!.ackedEnd, 0);
});

test('a task whose start was answered runs elsewhere as soon as its worker has restarted', () => {
  const [harness, [start]] = busyWorker(1);
  harness.answer(start!, 'done');
  addWorker(harness, 'w2');
  harness.nowMs += 100;
  harness.report('w1', { incarnation: PRESENT });
  assert.deepEqual(
    harness.starts().map(({ worker, run }) => [worker, run]),
    [['w2', 2]],
  );
});

test('a start without an answer is refused by the restarted worker before the task starts elsewhere', () => {
  // Guards against a start that was sent to the former process and arrives at the present one, while
  // its task runs elsewhere: both have the same id.
  const [harness] = busyWorker(1);
  addWorker(harness, 'w2');
  harness.report('w1', { incarnation: PRESENT });
  const { orders } = harness.decide();
  assert.deepEqual(
    orders.map(({ kind, worker, run }) => [kind, worker, run]),
    [['stop', 'w1', 1]],
  );
  harness.nowMs += 100;
  harness.report('w1', { incarnation: PRESENT });
  assert.deepEqual(harness.starts(), []);
  harness.answer(orders[0]!, 'done');
  harness.nowMs += 100;
  harness.report('w1', { incarnation: PRESENT });
  assert.deepEqual(
    harness.starts().map(({ worker, run }) => [worker, run]),
    [['w2', 2]],
  );
});

test('a run that the restarted worker lists goes on there', () => {
  // A start arrives between the restart and the first report of the present process, and its answer is
  // lost with the link to the former one. Guards against a stop that throws its work away.
  const [harness, [start]] = busyWorker(1);
  addWorker(harness, 'w2');
  harness.nowMs += 100;
  harness.report('w1', { incarnation: PRESENT, running: [runningRow(start!)] });
  assert.deepEqual(harness.decide().orders, []);
  harness.report('w1', {
    incarnation: PRESENT,
    ended: [{ ...harness.end(start!, 'done'), number: 1 }],
  });
  harness.decide();
  assert.equal(harness.scheduler.jobs.get(JOB_ID)!.state, 'completed');
});

test('a task that was reported before its start was answered runs elsewhere after a restart', () => {
  // The link that waits for the answer is closed with the former process. Guards against a run that
  // counts as being started for good.
  const [harness, [start]] = busyWorker(1);
  harness.report('w1', { incarnation: FORMER, running: [runningRow(start!)] });
  addWorker(harness, 'w2');
  harness.report('w1', { incarnation: PRESENT });
  harness.nowMs += 100;
  harness.report('w1', { incarnation: PRESENT });
  assert.deepEqual(
    harness.starts().map(({ worker, run }) => [worker, run]),
    [['w2', 2]],
  );
});

test('an entry of a former process neither lists the worker nor replaces the present process', () => {
  // Guards against an old entry that is read after the present process has answered.
  const [harness] = busyWorker(1);
  harness.report('w1', { incarnation: PRESENT });
  harness.scheduler.listWorker(workerEntry('w1', { incarnation: FORMER }), harness.nowMs);
  const worker = harness.scheduler.workers.get('w1')!;
  assert.deepEqual([worker.listed, worker.incarnation], [false, PRESENT]);
  harness.scheduler.listWorker(workerEntry('w1', { incarnation: PRESENT }), harness.nowMs);
  assert.equal(worker.listed, true);
});

test('a start that was not sent before the restart is bound anew', () => {
  // Guards against a start on a worker whose capacity and labels may have changed.
  const harness = new SchedulerHarness([workerEntry('w1', { incarnation: FORMER })]);
  harness.submit(jobSpec([stepSpec()]));
  const [start] = harness.starts();
  const changed = workerEntry('w1', { incarnation: PRESENT, pool: 'other' });
  harness.scheduler.listWorker(changed, harness.nowMs);
  assert.equal(harness.scheduler.shouldSend(start!), false);
  assert.deepEqual(harness.starts(), []);
});

test('a start that a restarted worker may have taken holds its task for as long as a lease', () => {
  // Guards against a second run beside one that a new process of the worker has begun unnoticed: the
  // start's deadline is on the former clock, so the platform grants the longest lease.
  const harness = new SchedulerHarness([workerEntry('w1', { incarnation: FORMER })]);
  harness.report('w1', { incarnation: FORMER });
  harness.scheduler.leaseSent('w1', harness.nowMs + TIMING.leaseMs);
  harness.nowMs += 1_000;
  harness.submit(jobSpec([stepSpec()]));
  const [start] = harness.starts();
  const sentMs = harness.nowMs;
  harness.scheduler.startSent(start!, sentMs + 1_500, sentMs);
  harness.answer(start!, 'unknown', sentMs + 1_500);
  addWorker(harness, 'w2');
  harness.nowMs = sentMs + TIMING.leaseMs - 1;
  harness.report('w2');
  assert.deepEqual(harness.starts(), []);
  harness.nowMs = sentMs + TIMING.leaseMs + 1;
  harness.report('w2');
  assert.deepEqual(
    harness.starts().map(({ worker, run }) => [worker, run]),
    [['w2', 2]],
  );
});
