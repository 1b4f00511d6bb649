import assert from 'node:assert/strict';
import { test } from 'node:test';
import { JobProgress } from '../job-progress.js';
import type { Order } from '../order.js';
import { encodeCompact } from '../internal/compact-progress.js';
import { SchedulerHarness, jobSpec, stepSpec, workerEntry } from './scheduler-harness.js';

const DAY_MS = 86_400_000;

const BIG = { cpuMilli: 1_000_000, memMb: 1_000_000, gpus: 0 };

/** Steps that run one after another. */
const CHAIN = Array.from({ length: 24 }, (_, i) =>
  stepSpec({ cpuMilli: 100, memMb: 64, after: i > 0 ? [i - 1] : [] }),
);

/** More open occurrences than any job may have, but far fewer than those that are due. */
const MAX_OPEN = 300;

/** The record of a job must stay small, as every node reads it with each change, in bytes. */
const MAX_RECORD_BYTES = 8_192;

/** Has the starts of the latest round end as done on the one worker. */
function endAll(harness: SchedulerHarness, starts: readonly (Order & { kind: 'start' })[]): void {
  for (const start of starts) harness.answer(start, 'done');
  harness.nowMs += 20;
  harness.report('w1', { ended: starts.map((start) => harness.end(start, 'done')) });
}

test('of the occurrences that are due together only some are open at a time', () => {
  // Guards against a leader that runs out of memory, and against a record that the store rejects.
  for (const intervalMs of [0, 60_000, 900_000]) {
    const harness = new SchedulerHarness([workerEntry('w1')]);
    harness.nowMs = 60 * DAY_MS;
    harness.report('w1');
    const schedule = { count: 86_400, firstDueMs: 0, intervalMs };
    const job = harness.submit(jobSpec(CHAIN, { schedule }));
    for (let round = 0; round < 20; round += 1) {
      endAll(harness, harness.starts());
      assert.ok(job.occurrences.size <= MAX_OPEN, `${job.occurrences.size} are open`);
      assert.ok(job.encode().length <= MAX_RECORD_BYTES, `${job.encode().length} bytes`);
    }
  }
});

test('a scheduled job runs all past occurrences, the oldest first, and completes with the last', () => {
  const harness = new SchedulerHarness([workerEntry('w1')]);
  harness.nowMs = DAY_MS;
  harness.report('w1');
  const count = 1_000;
  const schedule = { count, firstDueMs: 0, intervalMs: 1_000 };
  const job = harness.submit(jobSpec([stepSpec({ cpuMilli: 2_000 })], { schedule }));
  const started: number[] = [];
  while (job.state !== 'completed' && started.length < count) {
    const starts = harness.starts();
    started.push(...starts.map(({ task }) => task.occurrence));
    endAll(harness, starts);
  }
  harness.decide();
  assert.equal(job.state, 'completed');
  assert.deepEqual(
    started,
    Array.from({ length: count }, (_, i) => i),
  );
});

test('a job whose window is full asks for no round until an occurrence has ended', () => {
  // Guards against a leader that does one round after another, as the next occurrence is due already.
  const harness = new SchedulerHarness([workerEntry('w1')]);
  harness.nowMs = DAY_MS;
  harness.report('w1');
  const schedule = { count: 86_400, firstDueMs: 0, intervalMs: 1 };
  harness.submit(jobSpec([stepSpec()], { schedule }));
  const starts = harness.starts();
  assert.equal(harness.scheduler.nextDueMs(), undefined);
  endAll(harness, starts);
  harness.decide();
  assert.ok(harness.scheduler.nextDueMs()! < harness.nowMs);
});

test('scheduled jobs with past occurrences share what may be open, and each has some', () => {
  const harness = new SchedulerHarness([workerEntry('w1')]);
  harness.nowMs = DAY_MS;
  harness.report('w1');
  const schedule = { count: 86_400, firstDueMs: 0, intervalMs: 1 };
  const jobs = Array.from({ length: 500 }, (_, i) => {
    const id = i.toString(16).padStart(16, '0');
    return harness.submit(jobSpec([stepSpec({ taskCount: 40 })], { id, schedule }));
  });
  harness.decide();
  const open = jobs.map(({ occurrences }) => occurrences.size);
  assert.ok(Math.min(...open) >= 1);
  assert.ok(open.reduce((sum, size) => sum + size, 0) <= 2_000);
});

