import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import type { JobSpec } from '@redwingcrank/jobs';
import { JobProgress, PLAIN_STEP } from '@redwingcrank/jobs';
import type { KeyedRecord } from '../keyed-log.js';
import { steadyMs } from '../internal/delay.js';
import { encodeJob } from '../internal/job-record.js';
import { decodeLearned, encodeLeader, encodeLearned } from '../internal/work-records.js';
import { WorkTable } from '../internal/work-table.js';

const SPEC: JobSpec = {
  id: 'a',
  queue: 'q',
  payload: 'p',
  steps: [{ ...PLAIN_STEP, taskCount: 2 }],
  acceptedMs: 1,
};

const LEADER = {
  epoch: 3,
  node: 'n1',
  nonce: 'x',
  resigned: false,
  leasesMs: 7_600,
  formerMs: 0,
  silent: { w1: 900 },
  number: 0,
  cores: 1.35,
  largestCores: 1.35,
};

/** Values that are not valid for a job, progress, a leader or interference weights. */
const MALFORMED_VALUES = ['', '{', 'null', '7', '"x"', '[]', '[null]', '{"s":7}', '{"epoch":"9"}'];

/** Leader records with one field of a wrong type or out of range. */
const MALFORMED_LEADERS = [
  { ...LEADER, epoch: 1.5 },
  { ...LEADER, epoch: 1e300 },
  { ...LEADER, node: 7 },
  { ...LEADER, nonce: null },
  { ...LEADER, resigned: 'no' },
  { ...LEADER, leasesMs: '7600' },
  { ...LEADER, formerMs: -1 },
  { ...LEADER, silent: [] },
  { ...LEADER, silent: { w1: 'soon' }, number: 0 },
  { ...LEADER, cores: '1.35' },
  { ...LEADER, largestCores: null },
  { ...LEADER, successor: 7 },
  { ...LEADER, startsPerSecond: '40' },
  { ...LEADER, startsPerSecond: 0 },
  { ...LEADER, startDelayMs: [6_000] },
  { ...LEADER, startDelayMs: { 'pool reserved 0': '6000' } },
  { ...LEADER, workRates: { 'pool reserved 0': 0 } },
  { ...LEADER, nodes: 0 },
];

test('learned weights beyond all bounds are not used', () => {
  // Guards against a weight whose sums are infinite, which no later leader can read.
  for (const weight of ['1e308', '-1e308', '1e999', '"1"', 'null'])
    assert.ok('fault' in decodeLearned(`{"web":{"batch":${weight}}}`), weight);
  assert.deepEqual(decodeLearned('{"web":{"batch":1.5}}'), { value: { web: { batch: 1.5 } } });
});

test('learned weights that no record can hold are stored in part', () => {
  const weights = Object.fromEntries(
    Array.from({ length: 100 }, (_, i) => [`web-${i}`, { ['b'.repeat(4_000)]: 1 }]),
  );
  const text = encodeLearned(weights, 100_000);
  assert.ok(text.length <= 100_000);
  const decoded = decodeLearned(text);
  assert.ok('value' in decoded && Object.keys(decoded.value).length > 20);
  assert.equal(encodeLearned({ web: { batch: 1.5 }, api: {} }), '{"web":{"batch":1.5},"api":{}}');
});

let table: WorkTable;

const put = (key: string, value: string | undefined): void => table.apply({ key, value });

function encodeProgress(change: (job: JobProgress) => void): string {
  const job = new JobProgress(SPEC);
  job.openDue(0);
  job.markRunning();
  change(job);
  return job.encode();
}

const RUNNING_PROGRESS = encodeProgress(() => {});

beforeEach(() => {
  table = new WorkTable('n9');
  put('leader', encodeLeader(LEADER));
  put('learned', encodeLearned({ web: { batch: 0.4 } }));
  put('j/a', encodeJob(SPEC));
  put('s/a', RUNNING_PROGRESS);
});

/** Asserts that the table still holds exactly the records that each test starts with. */
function assertUnchanged(message: string): void {
  assert.deepEqual(table.leader, LEADER, message);
  assert.deepEqual(table.learned, { web: { batch: 0.4 } }, message);
  assert.deepEqual([...table.jobs.keys()], ['a'], message);
  assert.deepEqual(table.jobs.get('a')!.spec, SPEC, message);
  assert.equal(table.jobs.get('a')!.state, 'running', message);
  assert.equal(table.jobs.get('a')!.progress, RUNNING_PROGRESS, message);
}

test('a malformed record changes nothing', () => {
  // Guards against a malformed record that crashes the process. Every node reads the record, and
  // reads it again after a restart, so no restart would end the outage.
  for (const value of MALFORMED_VALUES) {
    for (const key of ['leader', 'learned', 'j/a', 'j/b', 's/a', 's/b', 'x', '', '/', 'j']) {
      put(key, value);
      assertUnchanged(`${key} ${value}`);
    }
  }
});

test('a record whose bytes could not be decoded changes nothing', () => {
  const fault = { reason: 'unreadable', field: 'value' } as const;
  for (const key of ['leader', 'learned', 'j/a', 's/a', '']) {
    const rec: KeyedRecord = { key, value: undefined, fault };
    table.apply(rec);
    assertUnchanged(key);
  }
});

