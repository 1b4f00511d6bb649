import assert from 'node:assert/strict';
import { test } from 'node:test';
import { JobProgress } from '../job-progress.js';
import {
  SchedulerHarness,
  jobSpec,
  runningRow,
  stepSpec,
  workerEntry,
} from './scheduler-harness.js';

test('an occurrence starts at its due time and not before, and the job completes with the last', () => {
  const harness = new SchedulerHarness([workerEntry('w1')]);
  const schedule = { count: 2, firstDueMs: 5_000, intervalMs: 1_000 };
  const job = harness.submit(jobSpec([stepSpec()], { schedule }));
  harness.nowMs = 4_990;
  harness.report('w1');
  assert.deepEqual(harness.starts(), []);
  assert.equal(harness.scheduler.nextDueMs(), 5_000);
  for (const dueMs of [5_000, 6_000]) {
    harness.nowMs = dueMs;
    harness.report('w1');
    const [start] = harness.starts();
    assert.equal(start?.task.occurrence, (dueMs - 5_000) / 1_000);
    harness.answer(start, 'done');
    harness.nowMs += 10;
    harness.report('w1', { ended: [harness.end(start, 'done')] });
    harness.decide();
  }
  assert.equal(job.state, 'completed');
});

test('a gang starts as a whole, with one run number, or not at all', () => {
  // There are three members and capacity for two. If only two were started, they would hold their
  // capacity and wait.
  const small = { capacity: { cpuMilli: 2_000, memMb: 16_000, gpus: 0 } };
  const harness = new SchedulerHarness([workerEntry('w1', small)]);
  harness.submit(jobSpec([stepSpec({ gang: true, taskCount: 3 })]));
  assert.deepEqual(harness.starts(), []);
  harness.scheduler.listWorker(workerEntry('w2', small), harness.nowMs);
  harness.report('w2');
  assert.deepEqual(
    harness.starts().map(({ run }) => run),
    [1, 1, 1],
  );
});

test('a gang that lost a member is stopped, and starts again as a whole', () => {
  // One member is rejected for lack of capacity. The others would wait for it until they time out.
  const harness = new SchedulerHarness([workerEntry('w1')]);
  harness.submit(jobSpec([stepSpec({ gang: true, taskCount: 2 })]));
  const [first, second] = harness.starts();
  assert.ok(first && second);
  harness.answer(first, 'done');
  harness.answer(second, 'no-room');
  const [stop] = harness.stops();
  assert.equal(stop?.task.index, first.task.index);
  harness.nowMs += 500;
  harness.report('w1', { ended: [harness.end(first, 'stopped')] });
  assert.deepEqual(
    harness.starts().map(({ run }) => run),
    [2, 2],
  );
});

test('decoding encoded progress returns the same progress', () => {
  const harness = new SchedulerHarness([workerEntry('w1')]);
  const job = harness.submit(jobSpec([stepSpec({ taskCount: 3 }), stepSpec({ after: [0] })]));
  const starts = harness.starts();
  harness.report('w1', { running: starts.map((start) => runningRow(start)) });
  harness.report('w1', {
    ended: [harness.end(starts[0]!, 'done'), harness.end(starts[1]!, 'failed')],
  });
  harness.decide();
  assert.equal(JobProgress.decode(job.spec, job.encode()).encode(), job.encode());
});
