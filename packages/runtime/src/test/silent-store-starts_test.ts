import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { EndedRow, Order, WorkerEntry } from '@redwingcrank/jobs';
import { JobProgress, PLAIN_STEP, taskName } from '@redwingcrank/jobs';
import type { AppendResult, KeyedWrite, NewestPage, ReadResult } from '../keyed-log.js';
import type { OrderResult, RenewRequest, RenewResult, WorkerAddress } from '../task-workers.js';
import { encodeJob } from '../internal/job-record.js';
import { steadyMs } from '../internal/delay.js';
import { jobKey, progressKey } from '../internal/work-records.js';
import { WorkTable } from '../internal/work-table.js';
import { CONFIG } from './config-fixtures.js';
import { WORKER_ENTRY } from './fixtures.js';
import { HealthyWorkers } from './healthy-workers.js';
import { platformPort } from './port-fixtures.js';
import { RunningTerm } from './running-term.js';
import { StaticLog } from './static-log.js';
import { VirtualTime } from './virtual-fleet.js';
import { pause } from './wait.js';

const WORKERS = 20;

const JOBS = 40;

const TASKS_PER_JOB = 10;

/** How long a task runs; four of them fill a worker. */
const TASK_MS = 2_000;

/** How long after its last view of the store this leader may start tasks, in milliseconds. */
const DRAIN_MS = 2_000;

const SILENCE_MS = 5_000;

const TASKS_PER_WORKER = 4;

const STEP = { ...PLAIN_STEP, taskCount: TASKS_PER_JOB, cpuMilli: 2_000, estimateMs: TASK_MS };

const jobs = Array.from({ length: JOBS }, (_, i) => {
  const id = i.toString(16).padStart(16, '0');
  return { id, queue: 'q', payload: 'p', steps: [STEP], acceptedMs: 0 };
});

/** The store, which answers no call while it is silent. */
class SilentStore {
  silentSinceMs: number | undefined;

  /** Keys of bindings that the store holds: task, run and worker. */
  readonly bindings = new Set<string>();

  get jobsCompleteAsOfMs(): number {
    return this.silentSinceMs ?? steadyMs();
  }

  async answers(): Promise<void> {
    while (this.silentSinceMs !== undefined) await pause(10);
  }
}

class StoreLog extends StaticLog {
  readonly #store: SilentStore;

  constructor(store: SilentStore, records: NewestPage['records'] = []) {
    super(records);
    this.#store = store;
  }

  override async append(records: readonly KeyedWrite[]): Promise<AppendResult> {
    await this.#store.answers();
    for (const { key, value } of records) this.#keepBindings(key, value);
    return super.append(records);
  }

  override async read(from: number, waitMs: number): Promise<ReadResult> {
    const result = await super.read(from, waitMs);
    await this.#store.answers();
    return result;
  }

  #keepBindings(key: string, value: string | undefined): void {
    const job = jobs.find(({ id }) => key === progressKey(id));
    if (!job || value === undefined) return;
    for (const { number, steps } of JobProgress.decode(job, value).occurrences.values())
      for (const [index, { phase, run, worker }] of steps[0]!.entries()) {
        const ref = { jobId: job.id, occurrence: number, step: 0, index };
        if (phase === 'bound') this.#store.bindings.add(`${taskName(ref)} ${run} ${worker}`);
      }
  }
}

/** Workers whose tasks end by themselves, and that check what they are ordered to start. */
class EndingWorkers extends HealthyWorkers {
  readonly #store: SilentStore;

  readonly #ends = new Map<string, EndedRow[]>();

  readonly startedMs: number[] = [];

  readonly faults: string[] = [];

  constructor(store: SilentStore) {
    super();
    this.#store = store;
  }

