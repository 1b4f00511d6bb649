import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import type { KeyedWrite, NewestPage, ReadResult } from '../keyed-log.js';
import { RecordsExpiredError } from '../keyed-log.js';
import { NodeLog } from '../node-log.js';
import { steadyMs } from '../internal/delay.js';
import { Housekeeping } from '../internal/housekeeping.js';
import { encodeJob } from '../internal/job-record.js';
import { jobKey, progressKey } from '../internal/work-records.js';
import { WorkFollower } from '../internal/work-follower.js';
import { WorkTable } from '../internal/work-table.js';
import { LONG_RUNNING_JOB, startedProgress } from './job-fixtures.js';
import { MemoryLog } from './memory-log.js';
import { pause, waitUntil } from './wait.js';

/** Jobs to forget are looked for within this time, in milliseconds. */
const FORGET_MS = 5_050;

/** A log in memory whose records can expire. */
class ExpiringLog extends MemoryLog {
  /** Records before this offset can be read no more but as the newest of their keys. */
  #first = 0;

  override async read(from: number, waitMs: number): Promise<ReadResult> {
    const result = await super.read(from, waitMs);
    if (from < this.#first) throw new RecordsExpiredError('expired');
    return result;
  }

  /** All records so far expire, but for the newest of each key. */
  expire(): void {
    this.#first = this.records.length;
  }

  keys(): string[] {
    return this.records.map(({ key, value }) => (value === undefined ? `-${key}` : key));
  }
}

const { id: ID } = LONG_RUNNING_JOB;

const JOB_RECORD = { key: jobKey(ID), value: encodeJob(LONG_RUNNING_JOB) };

const JOB_DELETED = { key: jobKey(ID), value: undefined };

const PROGRESS_DELETED = { key: progressKey(ID), value: undefined };

function progressRecord(isOver = false): KeyedWrite {
  const job = startedProgress();
  if (isOver) job.finish('cancelled', 1);
  return { key: progressKey(ID), value: job.encode() };
}

let logs: { workLog: ExpiringLog; jobLog: ExpiringLog };

let table: WorkTable;

let follower: WorkFollower;

/** Each state in which a reader of the table could find the job. */
let states: Set<string>;

let running: Promise<void>;

beforeEach(() => {
  logs = { workLog: new ExpiringLog(), jobLog: new ExpiringLog() };
  table = new WorkTable('n1');
  follower = new WorkFollower(logs, new NodeLog('n1', 'silent'), table);
  states = new Set();
  table.changes$.subscribe(() => {
    const job = table.jobs.get(ID);
    if (job) states.add(job.state);
  });
});

afterEach(async () => {
  Object.assign(logs.workLog, { isBlocked: false });
  Object.assign(logs.jobLog, { isBlocked: false });
  follower.stop();
  await running;
});

function follow(): void {
  running = follower.run();
}

test('a job that is deleted while a node loads the logs is never taken for a new one', async () => {
  // The job is over and deleted, its progress after it, while a node starts. With the job from before
  // and what is left of its progress from after, the node would know it as one that never began,
  // and would start its tasks once more if the role fell to it.
  await logs.jobLog.append([JOB_RECORD]);
  await logs.workLog.append([progressRecord(true)]);
  logs.workLog.isBlocked = true;
  follow();
  await pause(50);
  await logs.jobLog.append([JOB_DELETED]);
  await logs.workLog.append([PROGRESS_DELETED]);
  logs.workLog.isBlocked = false;
  await waitUntil(() => follower.isLoaded);
  assert.deepEqual([...states], []);
});

test('a new scheduling node waits for jobs that the one before has begun', async () => {
  // The scheduling node has read a job, and stored where its task runs. The node that follows it has
  // read this and not the job, as the callers' log answers later. A worker lists the task; as that of
  // a job that nobody knows it would be stopped.
  follow();
  await waitUntil(() => follower.isLoaded);
  logs.jobLog.isBlocked = true;
  await pause(1_100);
  await logs.jobLog.append([JOB_RECORD]);
  await logs.workLog.append([progressRecord()]);
  await waitUntil(() => table.hasEarlyProgress);
  let isWhole = false;
  const whole = follower.whenStartedJobsLoaded(new AbortController().signal).then(() => {
    isWhole = true;
  });
  await pause(200);
  assert.equal(isWhole, false);
  logs.jobLog.isBlocked = false;
  await whole;
  assert.equal(table.jobs.get(ID)?.state, 'running');
  assert.deepEqual([...states], ['running']);
});

test('progress of a deleted job does not hold up a new scheduling node', async () => {
  // A node starts between the deletions of a job and of its progress, and gets the role. There is no
  // job to wait for; it must see that from the callers' log, or nobody would schedule.
  await logs.workLog.append([progressRecord(true)]);
  follow();
  await waitUntil(() => follower.isLoaded);
  follower.setLeading(true);
  const sinceMs = steadyMs();
  await follower.whenStartedJobsLoaded(new AbortController().signal);
  assert.ok(steadyMs() - sinceMs < 1_000);
});

/** Cuts a follower off from one log until records of it have expired. */
async function loadAnew(expired: ExpiringLog): Promise<void> {
  await logs.jobLog.append([JOB_RECORD]);
  await logs.workLog.append([progressRecord()]);
  follow();
  await waitUntil(() => follower.isLoaded);
  expired.isBlocked = true;
  await expired.append([
    { key: 'x', value: '1' },
    { key: 'x', value: '2' },
  ]);
  expired.expire();
  // When the view was complete, each time that a load found the job missing.
  const missingMs: number[] = [];
  let loadCount = 0;
  logs.jobLog.newest = async (): Promise<NewestPage> => {
    await pause(50);
    if (!table.jobs.has(ID)) missingMs.push(follower.completeAsOfMs);
    loadCount += 1;
    return MemoryLog.prototype.newest.call(logs.jobLog);
  };
  expired.isBlocked = false;
  await waitUntil(() => loadCount > 0 && follower.isLoaded && table.jobs.has(ID));
  assert.deepEqual([...states], ['running']);
  assert.ok(missingMs.every((freshMs) => freshMs === -Infinity));
}

test('jobs keep their progress when records of the scheduling node have expired', async () => {
  // A node was cut off from that log alone, and loads it anew. Jobs that lost their progress with it
  // would run again.
  await loadAnew(logs.workLog);
});

test('jobs keep their progress when records of callers have expired', async () => {
  // The same with the other log: the progress of its jobs is not told again. A job that is not told
  // yet must not be denied to a caller who knows better.
  await loadAnew(logs.jobLog);
});

test('the progress of a job to forget is deleted after the job itself', async (t) => {
  // The callers' log takes nothing for a while, as the store is slow. Progress that is deleted before
  // its job leaves a job that seems new to whoever loads the logs.
  await logs.jobLog.append([JOB_RECORD]);
  await logs.workLog.append([progressRecord(true)]);
  follow();
  await waitUntil(() => follower.isLoaded);
  const append = t.mock.method(logs.jobLog, 'append', async () => ({
    outcome: 'refused',
    reason: 'busy',
  }));
  const housekeeping = new Housekeeping(table, logs.jobLog, 0);
  const forget = async (): Promise<readonly KeyedWrite[]> => {
    const writes = housekeeping.progressDeletions();
    await logs.workLog.append(writes);
    return writes;
  };
  await pause(FORGET_MS);
  assert.deepEqual(await forget(), []);
  assert.equal(append.mock.callCount(), 1);
  append.mock.restore();
  await pause(FORGET_MS);
  assert.deepEqual(await forget(), []);
  await waitUntil(() => !table.jobs.has(ID));
  await pause(FORGET_MS);
  assert.deepEqual(await forget(), [PROGRESS_DELETED]);
  await waitUntil(() => [...table.orphanedProgress].length === 0);
  assert.deepEqual(logs.jobLog.keys(), [JOB_RECORD.key, `-c/${ID}`, `-${JOB_RECORD.key}`]);
});
