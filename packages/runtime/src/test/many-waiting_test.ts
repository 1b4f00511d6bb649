import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec, Order, RunningRow, WorkerEntry } from '@redwingcrank/jobs';
import { PLAIN_STEP, taskName } from '@redwingcrank/jobs';
import type { AppendResult, KeyedWrite, NewestPage, ReadResult } from '../keyed-log.js';
import { KeyedLog } from '../keyed-log.js';
import { NodeLog } from '../node-log.js';
import type { PlatformPort } from '../platform-port.js';
import type { OrderResult, RenewRequest, RenewResult, WorkerAddress } from '../task-workers.js';
import { TaskWorkers } from '../task-workers.js';
import { ConfigWatch } from '../internal/config-watch.js';
import { LeaderTerm } from '../internal/leader-term.js';
import { delay, steadyMs } from '../internal/delay.js';
import { encodeJob } from '../internal/job-record.js';
import { LEADER_SILENT_MS } from '../internal/timing.js';
import { encodeLeader, jobKey, leaderKey } from '../internal/work-records.js';
import { WorkTable } from '../internal/work-table.js';
import { WORKER_ENTRY, nodeSettings } from './fixtures.js';

const WORKERS = 100;

const JOBS = 2_000;

/** What a look at a worker takes on a node with a small part of a core, in milliseconds. */
const LOOK_MS = 0.02;

/** Looks that fill the time after which the others take a silent node for dead. */
const DEAF_LOOKS = LEADER_SILENT_MS / LOOK_MS;

/** How long the node schedules, in milliseconds. */
const TERM_MS = 3_000;

const pause = (ms: number): Promise<void> => delay(ms, new AbortController().signal);

/** Counts looks at workers, and takes the time of each. */
class Looks {
  count = 0;

  look(): void {
    this.count += 1;
    for (const endMs = steadyMs() + LOOK_MS; steadyMs() < endMs;);
  }
}

/** How many looks pass between two signs of life of one kind, at most. */
class Signs {
  readonly #looks: Looks;

  #newestAt = 0;

  #longestGap = 0;

  constructor(looks: Looks) {
    this.#looks = looks;
  }

  get longestGap(): number {
    return Math.max(this.#longestGap, this.#looks.count - this.#newestAt);
  }

  given(): void {
    this.#longestGap = this.longestGap;
    this.#newestAt = this.#looks.count;
  }
}

/** A log that has these records and takes every append. */
class QuickLog extends KeyedLog {
  readonly #records: NewestPage['records'];

  readonly #appended: (writes: readonly KeyedWrite[]) => void;

  constructor(
    records: NewestPage['records'] = [],
    appended: (writes: readonly KeyedWrite[]) => void = () => {},
  ) {
    super();
    this.#records = records;
    this.#appended = appended;
  }

  override async append(writes: readonly KeyedWrite[]): Promise<AppendResult> {
    this.#appended(writes);
    return { outcome: 'appended', reason: '' };
  }

  override read(): Promise<ReadResult> {
    return new Promise(() => {});
  }

  override async newest(): Promise<NewestPage> {
    return { records: this.#records, hasMore: false, end: 0 };
  }
}

/** Workers that run whatever they are told to, and answer after the wait that they are asked for. */
class SoundWorkers extends TaskWorkers {
  readonly running = new Map<string, RunningRow[]>();

  readonly #renewals: Signs;

  constructor(renewals: Signs) {
    super();
    this.#renewals = renewals;
  }

  override async renew({ id }: WorkerAddress, req: RenewRequest): Promise<RenewResult> {
    this.#renewals.given();
    await pause(req.waitMs);
    const running = this.running.get(id) ?? [];
    return { outcome: 'done', report: { clockMs: steadyMs(), running, ended: [] } };
  }

  override async order({ id }: WorkerAddress, { task, run }: Order): Promise<OrderResult> {
    const row = { task: taskName(task), run, checkpoint: '', percent: 100, measure: 0 };
    this.running.set(id, [row]);
    return { outcome: 'done', reason: '' };
  }

  override forget(): void {}
}

/** A worker's entry; every look at the worker asks whether it is draining. */
function countedEntry(id: string, looks: Looks): WorkerEntry {
  return {
    ...WORKER_ENTRY,
    id,
    get draining() {
      looks.look();
      return false;
    },
  };
}

/** Jobs of which a worker has room for one, and hardly two of which are alike. */
function waitingJob(index: number): JobSpec {
  return {
    id: index.toString(16).padStart(16, '0'),
    queue: 'q',
    payload: 'p',
    steps: [{ ...PLAIN_STEP, lasting: true, cpuMilli: 5_000 + index }],
    acceptedMs: 0,
  };
}

function tableOfWaitingJobs(): WorkTable {
  const table = new WorkTable('n1');
  for (let i = 0; i < JOBS; i += 1) {
    const job = waitingJob(i);
    table.apply({ key: jobKey(job.id), value: encodeJob(job) });
  }
  return table;
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

const CONFIG = {
  version: 1,
  queues: [QUEUE],
  pools: new Set([WORKER_ENTRY.pool]),
  maxBodyBytes: 1_000,
};

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

test('a scheduling node with little processor time gives signs of life while thousands of jobs wait', async () => {
  // After a takeover 2,000 jobs wait and workers have room for 100. Looking at every worker for each
  // job takes the node two seconds and more, in one piece: no lease is renewed and its own record is
  // not written. Lasting tasks end with their leases, the others take the node for dead after 1.1 s,
  // and its successor has more to do. Counted in looks at workers, which each take their time here,
  // the node must do less between two records, and between two renewals, than fills that time.
  const looks = new Looks();
  const records = new Signs(looks);
  const renewals = new Signs(looks);
  const workers = new SoundWorkers(renewals);
  const log = new NodeLog('n1', 'silent');
  const ids = Array.from({ length: WORKERS }, (_, i) => `w${i}`);
  const port: PlatformPort = {
    workLog: new QuickLog([], () => records.given()),
    jobLog: new QuickLog(),
    workerLog: new QuickLog(ids.map((key) => ({ key, value: 'x' }))),
    operatorLog: new QuickLog([{ key: 'config', value: 'x' }]),
    workers,
    workerIdOf: ({ key }) => key,
    decodeWorker: ({ key }) => ({ value: countedEntry(key, looks) }),
    decodeConfig: () => ({ value: CONFIG }),
  };
  const table = tableOfWaitingJobs();
  table.apply({ key: leaderKey(), value: encodeLeader(RECORD) });
  const config = new ConfigWatch(port, log);
  config.follower.run().catch(assert.fail);
  const claim = { epoch: 2, sequence: 7, sentMs: steadyMs() };
  const term = new LeaderTerm(RECORD, claim, port, nodeSettings('n1'), log, table, config);
  const running = term.run();
  await pause(TERM_MS);
  term.stop();
  await running;
  config.follower.stop();
  assert.ok(records.longestGap < DEAF_LOOKS, `${records.longestGap} looks between two records`);
  assert.ok(renewals.longestGap < DEAF_LOOKS, `${renewals.longestGap} between two renewals`);
  assert.equal(workers.running.size, WORKERS);
});