test('a job record with one invalid field is ignored', () => {
  // The leader sums up resources, counts tasks and follows references between steps. Guards against
  // an invalid job that fails there, while the leader decides for the jobs of all callers.
  const step = SPEC.steps[0]!;
  const malformed: object[] = [
    { ...SPEC, id: 'other' },
    { ...SPEC, queue: 7 },
    { ...SPEC, payload: null },
    { ...SPEC, acceptedMs: 'now' },
    { ...SPEC, steps: [] },
    { ...SPEC, steps: [null] },
    { ...SPEC, steps: [{ ...step, taskCount: 0 }] },
    { ...SPEC, steps: [{ ...step, taskCount: 1e9 }] },
    { ...SPEC, steps: [{ ...step, cpuMilli: '500' }] },
    { ...SPEC, steps: [{ ...step, memMb: -1 }] },
    { ...SPEC, steps: [{ ...step, after: [0] }] },
    { ...SPEC, steps: [{ ...step, gang: 1 }] },
    { ...SPEC, schedule: { count: 'x', firstDueMs: 0, intervalMs: 0 } },
  ];
  table = new WorkTable('n9');
  for (const value of malformed) {
    put('j/a', JSON.stringify(value));
    assert.equal(table.jobs.size, 0, JSON.stringify(value));
  }
  put('j/a', encodeJob(SPEC));
  assert.deepEqual(table.jobs.get('a')!.spec, SPEC);
});

test('a job record of an earlier release, which lacks a newer field, is read', () => {
  const { maxUnavailable: _left, ...step } = SPEC.steps[0]!;
  table = new WorkTable('n9');
  put('j/a', JSON.stringify({ ...SPEC, steps: [step] }));
  assert.deepEqual(table.jobs.get('a')!.spec, SPEC);
});

test('progress that does not match its job is rejected as unreadable', () => {
  // Progress says where each task may run. Guards against a new leader that looks up tasks that do
  // not exist: it would fail in every round, and no job of any caller would start.
  const malformed = [
    { s: 'running', b: 1, o: [[0, []]] },
    { s: 'running', b: 1, o: [[0, [[0]]]] },
    { s: 'running', b: 1, o: [[0, [[0, [1, 1, 7, 0, '']]]]] },
    { s: 'running', b: 1, o: [[0, [[0, [9, 1, 'w', 0, '']]]]] },
    { s: 'asleep', b: 1, o: [] },
    { s: 'running', b: -1, o: [] },
    { s: 'running', b: 1 },
    { s: 'completed', b: 1, o: [], e: 'x' },
  ];
  for (const value of malformed) {
    put('s/a', JSON.stringify(value));
    assertUnchanged(JSON.stringify(value));
  }
});

test('a job whose newest progress cannot be read stays unsure until readable progress arrives', () => {
  // The unreadable record may say that a task is running or completed. Guards against a new leader
  // that continues from the record before it and starts such a task a second time.
  assert.equal(table.jobs.get('a')!.isUnsure, false);
  put('s/a', '{"s":7}');
  assert.equal(table.jobs.get('a')!.isUnsure, true);
  put('s/a', RUNNING_PROGRESS);
  assert.equal(table.jobs.get('a')!.isUnsure, false);
  table = new WorkTable('n9');
  put('s/a', '{"s":7}');
  put('j/a', encodeJob(SPEC));
  assert.equal(table.jobs.get('a')!.isUnsure, true);
});

test('unreadable progress does not count as a sign of life of the leader', async () => {
  // Any process may have written it. Guards against a dead leader that is not replaced while
  // another process continues to write such records.
  const seenMs = table.leaderSeenMs;
  await new Promise(setImmediate);
  put('s/a', '{"s":7}');
  assert.equal(table.leaderSeenMs, seenMs);
  put('s/a', RUNNING_PROGRESS);
  assert.ok(table.leaderSeenMs > seenMs);
});

test('a malformed leader record is ignored, and the next record bounds the earlier leases', () => {
  // It may be a damaged record of the next leader, whose leases are then unknown. Guards against
  // ignoring that term: tasks that this leader started would be started elsewhere too early. So the
  // next readable record counts as the first one after a gap.
  for (const value of MALFORMED_LEADERS) {
    table = new WorkTable('n9');
    put('leader', encodeLeader(LEADER));
    put('leader', JSON.stringify(value));
    assert.deepEqual(table.leader, LEADER, JSON.stringify(value));
    put('leader', encodeLeader({ ...LEADER, epoch: 4, formerMs: 9_000 }));
    const leftMs = table.formerLeases.generalEndMs - steadyMs();
    assert.ok(leftMs > 8_500, `${JSON.stringify(value)}: ${leftMs} ms left`);
  }
});

test('unreadable progress extends the assumed leases of the leader', async () => {
  // It does not prove that the leader lives, but the leader may have written it, and may have granted
  // leases later than the last readable record shows.
  await pause(400);
  put('s/a', '{"s":7}');
  const readMs = steadyMs();
  put('leader', encodeLeader({ ...LEADER, epoch: 4 }));
  const leftMs = table.formerLeases.generalEndMs - readMs;
  assert.ok(leftMs >= 7_600, `${leftMs} ms left`);
});
