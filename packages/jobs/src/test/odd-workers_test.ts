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
