import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ReadResult } from '../keyed-log.js';
import { RecordsExpiredError } from '../keyed-log.js';
import { NodeLog } from '../node-log.js';
import { ConfigWatch } from '../internal/config-watch.js';
import { encodeJob } from '../internal/job-record.js';
import { Leadership } from '../internal/leadership.js';
import { LEADER_SILENT_MS } from '../internal/timing.js';
import { decodeLeader, jobKey, leaderKey, progressKey } from '../internal/work-records.js';
import { WorkFollower } from '../internal/work-follower.js';
import { WorkTable } from '../internal/work-table.js';
import { nodeSettings } from './fixtures.js';
import { LONG_RUNNING_JOB, startedProgress } from './job-fixtures.js';
import { MemoryLog } from './memory-log.js';
import { platformPort } from './port-fixtures.js';
import { pause } from './wait.js';

const LOG = new NodeLog('n1', 'silent');

/** A log in memory that can become unreadable because records have expired. */
class UnreadableLog extends MemoryLog {
  /** Whether reads fail because records have expired. */
  isExpired = false;

  override async read(from: number, waitMs: number): Promise<ReadResult> {
    const result = await super.read(from, waitMs);
    if (this.isExpired) throw new RecordsExpiredError('expired');
    return result;
  }

  /** Number of leader records that were written after the claim. */
  get termRecords(): number {
    const numbers = this.records.map(({ key, value }) => {
      const decoded = key === leaderKey() ? decodeLeader(value ?? '') : undefined;
      return decoded && 'value' in decoded ? decoded.value.number : 0;
    });
    return Math.max(0, ...numbers);
  }
}

/** A node that has read both logs, and then reads the progress of a started job without the job. */
class TakeoverNode {
  readonly workLog = new UnreadableLog();

  readonly jobLog = new MemoryLog();

  readonly leadership: Leadership;

  readonly #work: WorkFollower;

  readonly #table = new WorkTable('n1');

  #running: Promise<void>[] = [];

  constructor() {
    const { workLog, jobLog } = this;
    const empty = new MemoryLog();
    const port = platformPort({ workLog, jobLog, workerLog: empty, operatorLog: empty });
    this.#work = new WorkFollower(port, LOG, this.#table);
    const config = new ConfigWatch(port, LOG);
    const settings = nodeSettings('n1');
    this.leadership = new Leadership(port, settings, LOG, this.#table, this.#work, config);
  }

  /** Loads both logs, then blocks the callers' log and reads progress of a job that is not read yet. */
  async follow(): Promise<void> {
    this.#running.push(this.#work.run());
    while (!this.#work.isLoaded) await pause(5);
    this.jobLog.isBlocked = true;
    const progress = { key: progressKey(LONG_RUNNING_JOB.id), value: startedProgress().encode() };
    await this.workLog.append([progress]);
    while (!this.#table.hasEarlyProgress) await pause(5);
  }

  /** Waits until the node is leader, and then for the time after which a silent leader is replaced. */
  async lead(): Promise<void> {
    this.#running.push(this.leadership.run());
    while (!this.leadership.isLeading) await pause(5);
    await pause(LEADER_SILENT_MS);
  }

  async stop(): Promise<void> {
    this.workLog.isBlocked = false;
    this.jobLog.isBlocked = false;
    await this.leadership.stop();
    this.#work.stop();
    await Promise.all(this.#running);
  }
}

test('a new leader writes its records although the jobs of callers cannot be read', async () => {
  // A node becomes leader while the callers' log is unavailable, and has read the progress of a job but
  // not the job. Guards against a leader that waits for the job before it does anything else: it writes
  // nothing and renews no lease, counts as dead after 1.1 s, each of its successors stalls in the same
  // way, and after 7.6 s all running tasks have ended.
  const node = new TakeoverNode();
  await node.follow();
  await node.lead();
  const written = node.workLog.termRecords;
  await node.stop();
  assert.ok(written > 1, `${written} records`);
});

test('a new leader waits until all records of previous leaders are read', async () => {
  // Records have expired, so the work log is reloaded just when the claim is stored: the first page
  // contains the claim, the next one the progress of jobs. Guards against loading jobs with outdated
  // progress into the scheduler, which would start tasks that are already running.
  const node = new TakeoverNode();
  await node.follow();
  const { workLog } = node;
  workLog.append = async (records) => {
    workLog.isExpired = true;
    return MemoryLog.prototype.append.call(workLog, records);
  };
  workLog.newest = async (after) => {
    while (workLog.isBlocked) await pause(5);
    workLog.isExpired = false;
    workLog.isBlocked = after === '';
    return { records: workLog.records.slice(-1), hasMore: after === '', end: 2 };
  };
  await node.lead();
  const written = workLog.termRecords;
  await node.stop();
  assert.equal(written, 0);
});

test('a job that is read while the work log is reloaded does not count as new', () => {
  // A node has read the progress of a job but not the job. It reloads the work log, and reads the job
  // before the page with its progress. Guards against taking the job for a new one, which would be
  // started a second time if this node were leader.
  const table = new WorkTable('n1');
  const { id } = LONG_RUNNING_JOB;
  table.apply({ key: progressKey(id), value: startedProgress().encode() });
  table.reset();
  table.apply({ key: jobKey(id), value: encodeJob(LONG_RUNNING_JOB) });
  assert.equal(table.jobs.get(id)?.state, 'running');
});
