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

/** A log in memory that can become unreadable. */
class UnreadableLog extends MemoryLog {
  /** Reads find that records have expired. */
  isExpired = false;

  override async read(from: number, waitMs: number): Promise<ReadResult> {
    const result = await super.read(from, waitMs);
    if (this.isExpired) throw new RecordsExpiredError('expired');
    return result;
  }

  /** How many records of its own the scheduling node has written after its claim. */
  get termRecords(): number {
    const numbers = this.records.map(({ key, value }) => {
      const decoded = key === leaderKey() ? decodeLeader(value ?? '') : undefined;
      return decoded && 'value' in decoded ? decoded.value.number : 0;
    });
    return Math.max(0, ...numbers);
  }
}

/** A node that has read both logs, and then knows of a begun job that it has not read. */
class TakingOver {
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

  async follow(): Promise<void> {
    this.#running.push(this.#work.run());
    while (!this.#work.isLoaded) await pause(5);
    this.jobLog.isBlocked = true;
    const progress = { key: progressKey(LONG_RUNNING_JOB.id), value: startedProgress().encode() };
    await this.workLog.append([progress]);
    while (!this.#table.hasEarlyProgress) await pause(5);
  }

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

test('a new scheduling node gives signs of life though jobs of callers cannot be read', async () => {
  // A node takes over while one partition of the store is away, the callers', and knows of a job that
  // was begun and that it has not read. If it waits for that with its whole term, it writes nothing
  // and renews no lease: it is taken for dead after 1.1 s, each node after it stands still in the
  // same way, and after 7.6 s all that runs has ended, though it could be kept.
  const node = new TakingOver();
  await node.follow();
  await node.lead();
  const written = node.workLog.termRecords;
  await node.stop();
  assert.ok(written > 1, `${written} records`);
});

test('a new scheduling node waits for the rest of what the one before wrote', async () => {
  // Records have expired, and the log is loaded anew when the node's claim is stored: it reads the
  // claim in the first page, and the progress of jobs in the next. Jobs taken on with what was known
  // before would start tasks that run already.
  const node = new TakingOver();
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

test('a job that is read while the other log is loaded anew is not taken for a new one', () => {
  // A node knows that a job was begun, and has not read the job. It loads what scheduling nodes wrote
  // anew, and reads the job before the page with its progress. As a new job it would be started once
  // more if this node scheduled.
  const table = new WorkTable('n1');
  const { id } = LONG_RUNNING_JOB;
  table.apply({ key: progressKey(id), value: startedProgress().encode() });
  table.reset();
  table.apply({ key: jobKey(id), value: encodeJob(LONG_RUNNING_JOB) });
  assert.equal(table.jobs.get(id)?.state, 'running');
});
