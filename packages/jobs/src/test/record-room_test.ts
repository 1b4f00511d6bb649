import assert from 'node:assert/strict';
import { test } from 'node:test';
import { JobProgress } from '../job-progress.js';
import type { StepSpec } from '../job.js';
import type { Order } from '../order.js';
import {
  SchedulerHarness,
  jobSpec,
  runningRow,
  stepSpec,
  workerEntry,
} from './scheduler-harness.js';

const MAX_BYTES = 261_888;

const TASKS = 5_000;

const LARGE = { cpuMilli: 100_000_000, memMb: 100_000_000, gpus: 0 };

/** The longest names that the store takes as keys, of characters that a record has to escape. */
const LONG_NAMES = [0, 1].map((i) => `${'|'.repeat(254)}${i}`);

type Start = Order & { kind: 'start' };

function harnessWith(workers: readonly string[]): SchedulerHarness {
  const harness = new SchedulerHarness(workers.map((id) => workerEntry(id, { capacity: LARGE })));
  harness.scheduler.setMaxProgressBytes(MAX_BYTES);
  return harness;
}

/** Returns a step of as many tasks as a job may have. */
function manyTasks(changes: Partial<StepSpec> = {}): StepSpec {
  return stepSpec({ taskCount: TASKS, cpuMilli: 1, memMb: 1, ...changes });
}

/** Returns the size of the job's record in bytes. */
function recordBytes(job: JobProgress): number {
  return Buffer.byteLength(job.encode(MAX_BYTES));
}

function report(harness: SchedulerHarness, starts: readonly Start[], checkpoint = ''): void {
  harness.nowMs += 10_000;
  for (const id of new Set(starts.map(({ worker }) => worker))) {
    const running = starts
      .filter(({ worker }) => worker === id)
      .map((start) => ({ ...runningRow(start), checkpoint }));
    harness.report(id, { running });
  }
}

test('a job whose started tasks do not fit into its record runs them in parts, all of them', () => {
  // Guards against a record that the store rejects: the job would be given up.
  const harness = harnessWith(LONG_NAMES);
  const job = harness.submit(jobSpec([manyTasks()]));
  let startCount = 0;
  for (let round = 0; job.state !== 'completed'; round += 1) {
    assert.ok(round < 100, `${startCount} starts in ${round} rounds`);
    const starts = harness.starts();
    assert.ok(recordBytes(job) <= MAX_BYTES, `${recordBytes(job)} bytes`);
    startCount += starts.length;
    harness.nowMs += 20;
    for (const id of LONG_NAMES) {
      const ended = starts.filter(({ worker }) => worker === id);
      harness.report(id, { ended: ended.map((start) => harness.end(start, 'done')) });
    }
  }
  assert.equal(startCount, TASKS);
});

test('all tasks of a job run at the same time on workers with usual names', () => {
  const harness = harnessWith(['00a1b2c3d4e5f607', '10a1b2c3d4e5f607']);
  const job = harness.submit(jobSpec([manyTasks()]));
  assert.equal(harness.starts().length, TASKS);
  assert.ok(recordBytes(job) <= MAX_BYTES);
});

test('a record without room for the checkpoints of its tasks leaves them out', () => {
  // Guards against a job that is given up as its tasks save more than a record holds.
  const harness = harnessWith(['00a1b2c3d4e5f607']);
  const spec = jobSpec([manyTasks({ checkpointing: true })]);
  const job = harness.submit(spec);
  const starts = harness.starts();
  for (const start of starts) harness.answer(start, 'done');
  report(harness, starts, 'c'.repeat(60));
  assert.ok(recordBytes(job) <= MAX_BYTES);
  const stored = JobProgress.decode(spec, job.encode(MAX_BYTES));
  assert.equal(
    stored.occurrences.get(0)!.steps[0]!.filter(({ phase }) => phase === 'bound').length,
    TASKS,
  );
  assert.equal(job.occurrences.get(0)!.steps[0]![0]!.checkpoint.length, 60);
});

test('one checkpoint that is larger than a record is left out', () => {
  const harness = harnessWith(['w1']);
  const job = harness.submit(jobSpec([stepSpec({ checkpointing: true })]));
  const starts = harness.starts();
  for (const start of starts) harness.answer(start, 'done');
  report(harness, starts, 'c'.repeat(400_000));
  assert.ok(recordBytes(job) <= MAX_BYTES);
});

test('tasks of a job with a full record start again after their worker has ended', () => {
  // Guards against tasks that wait for room which their own former runs take.
  const harness = harnessWith(LONG_NAMES);
  harness.submit(jobSpec([manyTasks({ lasting: true })]));
  const starts = harness.starts();
  const lost = starts.filter(({ worker }) => worker === LONG_NAMES[0]);
  harness.scheduler.workerEnded(LONG_NAMES[0]!, harness.nowMs, 'other-life');
  const again = harness.starts();
  assert.ok(lost.length > 0);
  assert.equal(again.length, lost.length);
});

test('all tasks of a full record start again after all workers have ended', () => {
  // Guards against entries that have grown since, so that none of their tasks is bound again.
  const workers = ['00a1b2c3d4e5f607', '10a1b2c3d4e5f607'];
  const harness = harnessWith(workers);
  const job = harness.submit(jobSpec([manyTasks({ taskCount: 20_000, lasting: true })]));
  const starts: Start[] = [];
  for (let round = 0; round < 5; round += 1) {
    starts.push(...harness.starts());
    job.encode(MAX_BYTES);
  }
  assert.ok(starts.length < 20_000);
  for (const id of workers) harness.scheduler.workerEnded(id, harness.nowMs, 'other-life');
  harness.decide();
  job.encode(MAX_BYTES);
  for (const id of ['20a1b2c3d4e5f607', '30a1b2c3d4e5f607']) {
    harness.scheduler.listWorker(workerEntry(id, { capacity: LARGE }), harness.nowMs);
    harness.report(id);
  }
  assert.equal(harness.starts().length, starts.length);
  assert.ok(recordBytes(job) <= MAX_BYTES);
});

test('a gang that no record can hold fails at once', () => {
  // Guards against a job that is shown as queued for ever.
  const harness = harnessWith(LONG_NAMES);
  const job = harness.submit(jobSpec([manyTasks({ gang: true })]));
  assert.deepEqual(harness.starts(), []);
  assert.equal(job.state, 'failed');
  assert.equal(harness.fieldsOf('gang-too-large').length, 1);
});

test('a loaded job uses the room that its next record takes, not the stored one', () => {
  // Guards against a job that waits for ever, as a record of an earlier release listed thousands of
  // occurrences that count as not opened now.
  const schedule = { count: 40_000, firstDueMs: 0, intervalMs: 1 };
  const spec = jobSpec([stepSpec({ memMb: 1 })], { schedule });
  const listed = Array.from({ length: 35_000 }, (_, i) => `${i}|w`).join(';');
  const harness = harnessWith(['w1']);
  harness.scheduler.addJob(JobProgress.decode(spec, `q35000;;${listed}!`));
  assert.ok(listed.length > MAX_BYTES - 20);
  assert.ok(harness.starts().length > 0);
});

test('a cancelled job whose runs do not fit into its record is stored without them', () => {
  const harness = harnessWith(['w1']);
  const job = harness.submit(jobSpec([manyTasks()]));
  harness.starts();
  harness.scheduler.cancel(job.spec.id, harness.nowMs);
  const stored = JobProgress.decode(job.spec, job.encode(1_000));
  assert.equal(stored.state, 'cancelled');
  assert.equal(stored.hasBoundTasks(), false);
});
