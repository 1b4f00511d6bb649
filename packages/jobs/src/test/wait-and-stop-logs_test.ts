import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  JOB_ID,
  SchedulerHarness,
  jobSpec,
  runningRow,
  stepSpec,
  workerEntry,
} from './scheduler-harness.js';

const SMALL = { capacity: { cpuMilli: 1_000, memMb: 16_000, gpus: 0 } };

test('the log of a binding has the time for which the step had tasks to start, and why they waited', () => {
  const harness = new SchedulerHarness([workerEntry('w1', SMALL)]);
  harness.submit(jobSpec([stepSpec({ taskCount: 2 })]));
  const [first] = harness.starts();
  harness.nowMs += 700;
  harness.report('w1', { ended: [harness.end(first!, 'done')] });
  harness.decide();
  const bindings = harness.fieldsOf('bound').map(({ waitMs, keptBy }) => [waitMs, keptBy]);
  assert.deepEqual(bindings, [
    [0, 'none'],
    [700, 'room'],
  ]);
});

test('the log of a binding tells missing memory from missing processors', () => {
  // Guards against a log in which tasks that wait for the memory of best-effort tasks look like tasks
  // of a cluster whose processors are all reserved.
  const harness = new SchedulerHarness([workerEntry('w1')]);
  harness.submit(jobSpec([stepSpec({ taskCount: 2, memMb: 10_000 })]));
  const [first] = harness.starts();
  harness.nowMs += 700;
  harness.report('w1', { ended: [harness.end(first!, 'done')] });
  harness.decide();
  assert.deepEqual(
    harness.fieldsOf('bound').map(({ keptBy }) => keptBy),
    ['none', 'memory'],
  );
});

test('the log of an end tells whether the start of the run was slow', () => {
  // Guards against a log in which a task that is started late looks like one that runs for long.
  const harness = new SchedulerHarness([workerEntry('w1')]);
  harness.submit(jobSpec([stepSpec({ taskCount: 2 })]));
  const [slow, fast] = harness.starts();
  harness.answer(fast!, 'done');
  harness.nowMs += 300;
  harness.answer(slow!, 'done');
  harness.nowMs += 900;
  harness.report('w1', { ended: [harness.end(slow!, 'done'), harness.end(fast!, 'done')] });
  assert.deepEqual(
    harness.fieldsOf('run-ended').map(({ startMs }) => startMs),
    [300, undefined],
  );
});

test('the log of a stop has its reason and the work that is not covered by a checkpoint', () => {
  const harness = new SchedulerHarness([workerEntry('w1')]);
  harness.submit(jobSpec([stepSpec({ cpuMilli: 2_000 })]));
  const [start] = harness.starts();
  harness.answer(start!, 'done');
  harness.nowMs += 400;
  harness.report('w1', { running: [runningRow(start!, { checkpoint: 'c1' })] });
  harness.nowMs += 500;
  harness.report('w1', { running: [runningRow(start!, { checkpoint: 'c1', percent: 2 })] });
  harness.scheduler.cancel(JOB_ID, harness.nowMs);
  harness.decide();
  harness.nowMs += 1_000;
  harness.decide();
  const stops = harness.fieldsOf('task-stop').map(({ reason, lostCpuMs }) => [reason, lostCpuMs]);
  assert.deepEqual(stops, [
    ['cancelled', 1_000],
    ['cancelled', 0],
  ]);
});

test('the log of a job end has the time that the job took and its objective', () => {
  const harness = new SchedulerHarness([workerEntry('w1')]);
  harness.submit(jobSpec([stepSpec({ estimateMs: 1_000 })], { acceptedMs: 500 }));
  const [start] = harness.starts();
  harness.nowMs += 1_500;
  harness.report('w1', { ended: [harness.end(start!, 'done')] });
  harness.decide();
  assert.deepEqual(harness.fieldsOf('job-ended'), [
    {
      job: JOB_ID,
      queue: 'q',
      state: 'completed',
      tookMs: 2_000,
      objectiveMs: 2_100,
      objective: 'met',
    },
  ]);
});
