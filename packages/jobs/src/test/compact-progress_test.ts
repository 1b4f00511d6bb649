import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { JobSpec } from '../job.js';
import { JobProgress } from '../job-progress.js';
import { decodeCompact, encodeCompact } from '../internal/compact-progress.js';
import type { ProgressRecord, TaskTuple } from '../internal/progress-record.js';
import { parseProgress } from '../internal/progress-record.js';
import { jobSpec, stepSpec } from './scheduler-harness.js';

const MAX_TASKS = 60;

/** Names and checkpoints: as the platform forms them, and any text. */
const TEXT = fc.oneof(
  fc.stringMatching(/^i-[0-9a-f]{10}$/),
  fc.stringMatching(/^[0-9a-f]{16}$/),
  fc.string({ unit: 'binary' }),
  fc.constantFrom('', '!', '~', '.', ',', ';', '|', '%0021', '\ud800'),
);

const STARTED: fc.Arbitrary<TaskTuple> = fc.tuple(
  fc.nat({ max: 3 }),
  fc.nat(),
  TEXT,
  fc.nat({ max: 9 }),
  TEXT,
);

const FIRST_RUN: fc.Arbitrary<TaskTuple> = fc.tuple(
  fc.constant(1),
  fc.constant(1),
  TEXT,
  fc.constant(0),
  TEXT,
);

const TASKS = fc.array(
  fc.oneof(fc.constant<TaskTuple>(0), fc.constant<TaskTuple>(1), FIRST_RUN, STARTED),
  { minLength: 1, maxLength: MAX_TASKS },
);

const RECORD: fc.Arbitrary<ProgressRecord> = fc.record(
  {
    s: fc.constantFrom('queued', 'running', 'completed', 'failed', 'cancelled'),
    e: fc.oneof(fc.nat(), fc.double({ min: 0, noNaN: true, noDefaultInfinity: true })),
    b: fc.nat(),
    o: fc.array(fc.tuple(fc.nat(), fc.array(TASKS, { minLength: 1, maxLength: 4 })), {
      maxLength: 3,
    }),
  },
  { requiredKeys: ['s', 'b', 'o'], noNullPrototype: true },
);

/** Returns a job of one step with this many tasks. */
function jobOf(taskCount: number): JobSpec {
  return jobSpec([stepSpec({ taskCount })]);
}

test('compact progress decodes to what was encoded', () => {
  fc.assert(
    fc.property(RECORD, (rec) => {
      assert.deepEqual(decodeCompact(encodeCompact(rec), MAX_TASKS), rec);
    }),
    { numRuns: 1_000 },
  );
});

test('a truncated record of progress is recognised', () => {
  // Guards against a worker name that is cut: the task would be started elsewhere while it runs.
  fc.assert(
    fc.property(RECORD, fc.nat(), (rec, at) => {
      const text = encodeCompact(rec);
      assert.equal(decodeCompact(text.slice(0, at % text.length), MAX_TASKS), undefined);
    }),
    { numRuns: 1_000 },
  );
});

test('a job with many running tasks is stored in a third of the former bytes', () => {
  // Guards against records so large that the links of the leader and of its readers are saturated.
  const tasks = Array.from({ length: 39 }, (_, i): TaskTuple =>
    i < 10 ? 1 : [1, 1, `i-${(0x4b1c187eed + i * 7919).toString(16)}`, 0, ''],
  );
  const rec: ProgressRecord = { s: 'running', b: 1, o: [[0, [tasks]]] };
  assert.ok(3 * encodeCompact(rec).length < 1.1 * JSON.stringify(rec).length);
  assert.ok(encodeCompact(rec).length < 300, encodeCompact(rec));
});

test('progress that an earlier version stored as JSON is read', () => {
  const spec = jobOf(3);
  const rec: ProgressRecord = {
    s: 'running',
    b: 1,
    o: [[0, [[0, 1, [1, 2, 'i-4b1c187eed', 1, 'a1']]]]],
  };
  const job = JobProgress.decode(spec, JSON.stringify(rec));
  assert.deepEqual(parseProgress(spec, job.encode()), rec);
  const [, , task] = job.occurrences.get(0)!.steps[0]!;
  assert.deepEqual(task, {
    phase: 'bound',
    run: 2,
    worker: 'i-4b1c187eed',
    failures: 1,
    checkpoint: 'a1',
  });
});

test('a record with more tasks than the job is unreadable', () => {
  assert.equal(parseProgress(jobOf(3), 'r1;;0|w9999999999!'), undefined);
  assert.equal(parseProgress(jobOf(3), 'r1;;0|w4!'), undefined);
  assert.notEqual(parseProgress(jobOf(3), 'r1;;0|w3!'), undefined);
});
