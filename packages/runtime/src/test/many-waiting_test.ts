import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec, Order, WorkerEntry } from '@redwingcrank/jobs';
import { PLAIN_STEP, taskName } from '@redwingcrank/jobs';
import type { AppendResult, KeyedWrite } from '../keyed-log.js';
import type { OrderResult, RenewRequest, RenewResult, WorkerAddress } from '../task-workers.js';
import { steadyMs } from '../internal/delay.js';
import { encodeJob } from '../internal/job-record.js';
import { LEADER_SILENT_MS } from '../internal/timing.js';
import { jobKey } from '../internal/work-records.js';
import { WorkTable } from '../internal/work-table.js';
import { CONFIG } from './config-fixtures.js';
import { WORKER_ENTRY } from './fixtures.js';
import { platformPort } from './port-fixtures.js';
import { StaticLog } from './static-log.js';
import { RunningTerm } from './running-term.js';
import { HealthyWorkers } from './healthy-workers.js';
import { pause } from './wait.js';

const WORKERS = 100;

const JOBS = 2_000;

/** What a look at a worker takes on a node with a small part of a core, in milliseconds. */
const LOOK_MS = 0.02;

/** Looks that fill the time after which the others take a silent node for dead. */
const DEAF_LOOKS = LEADER_SILENT_MS / LOOK_MS;

/** How long the node schedules, in milliseconds. */
const TERM_MS = 3_000;

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

/** A log whose appends count as signs of life. */
class CountedLog extends StaticLog {
  readonly #signs: Signs;

  constructor(signs: Signs) {
    super();
    this.#signs = signs;
  }

  override async append(writes: readonly KeyedWrite[]): Promise<AppendResult> {
    this.#signs.given();
    return super.append(writes);
  }
}

/** Workers that run whatever they are told to, and answer after the wait that they are asked for. */
class CountedWorkers extends HealthyWorkers {
  readonly #renewals: Signs;

  constructor(renewals: Signs) {
    super();
    this.#renewals = renewals;
  }

  override async renew(worker: WorkerAddress, req: RenewRequest): Promise<RenewResult> {
    this.#renewals.given();
    return super.renew(worker, req);
  }

  override async order({ id }: WorkerAddress, { task, run }: Order): Promise<OrderResult> {
    const row = { task: taskName(task), run, checkpoint: '', percent: 100, measure: 0 };
    this.running.set(id, [row]);
    return { outcome: 'done', reason: '' };
  }
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

test('a scheduling node with little processor time gives signs of life while thousands of jobs wait', async () => {
  // After a takeover 2,000 jobs wait and workers have room for 100. Looking at every worker for each
  // job takes the node two seconds and more, in one piece: no lease is renewed and its own record is
  // not written. Lasting tasks end with their leases, the others take the node for dead after 1.1 s,
  // and its successor has more to do. Counted in looks at workers, which each take their time here,
  // the node must do less between two records, and between two renewals, than fills that time.
  const looks = new Looks();
  const records = new Signs(looks);
  const renewals = new Signs(looks);
  const workers = new CountedWorkers(renewals);
  const ids = Array.from({ length: WORKERS }, (_, i) => `w${i}`);
  const port = platformPort({
    workLog: new CountedLog(records),
    workerLog: new StaticLog(ids.map((key) => ({ key, value: 'x' }))),
    operatorLog: new StaticLog([{ key: 'config', value: 'x' }]),
    workers,
    decodeWorker: ({ key }) => ({ value: countedEntry(key, looks) }),
    decodeConfig: () => ({ value: CONFIG }),
  });
  const term = new RunningTerm(port, tableOfWaitingJobs());
  await pause(TERM_MS);
  await term.stop();
  assert.ok(records.longestGap < DEAF_LOOKS, `${records.longestGap} looks between two records`);
  assert.ok(renewals.longestGap < DEAF_LOOKS, `${renewals.longestGap} between two renewals`);
  assert.equal(workers.running.size, WORKERS);
});
