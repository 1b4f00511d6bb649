import assert from 'node:assert/strict';
import { test } from 'node:test';
import { JobProgress } from '../job-progress.js';
import { SchedulerHarness, jobSpec, stepSpec, workerEntry } from './scheduler-harness.js';

test('a job that is idle for long is logged once, with the number of workers by obstacle', () => {
  // Guards against idle jobs without a logged cause: from outside, a full cluster looks the same as
  // an order of jobs that leaves some of them out.
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

test('the idle time of a job continues under a new leader', () => {
  // Guards against idle times that restart with each new leader: after a takeover a job would wait
  // twice as long for its priority start.
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
