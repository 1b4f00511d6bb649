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

/** A log whose appends of some records wait until they are let through. */
class HeldLog extends StaticLog {
  readonly #isHeld: (write: KeyedWrite) => boolean;

  #let: () => void = () => {};

  readonly #letThrough = new Promise<void>((resolve) => {
    this.#let = resolve;
  });

  heldCount = 0;

  constructor(isHeld: (write: KeyedWrite) => boolean) {
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
    return super.append(writes);
  }
}

/** Workers that tell which starts have reached them. */
class StartedWorkers extends HealthyWorkers {
  readonly started: string[] = [];

  override async order(_worker: unknown, { kind, worker }: Order): Promise<OrderResult> {
    if (kind === 'start') this.started.push(worker);
    return { outcome: 'done', reason: '' };
  }
}

const { id: ID } = LONG_RUNNING_JOB;

const JOB = { ...LONG_RUNNING_JOB, steps: [{ ...PLAIN_STEP, cpuMilli: 1_000 }] };

let workLog: HeldLog;

let workerLog: MemoryLog;

let workers: StartedWorkers;

let table: WorkTable;

let stop: () => Promise<void>;

function list(entry: Partial<WorkerEntry>): void {
  const value = JSON.stringify({ ...WORKER_ENTRY, ...entry });
  workerLog.records.push({ key: entry.id!, value });
}

/** Where tasks started, once the list was read and the binding was stored. */
async function startedOnceStored(): Promise<readonly string[]> {
  await pause(600);
  workLog.letThrough();
  await waitUntil(() => workers.started.length > 0);
  await pause(100);
  return workers.started;
}

/** A term in which the binding of the only task has been sent to the store, without an answer yet. */
beforeEach(async () => {
  workLog = new HeldLog(({ key }) => key === progressKey(ID));
  workerLog = new MemoryLog();
  workers = new StartedWorkers();
  table = new WorkTable('n1');
  const port = platformPort({
    workLog,
    workerLog,
    operatorLog: new StaticLog([{ key: 'config', value: 'x' }]),
    workers,
    decodeWorker: ({ value }) => ({ value: JSON.parse(value!) as WorkerEntry }),
    decodeConfig: () => ({ value: CONFIG }),
  });
  list({ id: 'w1' });
  table.apply({ key: jobKey(ID), value: encodeJob(JOB) });
  const term = new RunningTerm(port, table);
  stop = async () => {
    workLog.letThrough();
    await term.stop();
  };
  await waitUntil(() => workLog.heldCount > 0);
});

afterEach(() => stop());

test('a task does not start on a worker that said that it leaves while the binding was stored', async () => {
  // The scheduling node has decided where a task is to run, and the store takes its time, or starts
  // before it take the node's. Meanwhile the worker says that it leaves, and the node reads it. The
  // task then starts on a worker that may be gone a second later, seconds after its word was stored.
  list({ id: 'w1', draining: true, remainingMs: 3_000 });
  list({ id: 'w2' });
  assert.deepEqual(await startedOnceStored(), ['w2']);
});

test('a task does not start on a worker whose entry went while the binding was stored', async () => {
  // The same, but the store dropped its history meanwhile, and with it the worker's word: the list says
  // no more than that the worker is not there. It may stay for seconds, and takes what it is sent.
  workerLog.records.push({ key: 'w1', value: undefined });
  list({ id: 'w2' });
  assert.deepEqual(await startedOnceStored(), ['w2']);
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
