import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import type { Order, WorkerEntry } from '@redwingcrank/jobs';
import { PLAIN_STEP } from '@redwingcrank/jobs';
import type { OrderResult, WorkerAddress } from '../task-workers.js';
import { encodeJob } from '../internal/job-record.js';
import { steadyMs } from '../internal/delay.js';
import { jobKey } from '../internal/work-records.js';
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

/** So long after a worker has said that it leaves a task may still begin there, in milliseconds. */
const DRAIN_MS = 2_000;

/** So long after a job's cancel was confirmed one of its tasks may still begin, in milliseconds. */
const CANCEL_MS = 3_000;

/** A start that was sent. */
interface SentStart {
  readonly worker: string;
  /** Until when it may take effect, on the worker's clock: here the steady clock. */
  readonly deadlineMs: number;
}

/** Workers that note which starts reach them. */
class NotingWorkers extends HealthyWorkers {
  readonly starts: SentStart[] = [];

  override async order(
    { id }: WorkerAddress,
    { kind }: Order,
    _token = 0,
    deadlineMs = 0,
  ): Promise<OrderResult> {
    if (kind === 'start') this.starts.push({ worker: id, deadlineMs });
    return { outcome: 'done', reason: '' };
  }
}

/** A view of callers' jobs that a test can let grow old. */
class JobsView {
  #heldMs: number | undefined;

  get jobsCompleteAsOfMs(): number {
    return this.#heldMs ?? steadyMs();
  }

  hold(): void {
    this.#heldMs = steadyMs();
  }

  release(): void {
    this.#heldMs = undefined;
  }
}

/** How far apart jobs are handed in, in milliseconds. */
const JOB_GAP_MS = 100;

let workerLog: MemoryLog;

let workers: NotingWorkers;

let jobs: JobsView;

let term: RunningTerm;

let callers: NodeJS.Timeout;

function list(entry: Partial<WorkerEntry>): void {
  const value = JSON.stringify({ ...WORKER_ENTRY, ...entry });
  workerLog.records.push({ key: entry.id!, value });
}

/** The latest time at which one of the starts may take effect. */
function latestMs(worker: string): number {
  const starts = workers.starts.filter((start) => start.worker === worker);
  return Math.max(...starts.map(({ deadlineMs }) => deadlineMs));
}

beforeEach(async () => {
  workerLog = new MemoryLog();
  workers = new NotingWorkers();
  jobs = new JobsView();
  const table = new WorkTable('n1');
  const port = platformPort({
    workerLog,
    operatorLog: new StaticLog([{ key: 'config', value: 'x' }]),
    workers,
    decodeWorker: ({ value }) => ({ value: JSON.parse(value!) as WorkerEntry }),
    decodeConfig: () => ({ value: CONFIG }),
  });
  list({ id: 'w1', capacity: { cpuMilli: 1_000_000, memMb: 1_000_000, gpus: 0 } });
  term = new RunningTerm(port, table, jobs);
  let count = 0;
  callers = setInterval(() => {
    count += 1;
    const id = `${count}`.padStart(16, '0');
    const job = { ...LONG_RUNNING_JOB, id, steps: [{ ...PLAIN_STEP, cpuMilli: 100 }] };
    table.apply({ key: jobKey(id), value: encodeJob(job) });
  }, JOB_GAP_MS);
  await waitUntil(() => workers.starts.length > 2);
});

afterEach(async () => {
  clearInterval(callers);
  workerLog.isBlocked = false;
  await term.stop();
});

test('no task begins on a worker long after it has said that it leaves, though nobody has read that', async () => {
  // The scheduling node stores what it decides, and its reads of the workers' entries are not answered.
  // A worker says that it leaves. Callers hand jobs in all the while; their tasks began on that worker
  // for as long as the reads stayed without an answer, and were lost with it: the node went by a list
  // whose age it did not ask for. Proof: the latest start could take effect 2.4 s after the bound.
  workerLog.isBlocked = true;
  const saidMs = steadyMs();
  list({ id: 'w1', draining: true, remainingMs: 5_000 });
  list({ id: 'w2' });
  await pause(DRAIN_MS + 1_000);
  const lateMs = latestMs('w1') - (saidMs + DRAIN_MS);
  assert.ok(lateMs < 0, `a start may take effect ${lateMs} ms too late`);
  workerLog.isBlocked = false;
  await waitUntil(() => workers.starts.some(({ worker }) => worker === 'w2'));
});

test('no task begins long after its job may have been cancelled', async () => {
  // The same with the callers' log: a cancel is confirmed to its caller by another node, and the one
  // that schedules cannot read it. The job's next tasks began all the same, seconds later.
  jobs.hold();
  const heldMs = steadyMs();
  await pause(CANCEL_MS + 1_000);
  const lateMs = latestMs('w1') - (heldMs + CANCEL_MS);
  assert.ok(lateMs < 0, `a start may take effect ${lateMs} ms too late`);
  const before = workers.starts.length;
  jobs.release();
  await waitUntil(() => workers.starts.length > before);
});