test('occurrences that overlap in time are open together', () => {
  const harness = new SchedulerHarness([workerEntry('w1', { capacity: BIG })]);
  const schedule = { count: 200, firstDueMs: 0, intervalMs: 1_000 };
  const job = harness.submit(jobSpec([stepSpec({ estimateMs: 600_000 })], { schedule }));
  harness.nowMs = 150_000;
  harness.report('w1');
  assert.equal(harness.starts().length, 151);
  assert.equal(job.occurrences.size, 151);
});

test('the long-running tasks of all occurrences run at the same time', () => {
  // None of them ends, so a limit on open occurrences would keep the others from ever starting.
  const harness = new SchedulerHarness([workerEntry('w1', { capacity: BIG })]);
  harness.nowMs = DAY_MS;
  harness.report('w1');
  const schedule = { count: 800, firstDueMs: 0, intervalMs: 1 };
  harness.submit(jobSpec([stepSpec({ lasting: true, memMb: 1 })], { schedule }));
  assert.equal(harness.starts().length, 800);
});

test('stored occurrences beyond the window that were never started count as not opened', () => {
  // Earlier releases stored every occurrence that was due, and a leader that loads them all runs out of
  // memory.
  const schedule = { count: 20_000, firstDueMs: 0, intervalMs: 1 };
  const spec = jobSpec([stepSpec({ taskCount: 5_000 })], { schedule });
  const bound = '~AA,w4999';
  const occurrences = Array.from(
    { length: 9_000 },
    (_, i) => `${i + 5}|${i === 2 ? bound : 'w5000'}`,
  );
  const stored = `r9005;i-;${occurrences.join(';')}!`;
  const progress = JobProgress.decode(spec, stored);
  assert.ok(progress.occurrences.size <= MAX_OPEN);
  assert.equal(progress.nextOccurrence, 5 + progress.occurrences.size);
  assert.equal(progress.occurrences.get(7)!.steps[0]![0]!.phase, 'bound');
  assert.ok(JobProgress.decodeState(spec, stored));
});

test('a stored occurrence that was started stays open, however many are listed', () => {
  const schedule = { count: 9_000, firstDueMs: 0, intervalMs: 1 };
  const spec = jobSpec([stepSpec()], { schedule });
  const occurrences = Array.from({ length: 400 }, (_, i) => `${i}|${i === 390 ? '~AA' : 'w'}`);
  const progress = JobProgress.decode(spec, `r400;i-;${occurrences.join(';')}!`);
  assert.equal(progress.occurrences.get(390)!.steps[0]![0]!.phase, 'bound');
  assert.equal(progress.nextOccurrence, 391);
});

test('a record that lists more tasks than any leader can hold is unreadable', () => {
  const schedule = { count: 9_000, firstDueMs: 0, intervalMs: 1 };
  const spec = jobSpec([stepSpec({ taskCount: 5_000 })], { schedule });
  const o = Array.from({ length: 5_000 }, (_, i) => [i, [[1, ...new Array<0>(4_999).fill(0)]]]);
  const stored = encodeCompact({ s: 'running', b: 5_000, o: o as never });
  assert.equal(JobProgress.decodeState(spec, stored), undefined);
});

test('on a busy node a job that is far behind has few occurrences open, and others all that are due', () => {
  // Guards against short jobs that start late, as the leader is busy with what is late in any case.
  const harness = new SchedulerHarness([workerEntry('w1', { capacity: BIG })]);
  harness.nowMs = DAY_MS;
  harness.report('w1');
  const busy = { placingMs: Infinity, starts: Infinity, clockMs: () => 0, isNodeBusy: true };
  const submit = (id: string, firstDueMs: number): JobProgress =>
    harness.submit(
      jobSpec([stepSpec()], { id, schedule: { count: 100, firstDueMs, intervalMs: 1 } }),
    );
  const behind = submit('00000000000000a1', 0);
  const inTime = submit('00000000000000a2', DAY_MS - 200);
  harness.scheduler.decide(harness.nowMs, harness.nowMs, busy);
  assert.equal(behind.occurrences.size, 8);
  assert.equal(inTime.occurrences.size, 100);
  assert.equal(harness.scheduler.nextDueMs(), undefined);
  harness.decide();
  assert.equal(behind.occurrences.size, 100);
});
