import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster, pseudoRandom } from './simulated-cluster.js';
import {
  SchedulerHarness,
  jobSpec,
  runningRow,
  stepSpec,
  workerEntry,
} from './scheduler-harness.js';

const OLD_ID = '00000000000000a1';

const BEST_EFFORT = stepSpec({ fills: true, image: 'crunch', checkpointing: true });

test('a steady stream of jobs that can end in time does not starve one that can only end late', () => {
  // Guards against a job that waits forever, because by urgency alone it comes last in every round.
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

test('jobs that can never be placed do not take the priority starts of other starved jobs', () => {
  // Guards against a handful of jobs that fit on no worker and stay first in every round.
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

test('with few reservations every waiting job has a running task before late ones have many', () => {
  // Guards against accepted jobs without a running task for a minute beside idle processors: the
  // capacity that became free went, task by task, to the jobs that were less late.
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

/**
 * Returns the jobs that start beside a serving task whose slack is little more than pacing keeps.
 */
function startedBesideLittleSlack(ageMs: number): string[] {
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
  harness.submit(jobSpec([BEST_EFFORT], { id: 'job', acceptedMs: harness.nowMs - ageMs }));
  return harness.starts().map(({ task }) => task.jobId);
}

test('a task of a starved job runs slowly if no worker has slack for its full speed', () => {
  // Guards against starvation of jobs whose image interferes with every serving task: all workers
  // had the processors for one of their tasks, but none the slack for it at full speed. A job that
  // can end in time waits for a better worker.
  assert.deepEqual(startedBesideLittleSlack(60_000), ['job']);
  assert.deepEqual(startedBesideLittleSlack(0), []);
});

const STARVED_JOBS = 120;

/** One start in this many is a priority start of a starved job. */
const STARTS_PER_PRIORITY_START = 20;

/** How long a job may be idle before it is starved, in milliseconds. */
const STARVED_AFTER_MS = 15_000;

for (const seed of [1, 2]) {
  test(`each of many starved jobs has a priority start under a load of 1.1, seed ${seed}`, () => {
    // Guards against priority starts that rotate among the first of many jobs, so that the last
    // ones never start.
    const workers = ['w1', 'w2', 'w3', 'w4'].map((id) => workerEntry(id));
    const cluster = new SimulatedCluster(seed, workers);
    const { harness } = cluster;
    harness.nowMs = 60_000;
    for (const { id } of workers) harness.report(id);
    const ids = Array.from({ length: STARVED_JOBS }, (_, i) => `crowd${i}`);
    for (const id of ids) {
      const late = stepSpec({ taskCount: 6 });
      harness.submit(jobSpec([late, late], { id, acceptedMs: 0 }));
    }
    const arrivals = pseudoRandom(seed + 100);
    let priorityStarts = 0;
    const isWaiting = (): boolean => ids.some((id) => !cluster.firstStartMs.has(id));
    while (isWaiting() && priorityStarts < 2 * STARVED_JOBS) {
      // 32 processors end 32 tasks a second, and 35 are submitted.
      cluster.submitInTime(3 + (arrivals() < 0.5 ? 1 : 0));
      cluster.step();
      if (harness.nowMs > 60_000 + STARVED_AFTER_MS)
        priorityStarts = cluster.startCount / STARTS_PER_PRIORITY_START;
    }
    const waiting = ids.filter((id) => !cluster.firstStartMs.has(id));
    assert.deepEqual(waiting, []);
    // By then each of the other starved jobs had a priority start, and a few went to jobs after it.
    assert.ok(priorityStarts <= 1.25 * STARVED_JOBS, `${priorityStarts} priority starts`);
  });
}

/**
 * Returns a cluster under a load of 1.25 from small tasks, and the ids of two jobs with one large
 * task each.
 */
function submitLarge(): [SimulatedCluster, string[]] {
  const workers = ['w1', 'w2', 'w3', 'w4'].map((id) => workerEntry(id));
  const cluster = new SimulatedCluster(4, workers);
  const { harness } = cluster;
  harness.nowMs = 60_000;
  for (const { id } of workers) harness.report(id);
  for (let i = 0; i < 50; i += 1) {
    cluster.submitInTime(4);
    cluster.step();
  }
  const large = stepSpec({ cpuMilli: 7_000 });
  const ids = ['large1', 'large2'];
  for (const id of ids) harness.submit(jobSpec([large], { id, acceptedMs: 0 }));
  return [cluster, ids];
}

/**
 * Simulates until the condition holds, for a minute at most; returns how long it took, in
 * milliseconds.
 */
function runUntil(cluster: SimulatedCluster, condition: () => boolean): number {
  const { harness } = cluster;
  const sinceMs = harness.nowMs;
  while (!condition() && harness.nowMs < sinceMs + 60_000) {
    cluster.submitInTime(4);
    cluster.step();
  }
  return harness.nowMs - sinceMs;
}

test('a large task of a starved job runs although smaller ones take all capacity that becomes free', () => {
  // Guards against an unbounded wait for capacity that becomes free one processor at a time.
  const [cluster, ids] = submitLarge();
  const waitedMs = runUntil(cluster, () => ids.every((id) => cluster.firstStartMs.has(id)));
  // A worker is empty within two seconds of its last start, and the second job waits for the first.
  assert.ok(waitedMs <= STARVED_AFTER_MS + 10_000, `${waitedMs}`);
  const [{ cpuMilli }] = cluster.harness.fieldsOf('room-held') as [{ cpuMilli: number }];
  assert.equal(cpuMilli, 7_000);
});

test('capacity is no longer held for a cancelled job, and no task of it is started', () => {
  // Guards against starting a task that no job needs, and against a worker that stays closed.
  const [cluster] = submitLarge();
  const { harness } = cluster;
  runUntil(cluster, () => harness.events.includes('room-held'));
  const [held] = harness.fieldsOf('room-held') as [{ job: string; worker: string }];
  harness.scheduler.cancel(held.job, harness.nowMs);
  const startedBefore = cluster.startCount;
  runUntil(cluster, () => cluster.startCount > startedBefore + 200);
  assert.ok(!cluster.firstStartMs.has(held.job));
  const starts = harness.fieldsOf('bound').slice(startedBefore);
  assert.ok(starts.some(({ worker }) => worker === held.worker));
});

test('capacity held on a worker that has ended is held on another one', () => {
  // Guards against assigning a task to a worker that no longer exists.
  const [cluster, ids] = submitLarge();
  const { harness } = cluster;
  runUntil(cluster, () => harness.events.includes('room-held'));
  const [held] = harness.fieldsOf('room-held') as [{ job: string; worker: string }];
  harness.scheduler.workerEnded(held.worker, harness.nowMs, 'test');
  runUntil(cluster, () => ids.every((id) => cluster.firstStartMs.has(id)));
  assert.ok(ids.every((id) => cluster.firstStartMs.has(id)));
  const bound = harness.fieldsOf('bound').filter(({ worker }) => worker === held.worker);
  assert.ok(bound.every(({ task }) => !String(task).startsWith('large')));
});
