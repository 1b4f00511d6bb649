import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import type { JobSpec } from '@redwingcrank/jobs';
import { JobProgress, PLAIN_STEP } from '@redwingcrank/jobs';
import type { KeyedRecord } from '../keyed-log.js';
import { steadyMs } from '../internal/delay.js';
import { encodeJob } from '../internal/job-record.js';
import { encodeLeader, encodeLearned } from '../internal/work-records.js';
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

/** Values that are neither a job, nor progress, nor a leader, nor weights. */
const STRANGERS = ['', '{', 'null', '7', '"x"', '[]', '[null]', '{"s":7}', '{"epoch":"9"}'];

/** A leader's records with one part of another type. */
const BROKEN_LEADERS = [
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
];

let table: WorkTable;

const put = (key: string, value: string | undefined): void => table.apply({ key, value });

function progress(change: (job: JobProgress) => void): string {
  const job = new JobProgress(SPEC);
  job.openDue(0);
  job.markRunning();
  change(job);
  return job.encode();
}

const RUNNING = progress(() => {});

beforeEach(() => {
  table = new WorkTable('n9');
  put('leader', encodeLeader(LEADER));
  put('learned', encodeLearned({ web: { batch: 0.4 } }));
  put('j/a', encodeJob(SPEC));
  put('s/a', RUNNING);
});

function assertAsBefore(what: string): void {
  assert.deepEqual(table.leader, LEADER, what);
  assert.deepEqual(table.learned, { web: { batch: 0.4 } }, what);
  assert.deepEqual([...table.jobs.keys()], ['a'], what);
  assert.deepEqual(table.jobs.get('a')!.spec, SPEC, what);
  assert.equal(table.jobs.get('a')!.state, 'running', what);
  assert.equal(table.jobs.get('a')!.progress, RUNNING, what);
}

test('a record that says nothing changes nothing', () => {
  // A record that cannot be read ends the process at its first look at it; started again it meets
  // the same record. On every node at once, that is an outage which no restart ends.
  for (const value of STRANGERS) {
    for (const key of ['leader', 'learned', 'j/a', 'j/b', 's/a', 's/b', 'x', '', '/', 'j']) {
      put(key, value);
      assertAsBefore(`${key} ${value}`);
    }
  }
});

test('a record whose bytes could not be read changes nothing', () => {
  const fault = { reason: 'unreadable', field: 'value' } as const;
  for (const key of ['leader', 'learned', 'j/a', 's/a', '']) {
    const rec: KeyedRecord = { key, value: undefined, fault };
    table.apply(rec);
    assertAsBefore(key);
  }
});

test('a job with one field of another type is no job', () => {
  // The scheduling node adds claims up, counts tasks and follows the numbers of steps. A job that
  // does not hold what it should is found out there, in the middle of everybody's decisions.
  const step = SPEC.steps[0]!;
  const broken: object[] = [
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
  for (const value of broken) {
    put('j/a', JSON.stringify(value));
    assert.equal(table.jobs.size, 0, JSON.stringify(value));
  }
  put('j/a', encodeJob(SPEC));
  assert.deepEqual(table.jobs.get('a')!.spec, SPEC);
});

test('a job of an earlier release lacks a field and is read all the same', () => {
  const { maxUnavailable: _left, ...step } = SPEC.steps[0]!;
  table = new WorkTable('n9');
  put('j/a', JSON.stringify({ ...SPEC, steps: [step] }));
  assert.deepEqual(table.jobs.get('a')!.spec, SPEC);
});

test('progress that does not fit its job counts as unreadable', () => {
  // It says where each task may run. Whoever takes scheduling over would look up tasks that are
  // not there, in every round, and no job of any caller would begin.
  const broken = [
    { s: 'running', b: 1, o: [[0, []]] },
    { s: 'running', b: 1, o: [[0, [[0]]]] },
    { s: 'running', b: 1, o: [[0, [[0, [1, 1, 7, 0, '']]]]] },
    { s: 'running', b: 1, o: [[0, [[0, [9, 1, 'w', 0, '']]]]] },
    { s: 'asleep', b: 1, o: [] },
    { s: 'running', b: -1, o: [] },
    { s: 'running', b: 1 },
    { s: 'completed', b: 1, o: [], e: 'x' },
  ];
  for (const value of broken) {
    put('s/a', JSON.stringify(value));
    assertAsBefore(JSON.stringify(value));
  }
});

test('a job whose newest progress cannot be read is not taken over until it can', () => {
  // The record may have said that a task is at work, or done. A node that takes scheduling over
  // and starts from the record before would start such a task a second time.
  assert.equal(table.jobs.get('a')!.isUnsure, false);
  put('s/a', '{"s":7}');
  assert.equal(table.jobs.get('a')!.isUnsure, true);
  put('s/a', RUNNING);
  assert.equal(table.jobs.get('a')!.isUnsure, false);
  table = new WorkTable('n9');
  put('s/a', '{"s":7}');
  put('j/a', encodeJob(SPEC));
  assert.equal(table.jobs.get('a')!.isUnsure, true);
});

test('progress that cannot be read is no sign of life of the scheduling node', async () => {
  // It may be anybody's. Taken for a sign, a dead scheduling node would never be replaced while
  // another writer goes on.
  const seenMs = table.leaderSeenMs;
  await new Promise(setImmediate);
  put('s/a', '{"s":7}');
  assert.equal(table.leaderSeenMs, seenMs);
  put('s/a', RUNNING);
  assert.ok(table.leaderSeenMs > seenMs);
});

test('a leader with one part of another type is none, and its leases are taken to go on', () => {
  // It may have been the next leader's, damaged: how long its leases last is then not known. Passed
  // over in silence, tasks that it has started would be started elsewhere too early. So the next
  // record that can be read counts as the first after a gap.
  for (const value of BROKEN_LEADERS) {
    table = new WorkTable('n9');
    put('leader', encodeLeader(LEADER));
    put('leader', JSON.stringify(value));
    assert.deepEqual(table.leader, LEADER, JSON.stringify(value));
    put('leader', encodeLeader({ ...LEADER, epoch: 4, formerMs: 9_000 }));
    const leftMs = table.formerLeases.generalEndMs - steadyMs();
    assert.ok(leftMs > 8_500, `${JSON.stringify(value)}: ${leftMs} ms left`);
  }
});

test("progress that cannot be read may be the scheduling node's, which has renewed leases since", async () => {
  // No sign that the node lives, but none either that it gave no lease after what was read before.
  await pause(400);
  put('s/a', '{"s":7}');
  const readMs = steadyMs();
  put('leader', encodeLeader({ ...LEADER, epoch: 4 }));
  const leftMs = table.formerLeases.generalEndMs - readMs;
  assert.ok(leftMs >= 7_600, `${leftMs} ms left`);
});
