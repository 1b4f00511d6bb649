import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import type { Order, WorkerEntry } from '@redwingcrank/jobs';
import { PLAIN_STEP } from '@redwingcrank/jobs';
import type { AppendResult, KeyedWrite } from '../keyed-log.js';
import type { OrderResult } from '../task-workers.js';
import { encodeJob } from '../internal/job-record.js';
import { cancelKey, jobKey, progressKey } from '../internal/work-records.js';
import { WorkTable } from '../internal/work-table.js';
import { CONFIG } from './config-fixtures.js';
import { WORKER_ENTRY } from './fixtures.js';
import { LONG_RUNNING_JOB } from './job-fixtures.js';
import { MemoryLog } from './memory-log.js';
import { platformPort } from './port-fixtures.js';
import { StaticLog } from './static-log.js';
import { RunningTerm } from './running-term.js';
import { HealthyWorkers } from './healthy-workers.js';
import { pause, waitUntil } from './wait.js';

/** A log that blocks the appends of some records until they are released. */
class BlockingLog extends StaticLog {
  readonly #isBlocked: (write: KeyedWrite) => boolean;

  #resolveRelease: () => void = () => {};

  readonly #release = new Promise<void>((resolve) => {
    this.#resolveRelease = resolve;
  });

  blockedCount = 0;

  constructor(isBlocked: (write: KeyedWrite) => boolean) {
    super();
    this.#isBlocked = isBlocked;
  }

  release(): void {
    this.#resolveRelease();
  }

  override async append(writes: readonly KeyedWrite[]): Promise<AppendResult> {
    if (writes.some((write) => this.#isBlocked(write))) {
      this.blockedCount += 1;
      await this.#release;
    }
    return super.append(writes);
  }
}

/** Workers that record which of them received a start. */
class RecordingWorkers extends HealthyWorkers {
  readonly started: string[] = [];

  override async order(_worker: unknown, { kind, worker }: Order): Promise<OrderResult> {
    if (kind === 'start') this.started.push(worker);
    return { outcome: 'done', reason: '' };
  }
}

const { id: ID } = LONG_RUNNING_JOB;

const JOB = { ...LONG_RUNNING_JOB, steps: [{ ...PLAIN_STEP, cpuMilli: 1_000 }] };

let workLog: BlockingLog;

let workerLog: MemoryLog;

let workers: RecordingWorkers;

let table: WorkTable;

let stop: () => Promise<void>;

function listWorker(entry: Partial<WorkerEntry>): void {
  const value = JSON.stringify({ ...WORKER_ENTRY, ...entry });
  workerLog.records.push({ key: entry.id!, value });
}

/** Lets the list of workers be read and the binding be stored; returns where tasks started. */
async function startsAfterStore(): Promise<readonly string[]> {
  await pause(600);
  workLog.release();
  await waitUntil(() => workers.started.length > 0);
  await pause(100);
  return workers.started;
}

/** Begins a term and waits until the binding of the only task is sent; the store does not answer yet. */
beforeEach(async () => {
  workLog = new BlockingLog(({ key }) => key === progressKey(ID));
  workerLog = new MemoryLog();
  workers = new RecordingWorkers();
  table = new WorkTable('n1');
  const port = platformPort({
    workLog,
    workerLog,
    operatorLog: new StaticLog([{ key: 'config', value: 'x' }]),
    workers,
    decodeWorker: ({ value }) => ({ value: JSON.parse(value!) as WorkerEntry }),
    decodeConfig: () => ({ value: CONFIG }),
  });
  listWorker({ id: 'w1' });
  table.apply({ key: jobKey(ID), value: encodeJob(JOB) });
  const term = new RunningTerm(port, table);
  stop = async () => {
    workLog.release();
    await term.stop();
  };
  await waitUntil(() => workLog.blockedCount > 0);
});

afterEach(() => stop());

test('a task does not start on a worker that announced its departure while the binding was stored', async () => {
  // The leader has placed a task, and a slow store or earlier starts delay its start. Meanwhile the
  // leader reads that the worker leaves. Guards against a start that goes out all the same, on a
  // worker that may be gone a second later, seconds after its announcement was stored.
  listWorker({ id: 'w1', draining: true, remainingMs: 3_000 });
  listWorker({ id: 'w2' });
  assert.deepEqual(await startsAfterStore(), ['w2']);
});

test('a task does not start on a worker whose entry disappeared while the binding was stored', async () => {
  // Guards against the same failure where the store dropped its history, and with it the worker's
  // announcement: the list no longer names the worker, which may still accept starts for seconds.
  workerLog.records.push({ key: 'w1', value: undefined });
  listWorker({ id: 'w2' });
  assert.deepEqual(await startsAfterStore(), ['w2']);
});

test('a task does not start when its job was cancelled while the binding was stored', async () => {
  // Guards against a task that starts seconds after its caller received the confirmation of the
  // cancel: the stop that is sent at once may be lost, or the start may arrive after it.
  table.apply({ key: cancelKey(ID), value: '1' });
  await pause(50);
  workLog.release();
  await pause(300);
  assert.deepEqual(workers.started, []);
});
