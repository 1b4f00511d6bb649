import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import type { JobSpec, Order, WorkerEntry } from '@redwingcrank/jobs';
import { PLAIN_STEP } from '@redwingcrank/jobs';
import type {
  AppendResult,
  KeyedRecord,
  KeyedWrite,
  NewestPage,
  ReadResult,
} from '../keyed-log.js';
import { KeyedLog } from '../keyed-log.js';
import { NodeLog } from '../node-log.js';
import type { PlatformPort } from '../platform-port.js';
import type { OrderResult, RenewRequest, RenewResult } from '../task-workers.js';
import { TaskWorkers } from '../task-workers.js';
import { ConfigWatch } from '../internal/config-watch.js';
import { LeaderTerm } from '../internal/leader-term.js';
import { delay, steadyMs } from '../internal/delay.js';
import { encodeJob } from '../internal/job-record.js';
import {
  cancelKey,
  encodeLeader,
  jobKey,
  leaderKey,
  progressKey,
} from '../internal/work-records.js';
import { WorkTable } from '../internal/work-table.js';
import { WORKER_ENTRY, nodeSettings } from './fixtures.js';

const pause = (ms: number): Promise<void> => delay(ms, new AbortController().signal);

/** How long a test waits at most for what must happen, in milliseconds. */
const UNTIL_MS = 3_000;

async function until(holds: () => boolean): Promise<void> {
  for (const endMs = steadyMs() + UNTIL_MS; !holds(); await pause(5)) {
    assert.ok(steadyMs() < endMs, 'waited in vain');
  }
}

/** A log whose appends of some records wait until they are let through. */
class HeldLog extends KeyedLog {
  readonly records: KeyedRecord[] = [];

  readonly #isHeld: (write: KeyedWrite) => boolean;

  #let: () => void = () => {};

  readonly #letThrough = new Promise<void>((resolve) => {
    this.#let = resolve;
  });

  heldCount = 0;

  constructor(isHeld: (write: KeyedWrite) => boolean = () => false) {
    super();
    this.#isHeld = isHeld;
  }

  letThrough(): void {
    this.#let();
  }

  override async append(writes: readonly KeyedWrite[]): Promise<AppendResult> {
    if (writes.some((write) => this.#isHeld(write))) {
      this.heldCount += 1;
      await this.#letThrough;
    }
    return { outcome: 'appended', reason: '' };
  }

  override async read(from: number, waitMs: number): Promise<ReadResult> {
    const endMs = steadyMs() + waitMs;
    while (this.records.length <= from && steadyMs() < endMs) await pause(5);
    const end = this.records.length;
    return { records: this.records.slice(from), next: end, end, asOfMs: steadyMs() };
  }

  override async newest(): Promise<NewestPage> {
    return { records: [...this.records], hasMore: false, end: this.records.length };
  }
}

/** Workers that tell which starts have reached them. */
class StartedWorkers extends TaskWorkers {
  readonly started: string[] = [];

  override async renew(_worker: unknown, { waitMs }: RenewRequest): Promise<RenewResult> {
    await pause(waitMs);
    return { outcome: 'done', report: { clockMs: steadyMs(), running: [], ended: [] } };
  }

  override async order(_worker: unknown, { kind, worker }: Order): Promise<OrderResult> {
    if (kind === 'start') this.started.push(worker);
    return { outcome: 'done', reason: '' };
  }

  override forget(): void {}
}

const QUEUE = {
  name: 'q',
  pool: WORKER_ENTRY.pool,
  priority: 0,
  maxAttempts: 3,
  stretch: 1,
  targetLatencyMs: 0,
  host: 'h',
  pathPrefix: '/',
  timeoutMs: 1_000,
};

const CONFIG = { version: 1, queues: [QUEUE], pools: new Set([QUEUE.pool]), maxBodyBytes: 1_000 };

const RECORD = {
  epoch: 2,
  node: 'n1',
  nonce: 'a',
  resigned: false,
  leasesMs: 4_000,
  formerMs: 0,
  silent: {},
  number: 0,
};

const ID = '00000000000000aa';

const JOB: JobSpec = {
  id: ID,
  queue: QUEUE.name,
  payload: 'p',
  steps: [{ ...PLAIN_STEP, cpuMilli: 1_000 }],
  acceptedMs: 0,
};

let workLog: HeldLog;

let workerLog: HeldLog;

let workers: StartedWorkers;

let table: WorkTable;

let stop: () => Promise<void>;

function list(entry: Partial<WorkerEntry>): void {
  const value = JSON.stringify({ ...WORKER_ENTRY, ...entry });
  workerLog.records.push({ key: entry.id!, value });
}

/** A term in which the binding of the only task has been sent to the store, without an answer yet. */
beforeEach(async () => {
  workLog = new HeldLog(({ key }) => key === progressKey(ID));
  workerLog = new HeldLog();
  workers = new StartedWorkers();
  table = new WorkTable('n1');
  const operatorLog = new HeldLog();
  operatorLog.records.push({ key: 'config', value: 'x' });
  const port: PlatformPort = {
    workLog,
    jobLog: new HeldLog(),
    workerLog,
    operatorLog,
    workers,
    workerIdOf: ({ key }) => key,
    decodeWorker: ({ value }) => ({ value: JSON.parse(value!) as WorkerEntry }),
    decodeConfig: () => ({ value: CONFIG }),
  };
  list({ id: 'w1' });
  table.apply({ key: leaderKey(), value: encodeLeader(RECORD) });
  table.apply({ key: jobKey(ID), value: encodeJob(JOB) });
  const log = new NodeLog('n1', 'silent');
  const config = new ConfigWatch(port, log);
  config.follower.run().catch(assert.fail);
  const claim = { epoch: 2, sequence: 7, sentMs: steadyMs() };
  const term = new LeaderTerm(RECORD, claim, port, nodeSettings('n1'), log, table, config);
  const running = term.run();
  stop = async () => {
    workLog.letThrough();
    term.stop();
    config.follower.stop();
    await running;
  };
  await until(() => workLog.heldCount > 0);
});

afterEach(() => stop());

test('a task does not start on a worker that said that it leaves while the binding was stored', async () => {
  // The scheduling node has decided where a task is to run, and the store takes its time, or starts
  // before it take the node's. Meanwhile the worker says that it leaves, and the node reads it. The
  // task then starts on a worker that may be gone a second later, seconds after its word was stored.
  list({ id: 'w1', draining: true, remainingMs: 3_000 });
  list({ id: 'w2' });
  await pause(600);
  workLog.letThrough();
  await until(() => workers.started.length > 0);
  await pause(100);
  assert.deepEqual(workers.started, ['w2']);
});

test('a task does not start when its job was cancelled while the binding was stored', async () => {
  // The same with a caller who cancels the job, which is confirmed. The stop that goes out at once may
  // be lost or overtaken, and the caller sees a task start seconds after that.
  table.apply({ key: cancelKey(ID), value: '1' });
  await pause(50);
  workLog.letThrough();
  await pause(300);
  assert.deepEqual(workers.started, []);
});
