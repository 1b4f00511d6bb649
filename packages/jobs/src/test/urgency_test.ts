import assert from 'node:assert/strict';
import { test } from 'node:test';
import { criticalPathsMs } from '../internal/urgency.js';
import { SchedulerHarness, jobSpec, stepSpec, workerEntry } from './scheduler-harness.js';

test('the critical path of a step includes the steps that depend on it', () => {
  const [a, b, c] = [100, 200, 400].map((estimateMs) => stepSpec({ estimateMs }));
  const steps = [a!, { ...b!, after: [0] }, { ...c!, after: [0] }];
  assert.deepEqual(criticalPathsMs(jobSpec(steps)), [500, 200, 400]);
});

test('with capacity for one, a job that can still end in time goes before one that cannot', () => {
  // A burst has filled the only worker. When capacity becomes free, the oldest waiting job is
  // certain to end late and the next one is not yet: in the order of arrival both would end late.
  const harness = new SchedulerHarness([
    workerEntry('w1', { capacity: { cpuMilli: 1_000, memMb: 16_000, gpus: 0 } }),
  ]);
  const step = stepSpec({ estimateMs: 1_000 });
  harness.nowMs = 10_000;
  harness.report('w1');
  harness.submit(jobSpec([step], { id: '00000000000000a1', acceptedMs: 8_000 }));
  harness.submit(jobSpec([step], { id: '00000000000000a2', acceptedMs: 9_500 }));
  assert.deepEqual(
    harness.starts().map(({ task }) => task.jobId),
    ['00000000000000a2'],
  );
});

test('with capacity for one, a short job goes before a long-running task that has never run', () => {
  // A long-running task takes the capacity for minutes. If it were started first because it was
  // submitted first, the short jobs after it would end late one after the other; started a second
  // later it loses only that second. A task that was running before goes first of all, because its
  // users are without it now.
  const small = { capacity: { cpuMilli: 1_000, memMb: 16_000, gpus: 0 } };
  const harness = new SchedulerHarness([workerEntry('w1', small)]);
  const lasting = stepSpec({ lasting: true, taskCount: 2 });
  harness.submit(jobSpec([lasting], { id: '00000000000000a1', acceptedMs: 500 }));
  harness.submit(jobSpec([stepSpec()], { id: '00000000000000a2', acceptedMs: 900 }));
  const [shortStart] = harness.starts();
  assert.equal(shortStart!.task.jobId, '00000000000000a2');
  harness.report('w1', { ended: [harness.end(shortStart!, 'done')] });
  const [first] = harness.starts();
  assert.equal(first!.task.jobId, '00000000000000a1');
  harness.submit(jobSpec([stepSpec()], { id: '00000000000000a3', acceptedMs: 900 }));
  harness.report('w1', { ended: [harness.end(first!, 'failed')] });
  const [again] = harness.starts();
  assert.equal(again!.task.jobId, '00000000000000a1');
});
