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

/** Housekeeping looks for jobs to delete within this time, in milliseconds. */
const HOUSEKEEPING_MS = 5_050;

/** A log in memory whose records can expire. */
class ExpiringLog extends MemoryLog {
  /** Records before this offset are returned only as the newest record of their key. */
  #first = 0;

  override async read(from: number, waitMs: number): Promise<ReadResult> {
    const result = await super.read(from, waitMs);
    if (from < this.#first) throw new RecordsExpiredError('expired');
    return result;
  }

  /** Expires all present records except the newest of each key. */
  expire(): void {
    this.#first = this.records.length;
  }

  /** Returns the keys of all records in order, with a `-` before those of deletions. */
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

/** All states in which a reader of the table could see the job. */
let seenStates: Set<string>;

let running: Promise<void>;

beforeEach(() => {
  logs = { workLog: new ExpiringLog(), jobLog: new ExpiringLog() };
  table = new WorkTable('n1');
  follower = new WorkFollower(logs, new NodeLog('n1', 'silent'), table);
  seenStates = new Set();
  table.changes$.subscribe(() => {
    const job = table.jobs.get(ID);
    if (job) seenStates.add(job.state);
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

test('a job that is deleted while a node loads the logs never counts as new', async () => {
  // An ended job is deleted while a node loads the logs, and then its progress. Guards against loading
  // the job from before the deletion but no progress: the job would seem never to have started, and
  // its tasks would be started again if this node became leader.
  await logs.jobLog.append([JOB_RECORD]);
  await logs.workLog.append([progressRecord(true)]);
  logs.workLog.isBlocked = true;
  follow();
  await pause(50);
  await logs.jobLog.append([JOB_DELETED]);
  await logs.workLog.append([PROGRESS_DELETED]);
  logs.workLog.isBlocked = false;
  await waitUntil(() => follower.isLoaded);
  assert.deepEqual([...seenStates], []);
});

test('a new leader waits for jobs that the previous leader started', async () => {
  // The previous leader has read a job, and stored where its task runs. The new leader has read that but
  // not the job, as the callers' log answers later. Guards against a run that is reported by a worker
  // and stopped because its job is unknown.
  follow();
  await waitUntil(() => follower.isLoaded);
  logs.jobLog.isBlocked = true;
  await pause(1_100);
  await logs.jobLog.append([JOB_RECORD]);
  await logs.workLog.append([progressRecord()]);
  await waitUntil(() => table.hasEarlyProgress);
  let isComplete = false;
  const completion = follower.whenStartedJobsLoaded(new AbortController().signal).then(() => {
    isComplete = true;
  });
  await pause(200);
  assert.equal(isComplete, false);
  logs.jobLog.isBlocked = false;
  await completion;
  assert.equal(table.jobs.get(ID)?.state, 'running');
  assert.deepEqual([...seenStates], ['running']);
});

test('progress of a deleted job does not delay a new leader', async () => {
  // A node starts after a job was deleted but before its progress was, and becomes leader. Guards against
  // waiting for the job forever, with no leader that schedules: the callers' log shows that the job
  // does not exist.
  await logs.workLog.append([progressRecord(true)]);
  follow();
  await waitUntil(() => follower.isLoaded);
  follower.setLeading(true);
  const sinceMs = steadyMs();
  await follower.whenStartedJobsLoaded(new AbortController().signal);
  assert.ok(steadyMs() - sinceMs < 1_000);
});

/** Blocks reads of one log until records have expired, and checks how the follower reloads. */
async function reloadAfterExpiry(expired: ExpiringLog): Promise<void> {
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
  // The time at which the view was last complete, for each load during which the table lacked the job.
  const completeTimesMs: number[] = [];
  let loadCount = 0;
  logs.jobLog.newest = async (): Promise<NewestPage> => {
    await pause(50);
    if (!table.jobs.has(ID)) completeTimesMs.push(follower.completeAsOfMs);
    loadCount += 1;
    return MemoryLog.prototype.newest.call(logs.jobLog);
  };
  expired.isBlocked = false;
  await waitUntil(() => loadCount > 0 && follower.isLoaded && table.jobs.has(ID));
  assert.deepEqual([...seenStates], ['running']);
  assert.ok(completeTimesMs.every((asOfMs) => asOfMs === -Infinity));
}

test('jobs keep their progress when records of the work log have expired', async () => {
  // A node was cut off only from the work log, and reloads it. Guards against jobs that lose their
  // progress in the reload: they would run again.
  await reloadAfterExpiry(logs.workLog);
});

test("jobs keep their progress when records of the callers' log have expired", async () => {
  // Guards against the same failure with the callers' log, as progress is not read again then, and
  // against answering a caller that a job does not exist before the reload has read it.
  await reloadAfterExpiry(logs.jobLog);
});

test('housekeeping deletes the progress of a job after the job itself', async (t) => {
  // The callers' log refuses appends for a while. Guards against deleting the progress first: a node
  // that then loads the logs takes the job for a new one.
  await logs.jobLog.append([JOB_RECORD]);
  await logs.workLog.append([progressRecord(true)]);
  follow();
  await waitUntil(() => follower.isLoaded);
  const append = t.mock.method(logs.jobLog, 'append', async () => ({
    outcome: 'refused',
    reason: 'busy',
  }));
  const housekeeping = new Housekeeping(table, logs.jobLog, 0, Infinity);
  const runHousekeeping = async (): Promise<readonly KeyedWrite[]> => {
    const writes = housekeeping.progressDeletions();
    await logs.workLog.append(writes);
    return writes;
  };
  await pause(HOUSEKEEPING_MS);
  assert.deepEqual(await runHousekeeping(), []);
  assert.equal(append.mock.callCount(), 1);
  append.mock.restore();
  await pause(HOUSEKEEPING_MS);
  assert.deepEqual(await runHousekeeping(), []);
  await waitUntil(() => !table.jobs.has(ID));
  await pause(HOUSEKEEPING_MS);
  assert.deepEqual(await runHousekeeping(), [PROGRESS_DELETED]);
  await waitUntil(() => [...table.orphanedProgress].length === 0);
  assert.deepEqual(logs.jobLog.keys(), [JOB_RECORD.key, `-c/${ID}`, `-${JOB_RECORD.key}`]);
});
