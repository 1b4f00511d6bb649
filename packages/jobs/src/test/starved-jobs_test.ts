import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  SchedulerHarness,
  jobSpec,
  runningRow,
  stepSpec,
  workerEntry,
} from './scheduler-harness.js';

const OLD_ID = '00000000000000a1';

const BEST_EFFORT = stepSpec({ fills: true, image: 'crunch', checkpointing: true });

test('a steady stream of jobs in time does not starve one that is late for good', () => {
  // Guards against a job that waits for ever: by urgency alone it came last in every round.
  const small = { capacity: { cpuMilli: 1_000, memMb: 16_000, gpus: 0 } };
  const harness = new SchedulerHarness([workerEntry('w1', small)]);
  harness.nowMs = 60_000;
  harness.report('w1');
  harness.submit(jobSpec([stepSpec()], { id: OLD_ID, acceptedMs: 0 }));
  let startedMs = 0;
  for (let second = 0; second < 40 && startedMs === 0; second += 1) {
    const id = second.toString(16).padStart(16, '0');
    harness.submit(jobSpec([stepSpec()], { id, acceptedMs: harness.nowMs }));
    const [start] = harness.starts();
    if (start!.task.jobId === OLD_ID) startedMs = harness.nowMs;
    harness.nowMs += 1_000;
    harness.report('w1', { ended: [harness.end(start!, 'done')] });
  }
  assert.ok(startedMs > 0 && startedMs <= 60_000 + 36_000, `${startedMs}`);
});

test('jobs that can never be placed do not take the turns of other overdue jobs', () => {
  // Guards against a handful of impossible jobs that stand first in every round for good.
  const small = { capacity: { cpuMilli: 1_000, memMb: 16_000, gpus: 0 } };
  const harness = new SchedulerHarness([workerEntry('w1', small)]);
  harness.nowMs = 60_000;
  harness.report('w1');
  for (let i = 0; i < 10; i += 1) {
    harness.submit(jobSpec([stepSpec({ gpus: 8 })], { id: `impossible${i}`, acceptedMs: 0 }));
  }
  harness.submit(jobSpec([stepSpec()], { id: OLD_ID, acceptedMs: 0 }));
  let hasStarted = false;
  for (let second = 0; second < 60 && !hasStarted; second += 1) {
    const id = second.toString(16).padStart(16, '0');
    harness.submit(jobSpec([stepSpec()], { id, acceptedMs: harness.nowMs }));
    const [start] = harness.starts();
    hasStarted = start!.task.jobId === OLD_ID;
    harness.nowMs += 1_000;
    harness.report('w1', { ended: [harness.end(start!, 'done')] });
  }
  assert.ok(hasStarted);
});

test('with little reserved, every waiting job has a task at work before late ones have many', () => {
  // Guards against accepted jobs with nothing running for a minute beside idle processors: the room
  // that came free went to the jobs that were less late, task by task.
  const harness = new SchedulerHarness([workerEntry('w1')]);
  harness.nowMs = 60_000;
  harness.report('w1');
  const lateMs = harness.nowMs - 3_000;
  harness.submit(jobSpec([{ ...BEST_EFFORT, taskCount: 50 }], { id: 'late', acceptedMs: lateMs }));
  const oldIds = ['old1', 'old2', 'old3'];
  for (const id of oldIds) harness.submit(jobSpec([BEST_EFFORT], { id, acceptedMs: 0 }));
  const started = new Set(harness.starts().map(({ task }) => task.jobId));
  assert.deepEqual(started, new Set([...oldIds, 'late']));
});

/** Which jobs start beside a serving task whose slack is little more than throttling keeps. */
function startedBesideLittleSlack(acceptedMs: number): string[] {
  const harness = new SchedulerHarness([workerEntry('w1')]);
  for (let i = 0; i < 200; i += 1) {
    const part = i % 2 ? 0.1 : 0;
    const parts = new Map([['crunch', part]]);
    harness.model.interference.learn({ image: 'web', slack: -6 * part, parts });
  }
  const serving = stepSpec({ lasting: true, targetMs: 20, image: 'web', cpuMilli: 2_000 });
  harness.submit(jobSpec([serving], { id: 'web' }));
  const [web] = harness.starts();
  harness.answer(web!, 'done');
  for (let i = 0; i < 60; i += 1) {
    harness.nowMs += 500;
    const running = [runningRow(web!, { percent: 100, measure: 20 / 1.6 })];
    harness.report('w1', { running });
  }
  harness.submit(jobSpec([BEST_EFFORT], { id: 'job', acceptedMs: harness.nowMs - acceptedMs }));
  return harness.starts().map(({ task }) => task.jobId);
}

test('a task of a starved job works slowly where no worker has slack for its full speed', () => {
  // Guards against jobs whose image disturbs every serving task: no worker ever had the slack for
  // a whole task of theirs, though all had the processors. A job in time waits for a better place.
  assert.deepEqual(startedBesideLittleSlack(60_000), ['job']);
  assert.deepEqual(startedBesideLittleSlack(0), []);
});
