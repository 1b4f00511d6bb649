import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import type { WorkerEntry } from '@redwingcrank/jobs';
import { JobProgress, PLAIN_STEP, Scheduler } from '@redwingcrank/jobs';
import type { AppendResult, KeyedRecord, NewestPage, ReadResult } from '../keyed-log.js';
import { KeyedLog, RecordsExpiredError } from '../keyed-log.js';
import { NodeLog } from '../node-log.js';
import type { PlatformPort } from '../platform-port.js';
import { ConfigWatch } from '../internal/config-watch.js';
import { FaultLog } from '../internal/fault-log.js';
import { steadyMs } from '../internal/delay.js';
import { WorkerList } from '../internal/worker-list.js';
import { pause } from './wait.js';

const LOG = new NodeLog('n1', 'silent');

const TIMING = {
  leaseMs: 6_000,
  inheritedLeaseMs: 6_000,
  stallTimeoutMs: 2_500,
  stopRetryMs: 1_200,
};

const ENTRY: WorkerEntry = {
  id: '',
  address: '127.0.0.1:1',
  pool: 'pool',
  dataCentre: 'a',
  draining: false,
  remainingMs: 0,
  capacity: { cpuMilli: 1_000, memMb: 1_000, gpus: 0 },
  labels: [],
};

/** A log whose reads are answered by the test one by one. */
class ScriptedLog extends KeyedLog {
  newestRecords: KeyedRecord[] = [];

  #end = 0;

  #answer: ((result: ReadResult | Error) => void) | undefined;

  override async append(): Promise<AppendResult> {
    return { outcome: 'refused', reason: '' };
  }

  override async newest(): Promise<NewestPage> {
    return { records: this.newestRecords, hasMore: false, end: this.#end };
  }

  override read(from: number): Promise<ReadResult> {
    return new Promise((resolve, reject) => {
      this.#answer = (result) => {
        if (result instanceof Error) reject(result);
        else {
          const next = from + result.records.length;
          this.#end = next;
          resolve({ ...result, next, end: next });
        }
      };
    });
  }

