import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec } from '@redwingcrank/jobs';
import { JobProgress, PLAIN_STEP } from '@redwingcrank/jobs';
import type { AppendOptions, AppendResult, KeyedWrite } from '../keyed-log.js';
import { NodeLog } from '../node-log.js';
import { encodeJob } from '../internal/job-record.js';
import { LeaderWriter } from '../internal/leader-writer.js';
import { jobKey, leaderKey, progressKey } from '../internal/work-records.js';
import { WorkTable } from '../internal/work-table.js';
import { CONFIG } from './config-fixtures.js';
import { WORKER_ENTRY } from './fixtures.js';
import { HealthyWorkers } from './healthy-workers.js';
import { platformPort } from './port-fixtures.js';
import { RunningTerm } from './running-term.js';
import { StaticLog } from './static-log.js';
import { pause, waitUntil } from './wait.js';

const LOG = new NodeLog('n1', 'silent');

const CLAIM = { epoch: 1, sequence: 7, sentMs: -Infinity };

const JOBS = 8;

/** A log that rejects every append with a record that it cannot store. */
class RejectingLog extends StaticLog {
  /** The sequence numbers of the stored appends, in order. */
  readonly sequences: number[] = [];

  rejectedCount = 0;

  readonly #isRejected: (rec: KeyedWrite) => boolean;

  constructor(isRejected: (rec: KeyedWrite) => boolean) {
    super();
    this.#isRejected = isRejected;
  }

  override async append(
    records: readonly KeyedWrite[],
    { stamp }: AppendOptions = {},
  ): Promise<AppendResult> {
    if (records.some(this.#isRejected)) {
      this.rejectedCount += 1;
      return { outcome: 'rejected', reason: 'status 413' };
    }
    this.sequences.push(stamp!.sequence);
    return super.append(records);
  }
}

function jobSpec(index: number): JobSpec {
  const id = index.toString(16).padStart(16, '0');
  return {
    id,
    queue: 'q',
    payload: 'p',
    steps: [{ ...PLAIN_STEP, cpuMilli: 100, memMb: 1 }],
    acceptedMs: 0,
  };
}

test('a record that the store rejects is replaced, and all others of its append are stored in order', async () => {
  // Guards against a leader that repeats the whole append as in an outage: it stores nothing more.
  const log = new RejectingLog(({ key, value }) => key === 's/3' && value !== 'small');
  const writer = new LeaderWriter(log, LOG, CLAIM, ({ key }) => ({ key, value: 'small' }));
  const timeout = setTimeout(() => writer.stop(), 1_000);
  const records = [0, 1, 2, 3, 4, 5].map((i) => ({ key: `s/${i}`, value: 'x' }));
  assert.ok(await writer.write([...records, { key: leaderKey(), value: 'x' }]));
  clearTimeout(timeout);
  const keys = [...records.map(({ key }) => key), leaderKey()];
  assert.deepEqual(
    log.writes.map(({ key }) => key),
    keys,
  );
  assert.equal(log.writes[3]!.value, 'small');
  assert.deepEqual(
    log.sequences,
    log.sequences.map((_, i) => CLAIM.sequence + 1 + i),
  );
});

test('a rejected record without a replacement is left out', async () => {
  const log = new RejectingLog(({ key }) => key === 'learned');
  const writer = new LeaderWriter(log, LOG, CLAIM);
  const timeout = setTimeout(() => writer.stop(), 1_000);
  assert.ok(await writer.write([{ key: 'learned', value: 'x' }]));
  clearTimeout(timeout);
  assert.deepEqual(log.writes, []);
  assert.equal(log.rejectedCount, 3);
});

test('a leader whose own record is rejected does not count it as stored', async () => {
  // Guards against leases that rest on a record that no later leader can read.
  const log = new RejectingLog(({ key }) => key === leaderKey());
  const writer = new LeaderWriter(log, LOG, CLAIM);
  const stored = writer.write([{ key: leaderKey(), value: 'x' }]);
  await pause(250);
  assert.equal(writer.confirmedMs, CLAIM.sentMs);
  writer.stop();
  assert.equal(await stored, false);
  assert.ok(log.rejectedCount > 1);
});

test('a job whose progress the store rejects is shown as failed, and the others run', async () => {
  // Guards against one record that keeps the tasks of all jobs from being started.
  const table = new WorkTable('n1');
  const specs = Array.from({ length: JOBS }, (_, i) => jobSpec(i));
  for (const spec of specs) table.apply({ key: jobKey(spec.id), value: encodeJob(spec) });
  const [bad, ...others] = specs as [JobSpec, ...JobSpec[]];
  const isBinding = ({ key, value }: KeyedWrite): boolean =>
    key === progressKey(bad.id) && JobProgress.decode(bad, value!).hasBoundTasks();
  const log = new RejectingLog(isBinding);
  const workers = new HealthyWorkers();
  const started: string[] = [];
  workers.order = async (_worker, { kind, task }) => {
    if (kind === 'start') started.push(task.jobId);
    return { outcome: 'done', reason: '' };
  };
  const port = platformPort({
    workLog: log,
    workerLog: new StaticLog([{ key: WORKER_ENTRY.id, value: 'x' }]),
    operatorLog: new StaticLog([{ key: 'config', value: 'x' }]),
    workers,
    decodeConfig: () => ({ value: CONFIG }),
  });
  const term = new RunningTerm(port, table);
  await waitUntil(() => started.length >= others.length);
  await term.stop();
  assert.deepEqual(started.sort(), others.map(({ id }) => id).sort());
  const newest = log.writes.findLast(({ key }) => key === progressKey(bad.id));
  assert.equal(JobProgress.decode(bad, newest!.value!).state, 'failed');
});