  override async renew({ id }: WorkerAddress, req: RenewRequest): Promise<RenewResult> {
    const unacked = (): EndedRow[] =>
      (this.#ends.get(id) ?? []).filter(({ number }) => number > req.ackedEnd);
    for (let leftMs = req.waitMs; leftMs > 0 && unacked().length === 0; leftMs -= 20)
      await pause(20);
    const report = { clockMs: steadyMs(), running: this.running.get(id) ?? [], ended: unacked() };
    return { outcome: 'done', report };
  }

  override async order({ id }: WorkerAddress, { kind, task, run }: Order): Promise<OrderResult> {
    if (kind !== 'start') return { outcome: 'done', reason: '' };
    const name = taskName(task);
    if (!this.#store.bindings.has(`${name} ${run} ${id}`)) this.faults.push(`${name} is not bound`);
    if ([...this.running.values()].flat().some((row) => row.task === name))
      this.faults.push(`${name} runs already`);
    const running = this.running.get(id) ?? [];
    if (running.length === TASKS_PER_WORKER) this.faults.push(`${id} is over its capacity`);
    const row = { task: name, run, checkpoint: '', percent: 1, measure: 0 };
    this.running.set(id, [...running, row]);
    this.startedMs.push(steadyMs());
    this.#endLater(id, name, run).catch(assert.fail);
    return { outcome: 'done', reason: '' };
  }

  async #endLater(id: string, task: string, run: number): Promise<void> {
    await pause(TASK_MS);
    this.running.set(
      id,
      this.running.get(id)!.filter((row) => row.task !== task),
    );
    const ends = this.#ends.get(id) ?? [];
    ends.push({ number: ends.length + 1, task, run, how: 'done', checkpoint: '' });
    this.#ends.set(id, ends);
  }

  startsBetween(fromMs: number, untilMs: number): number {
    return this.startedMs.filter((ms) => ms >= fromMs && ms < untilMs).length;
  }
}

// Guards against a leader that starts nothing for as long as the store does not answer, although
// workers end tasks: on one day an append waited 6.2 s while 4,431 tasks waited.
test('tasks start on a full cluster while the store does not answer', async (t) => {
  const time = new VirtualTime(t);
  const store = new SilentStore();
  const workers = new EndingWorkers(store);
  const entries = Array.from({ length: WORKERS }, (_, i) => ({
    ...WORKER_ENTRY,
    id: `w${i}`,
    dataCentre: i % 2 === 0 ? 'a' : 'b',
  }));
  const port = platformPort({
    workLog: new StoreLog(store),
    workerLog: new StoreLog(
      store,
      entries.map((entry) => ({ key: entry.id, value: JSON.stringify(entry) })),
    ),
    operatorLog: new StoreLog(store, [{ key: 'config', value: 'x' }]),
    workers,
    decodeWorker: ({ value }) => ({ value: JSON.parse(value!) as WorkerEntry }),
    decodeConfig: () => ({ value: CONFIG }),
  });
  const table = new WorkTable('n1');
  for (const job of jobs) table.apply({ key: jobKey(job.id), value: encodeJob(job) });
  const term = new RunningTerm(port, table, store);
  await time.advance(5_000);
  const silentMs = time.nowMs;
  store.silentSinceMs = silentMs;
  await time.advance(SILENCE_MS);
  store.silentSinceMs = undefined;
  const backMs = time.nowMs;
  await time.advance(DRAIN_MS);
  const before = workers.startsBetween(silentMs - 1_000, silentMs);
  const during = workers.startsBetween(silentMs, silentMs + 1_500);
  const late = workers.startsBetween(silentMs + DRAIN_MS, backMs);
  const after = workers.startsBetween(backMs, time.nowMs);
  t.diagnostic(`starts: ${before} in the second before, ${during} in 1.5 s, ${late} late`);
  const stopped = term.stop();
  await time.advance(DRAIN_MS);
  await stopped;
  assert.deepEqual(workers.faults, []);
  assert.ok(before >= 30, `${before} starts in the second before`);
  assert.ok(during >= before, `${during} starts in 1.5 s of silence`);
  assert.equal(late, 0, 'starts when the views are too old');
  assert.ok(after >= before, `${after} starts in 2 s after the silence`);
});
