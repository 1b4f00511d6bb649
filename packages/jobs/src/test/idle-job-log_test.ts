import assert from 'node:assert/strict';
import { test } from 'node:test';
import { JobProgress } from '../job-progress.js';
import { SchedulerHarness, jobSpec, stepSpec, workerEntry } from './scheduler-harness.js';

test('a job that is idle for long is told once, with what keeps it from how many workers', () => {
  // Guards against idle jobs whose cause no line tells: a full cluster and an order that leaves
  // them out look alike from outside.
  const harness = new SchedulerHarness([
    workerEntry('w1'),
    workerEntry('w2', { labels: ['fast'] }),
  ]);
  const spec = stepSpec({ cpuMilli: 8_000, requiredLabel: 'fast' });
  harness.submit(jobSpec([spec], { id: 'first' }));
  const [start] = harness.starts();
  harness.submit(jobSpec([spec], { id: 'second' }));
  for (let i = 0; i < 8; i += 1) {
    harness.decide();
    harness.nowMs += 1_000;
    harness.report('w1');
    harness.report('w2');
  }
  const [logged, ...others] = harness.fieldsOf('job-idle');
  assert.equal(others.length, 0);
  const { job, idleMs, reservedPercent, label, room } = logged!;
  const expected = { job: 'second', idleMs: 4_000, reservedPercent: 50, label: 1, room: 1 };
  assert.deepEqual({ job, idleMs, reservedPercent, label, room }, expected);
  const { idleJobs, longestIdleMs } = harness.scheduler.backlog(harness.nowMs);
  assert.deepEqual({ idleJobs, longestIdleMs }, { idleJobs: 1, longestIdleMs: 8_000 });

  harness.report('w2', { ended: [harness.end(start!, 'done')] });
  harness.starts();
  assert.equal(harness.scheduler.backlog(harness.nowMs).idleJobs, 0);
});

test('a job that an earlier node has left idle goes on being idle since then', () => {
  // Guards against idle times that begin anew with each scheduling node: with two of them a job waits
  // twice as long for its turn.
  const harness = new SchedulerHarness([]);
  const inherited = new JobProgress(jobSpec([stepSpec()], { id: 'left' }));
  inherited.openDue(harness.nowMs);
  harness.nowMs = 60_000;
  harness.scheduler.addJob(inherited, harness.nowMs - 9_000);
  harness.submit(jobSpec([stepSpec()], { id: 'new' }));
  harness.decide();
  assert.equal(harness.scheduler.backlog(harness.nowMs).longestIdleMs, 9_000);
  assert.equal(harness.scheduler.backlog(harness.nowMs).idleJobs, 2);
});
