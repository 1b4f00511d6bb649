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

/** Started tasks, also first runs, with a crash weight. */
const CRASHED: fc.Arbitrary<TaskTuple> = fc.tuple(
  fc.integer({ min: 1, max: 3 }),
  fc.integer({ min: 1, max: 3 }),
  TEXT,
  fc.nat({ max: 3 }),
  TEXT,
  fc.integer({ min: 1 }),
);

test('tasks with a crash weight decode to what was encoded, also from JSON', () => {
  // Guards against a weight that is lost or misread on its way to the next leader.
  fc.assert(
    fc.property(fc.array(fc.oneof(CRASHED, STARTED, FIRST_RUN), { minLength: 1 }), (tasks) => {
      const spec = jobOf(tasks.length);
      const rec: ProgressRecord = { s: 'running', b: 1, o: [[0, [tasks]]] };
      assert.deepEqual(parseProgress(spec, encodeCompact(rec)), rec);
      assert.deepEqual(parseProgress(spec, JSON.stringify(rec)), rec);
    }),
    { numRuns: 1_000 },
  );
});

test('records without a crash weight are as in earlier versions, byte for byte', () => {
  // Guards against jobs that nodes of earlier versions cannot read although no worker has crashed.
  const rec: ProgressRecord = {
    s: 'running',
    b: 1,
    o: [
      [
        0,
        [
          [
            0,
            1,
            1,
            [1, 1, 'i-4b1c187eed', 0, ''],
            [1, 1, 'i-4b1c187eed', 0, 'a1'],
            [0, 2, 'i-4b1c187eed', 1, 'a1'],
            [1, 3, 'w1', 0, ''],
          ],
        ],
      ],
    ],
  };
  const text = 'r1;i-;0|w,d2,~SxwYfu0,~SxwYfu0.~oQ,0.2.1.~SxwYfu0.~oQ,1.3.0.w1.!';
  assert.equal(encodeCompact(rec), text);
  const job = JobProgress.decode(jobOf(7), text);
  assert.equal(job.encode(), text);
  const task = job.occurrences.get(0)!.steps[0]![5]!;
  task.crashWeight = 2;
  assert.equal(job.encode(), text.replace('~oQ,1.3', '~oQ.2,1.3'));
});

test('a record whose crash weight is malformed is unreadable', () => {
  // Guards against a weight that is not a number: the task would never be given up.
  const compact = (part: string): string => `r1;i-;0|1.3.0.w1.${part}!`;
  assert.notEqual(parseProgress(jobOf(1), compact('')), undefined);
  assert.notEqual(parseProgress(jobOf(1), compact('.2')), undefined);
  for (const part of ['.', '.x', '.-1', '.1.5', '.02', '.9999999999999999', '.2.1']) {
    assert.equal(parseProgress(jobOf(1), compact(part)), undefined, part);
  }
  const json = (parts: unknown[]): string =>
    JSON.stringify({ s: 'running', b: 1, o: [[0, [[[1, 3, 'w1', 0, '', ...parts]]]]] });
  assert.notEqual(parseProgress(jobOf(1), json([])), undefined);
  assert.notEqual(parseProgress(jobOf(1), json([2])), undefined);
  for (const parts of [[null], ['2'], [-1], [1.5], [2, 1]]) {
    assert.equal(parseProgress(jobOf(1), json(parts)), undefined, JSON.stringify(parts));
  }
});

test('a task with a copy decodes to what was encoded, and a malformed copy is unreadable', () => {
  // Guards against a second run that the next leader does not know, or that it takes for the first
  // run, or finds in a step that allows only one.
  const spec = jobSpec([stepSpec({ speculative: true })]);
  const tuple: TaskTuple = [1, 2, 'i-4b1c187eed', 1, 'a1', 0, 3, 'i-4b1c187eee'];
  const rec: ProgressRecord = { s: 'running', b: 1, o: [[0, [[tuple]]]] };
  const text = encodeCompact(rec);
  assert.equal(text, 'r1;i-;0|1.2.1.~SxwYfu0.~oQ.0.3.~SxwYfu4!');
  assert.equal(JobProgress.decode(spec, text).encode(), text);
  assert.deepEqual(parseProgress(spec, JSON.stringify(rec)), rec);
  assert.equal(parseProgress(jobOf(1), text), undefined);
  for (const copy of ['.3', '.2.w', '.1.w', '.x.w', '.3.~SxwYfu0', '.3.w.1', '.3.~'])
    assert.equal(parseProgress(spec, text.replace('.3.~SxwYfu4', copy)), undefined, copy);
  // The number of a copy that has ended stays in the record.
  assert.notEqual(parseProgress(spec, text.replace('~SxwYfu4', '')), undefined);
  assert.equal(parseProgress(spec, text.replace('|1.', '|0.')), undefined);
});