  /** Answers the pending read, or else the next one, and waits for the read after it. */
  async respond(result: KeyedRecord[] | Error, asOfMs = 0): Promise<void> {
    while (!this.#answer) await new Promise(setImmediate);
    const answer = this.#answer;
    this.#answer = undefined;
    answer(result instanceof Error ? result : { records: result, next: 0, end: 0, asOfMs });
    while (!this.#answer) await new Promise(setImmediate);
  }
}

let workerLog: ScriptedLog;

let scheduler: Scheduler;

let config: ConfigWatch;

let linked: string[];

let list: WorkerList;

/** Time that a leaving worker stays at least, in milliseconds. */
const REMAINING_MS = 3_000;

/** Decodes the value of an entry: its pool, and how long the worker stays if it leaves. */
function entryOf(id: string, value: string): WorkerEntry {
  const [pool = '', , remaining] = value.split(' ');
  const isLeaving = remaining !== undefined;
  return { ...ENTRY, id, pool, draining: isLeaving, remainingMs: Number(remaining ?? 0) };
}

/** Returns a platform on one log; an entry with an empty value cannot be decoded. */
function portOf(log: KeyedLog): PlatformPort {
  return {
    workLog: log,
    jobLog: log,
    workerLog: log,
    operatorLog: log,
    workers: undefined as never,
    workerIdOf: ({ key }) => key || undefined,
    decodeWorker: ({ key, value }) =>
      value ? { value: entryOf(key, value) } : { fault: { reason: 'missing', field: 'pool' } },
    decodeConfig: ({ value }) => ({
      value: { version: Number(value), queues: [], pools: new Set([`p${value}`]), maxBodyBytes: 0 },
    }),
    decodeEvacuation: () => undefined,
  };
}

const isListed = (id: string): boolean | undefined => scheduler.workers.get(id)?.listed;

/** Delivers a configuration that names only the pool `p` followed by the version. */
function putConfig(version: number): void {
  const rec = { key: 'config', value: `${version}` };
  config.follower.messages$.next({ kind: 'record', rec });
}

beforeEach(() => {
  workerLog = new ScriptedLog();
  const port = portOf(workerLog);
  scheduler = new Scheduler(TIMING, 0, () => {});
  config = new ConfigWatch(port, LOG);
  linked = [];
  const link = (id: string): number => linked.push(id);
  list = new WorkerList(port, LOG, config, scheduler, link, new FaultLog(LOG));
});

afterEach(() => list.stop());

test('an invalid entry removes its worker from the list, and a valid one lists it again', async () => {
  workerLog.newestRecords = [{ key: 'w1', value: 'p1' }];
  list.run();
  await workerLog.respond([]);
  assert.equal(isListed('w1'), true);
  await workerLog.respond([{ key: 'w1', value: '' }]);
  assert.equal(isListed('w1'), false);
  await workerLog.respond([{ key: 'w1', value: 'p1' }]);
  assert.equal(isListed('w1'), true);
  await workerLog.respond([{ key: 'w1', value: undefined }]);
  assert.equal(isListed('w1'), false);
});

test('a worker that only has an invalid entry is not added', async () => {
  workerLog.newestRecords = [
    { key: 'w1', value: '' },
    { key: '', value: undefined, fault: { reason: 'unreadable', field: 'record' } },
  ];
  list.run();
  await workerLog.respond([]);
  assert.deepEqual([scheduler.workers.size, linked], [0, []]);
});

test('a worker that a reloaded list does not name is no longer listed', async () => {
  // Records of the list have expired before they were read; one of them may have been a deletion.
  workerLog.newestRecords = [
    { key: 'w1', value: 'p1' },
    { key: 'w2', value: 'p1' },
  ];
  list.run();
  await workerLog.respond([]);
  workerLog.newestRecords = [{ key: 'w2', value: 'p1' }];
  await workerLog.respond(new RecordsExpiredError('gone'));
  assert.deepEqual([isListed('w1'), isListed('w2')], [false, true]);
});

test('workers are listed if the current configuration names their pool', async () => {
  workerLog.newestRecords = [
    { key: 'w1', value: 'p1' },
    { key: 'w2', value: 'p2' },
  ];
  putConfig(1);
  list.run();
  await workerLog.respond([]);
  assert.deepEqual([isListed('w1'), isListed('w2'), linked], [true, undefined, ['w1']]);
  putConfig(2);
  assert.deepEqual([isListed('w1'), isListed('w2')], [false, true]);
});

test('the remaining time of a leaving worker counts from when its entry may have been written', async () => {
  // A worker announces that it leaves in three seconds, and the list is read a second later. Guards
  // against counting from the read: tasks that save their work are told to stop only when the worker
  // has left, and repeat all of their work.
  workerLog.newestRecords = [{ key: 'w1', value: 'p1' }];
  list.run();
  await workerLog.respond([]);
  const announcedMs = steadyMs();
  await workerLog.respond([], announcedMs);
  await pause(1_000);
  await workerLog.respond([{ key: 'w1', value: `p1 leaves ${REMAINING_MS}` }], steadyMs());
  const { leavesMs } = scheduler.workers.get('w1')!;
  assert.ok(leavesMs <= announcedMs + REMAINING_MS, `${leavesMs - announcedMs} ms`);
});

test('a worker with runs is contacted even if its pool is no longer configured', async () => {
  // A pool is removed while tasks run on its workers, and the leader is replaced. Guards against a new
  // leader that does not contact these workers: the leases expire, and the tasks lose their work.
  const steps = [{ ...PLAIN_STEP, taskCount: 1 }];
  const job = new JobProgress({ id: 'a', queue: 'q', payload: '', steps, acceptedMs: 0 });
  job.openDue(0);
  const [[task]] = job.occurrences.get(0)!.steps as [[object]];
  Object.assign(task, { phase: 'bound', run: 1, worker: 'w1' });
  scheduler.addJob(job);
  workerLog.newestRecords = [{ key: 'w1', value: 'gone' }];
  putConfig(1);
  list.run();
  await workerLog.respond([]);
  assert.deepEqual([linked, isListed('w1')], [['w1'], false]);
  assert.equal(scheduler.workers.get('w1')!.entry.address, ENTRY.address);
});
