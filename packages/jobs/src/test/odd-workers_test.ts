import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  SchedulerHarness,
  jobSpec,
  runningRow,
  stepSpec,
  workerEntry,
} from './scheduler-harness.js';

const HUGE = { capacity: { cpuMilli: 4_000_000, memMb: 4_000_000, gpus: 0 } };

/** How long a worker may take to answer for the first time, in milliseconds. */
const FIRST_ANSWER_MS = 10_000;

test('the capacity of a worker that never answers does not count as free', () => {
  // Guards against an entry of another writer by which a full cluster looks idle: jobs are accepted
  // that only wait, and best-effort tasks are placed where they run slowly.
  const harness = new SchedulerHarness([workerEntry('w1')]);
  harness.submit(jobSpec([stepSpec({ cpuMilli: 8_000 })]));
  harness.starts();
  harness.scheduler.listWorker(workerEntry('odd', HUGE), harness.nowMs);
  harness.decide();
  assert.equal(harness.scheduler.backlog(harness.nowMs).reservedPercent, 0);
  harness.nowMs += FIRST_ANSWER_MS + 1;
  harness.report('w1');
  harness.decide();
  assert.equal(harness.scheduler.backlog(harness.nowMs).reservedPercent, 100);
});

test('a worker that answers late counts from its first answer on', () => {
  const harness = new SchedulerHarness([workerEntry('w1')]);
  harness.scheduler.listWorker(workerEntry('w2'), harness.nowMs);
  harness.submit(jobSpec([stepSpec({ cpuMilli: 8_000 })]));
  harness.starts();
  harness.nowMs += FIRST_ANSWER_MS + 1;
  harness.report('w2');
  harness.decide();
  assert.equal(harness.scheduler.backlog(harness.nowMs).reservedPercent, 50);
});

test('a use of processors beyond all bounds leaves what is learned about images finite', () => {
  // Guards against one report after which no leader knows the interference of an image any more.
  const harness = new SchedulerHarness([workerEntry('w1')]);
  const serving = stepSpec({ lasting: true, targetMs: 20, image: 'web' });
  const filling = stepSpec({ fills: true, image: 'batch', cpuMilli: 500 });
  harness.submit(jobSpec([serving, filling]));
  const starts = harness.starts();
  assert.equal(starts.length, 2);
  for (const start of starts) harness.answer(start, 'done');
  for (const measure of [10, 1e308, Number.MAX_SAFE_INTEGER, 10, 10, 10, 10, 10, 10, 10, 10]) {
    harness.nowMs += 500;
    const running = starts.map((start) => runningRow(start, { percent: 100, measure }));
    harness.report('w1', { running });
    harness.decide();
  }
  const weights = Object.values(harness.scheduler.learned).flatMap((row) => Object.values(row));
  assert.ok(weights.length > 0);
  assert.ok(weights.every(Number.isFinite), `${weights}`);
});
