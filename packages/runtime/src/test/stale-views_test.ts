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

/** Time after a worker announced its departure in which a task may still start there, in milliseconds. */
const DRAIN_MS = 2_000;

/** Time after the cancel of a job was confirmed in which its tasks may still start, in milliseconds. */
const CANCEL_MS = 3_000;

/** A start that was sent. */
interface SentStart {
  readonly worker: string;
  /** Until when it may take effect, on the worker's clock, which here is the steady clock. */
  readonly deadlineMs: number;
}

/** Workers that record the starts that reach them. */
class RecordingWorkers extends HealthyWorkers {
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

/** A view of the callers' jobs that is up to date unless a test holds it. */
class JobsView {
  #heldMs: number | undefined;

  get jobsCompleteAsOfMs(): number {
    return this.#heldMs ?? steadyMs();
  }

  /** From now on the view is as old as if nothing more were read. */
  hold(): void {
    this.#heldMs = steadyMs();
  }

  /** The view is up to date again. */
  release(): void {
    this.#heldMs = undefined;
  }
}

/** Interval at which jobs are submitted, in milliseconds. */
const JOB_GAP_MS = 100;

let workerLog: MemoryLog;

let workers: RecordingWorkers;

let jobs: JobsView;

let term: RunningTerm;

let submissions: NodeJS.Timeout;

/** Stores the entry of a worker. */
function listWorker(entry: Partial<WorkerEntry>): void {
  const value = JSON.stringify({ ...WORKER_ENTRY, ...entry });
  workerLog.records.push({ key: entry.id!, value });
}

/** Returns the latest time at which any start on the worker may take effect. */
function latestStartMs(worker: string): number {
  const starts = workers.starts.filter((start) => start.worker === worker);
  return Math.max(...starts.map(({ deadlineMs }) => deadlineMs));
}

beforeEach(async () => {
  workerLog = new MemoryLog();
  workers = new RecordingWorkers();
  jobs = new JobsView();
  const table = new WorkTable('n1');
  const port = platformPort({
    workerLog,
    operatorLog: new StaticLog([{ key: 'config', value: 'x' }]),
    workers,
    decodeWorker: ({ value }) => ({ value: JSON.parse(value!) as WorkerEntry }),
    decodeConfig: () => ({ value: CONFIG }),
  });
  listWorker({ id: 'w1', capacity: { cpuMilli: 1_000_000, memMb: 1_000_000, gpus: 0 } });
  term = new RunningTerm(port, table, jobs);
  let count = 0;
  submissions = setInterval(() => {
    count += 1;
    const id = `${count}`.padStart(16, '0');
    const job = { ...LONG_RUNNING_JOB, id, steps: [{ ...PLAIN_STEP, cpuMilli: 100 }] };
    table.apply({ key: jobKey(id), value: encodeJob(job) });
  }, JOB_GAP_MS);
  await waitUntil(() => workers.starts.length > 2);
});

afterEach(async () => {
  clearInterval(submissions);
  workerLog.isBlocked = false;
  await term.stop();
});

test('no task starts on a worker long after it announced its departure, even if the leader cannot read that', async () => {
  // A worker announces its departure while the leader's appends succeed and its reads of the workers'
  // entries get no answer. Guards against a leader that ignores the age of its list: it starts tasks of
  // new jobs on that worker until the reads are answered, and they are lost with the worker. Such a
  // start could take effect 2.4 s after the bound.
  workerLog.isBlocked = true;
  const announcedMs = steadyMs();
  listWorker({ id: 'w1', draining: true, remainingMs: 5_000 });
  listWorker({ id: 'w2' });
  await pause(DRAIN_MS + 1_000);
  const lateMs = latestStartMs('w1') - (announcedMs + DRAIN_MS);
  assert.ok(lateMs < 0, `a start may take effect ${lateMs} ms too late`);
  workerLog.isBlocked = false;
  await waitUntil(() => workers.starts.some(({ worker }) => worker === 'w2'));
});

test('no task starts long after its job may have been cancelled', async () => {
  // Guards against the same failure with the callers' log: another node confirms a cancel to its caller,
  // the leader cannot read it, and starts the next tasks of the job seconds later.
  jobs.hold();
  const heldMs = steadyMs();
  await pause(CANCEL_MS + 1_000);
  const lateMs = latestStartMs('w1') - (heldMs + CANCEL_MS);
  assert.ok(lateMs < 0, `a start may take effect ${lateMs} ms too late`);
  const before = workers.starts.length;
  jobs.release();
  await waitUntil(() => workers.starts.length > before);
});
