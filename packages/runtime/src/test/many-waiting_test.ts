import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec, Order, WorkerEntry } from '@redwingcrank/jobs';
import { PLAIN_STEP, taskName } from '@redwingcrank/jobs';
import type { AppendResult, KeyedWrite } from '../keyed-log.js';
import type { OrderResult, RenewRequest, RenewResult, WorkerAddress } from '../task-workers.js';
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
import { VirtualTime } from './virtual-fleet.js';

const WORKERS = 100;

const JOBS = 2_000;

/** Time to check one worker on a node with a small part of a core, in milliseconds. */
const CHECK_MS = 0.02;

/** Number of checks that fill the time after which a silent leader counts as dead. */
const SILENCE_CHECKS = LEADER_SILENT_MS / CHECK_MS;

/** Duration of the term, in milliseconds. */
const TERM_MS = 3_000;

/** Counts the checks of workers, and blocks for the time of each. */
class WorkerChecks {
  readonly #time: VirtualTime;

  count = 0;

  constructor(time: VirtualTime) {
    this.#time = time;
  }

  check(): void {
    this.count += 1;
    this.#time.block(CHECK_MS);
  }
}

/** Measures how many checks happen between two signs of life of one kind, at most. */
class SignsOfLife {
  readonly #checks: WorkerChecks;

  #newestCount = 0;

  #longestGap = 0;

  constructor(checks: WorkerChecks) {
    this.#checks = checks;
  }

  get longestGap(): number {
    return Math.max(this.#longestGap, this.#checks.count - this.#newestCount);
  }

  record(): void {
    this.#longestGap = this.longestGap;
    this.#newestCount = this.#checks.count;
  }
}

/** A log whose appends count as signs of life. */
class CountingLog extends StaticLog {
  readonly #signs: SignsOfLife;

  constructor(signs: SignsOfLife) {
    super();
    this.#signs = signs;
  }

  override async append(writes: readonly KeyedWrite[]): Promise<AppendResult> {
    this.#signs.record();
    return super.append(writes);
  }
}

/** Workers that run every task they are ordered to, and whose renewals count as signs of life. */
class CountingWorkers extends HealthyWorkers {
  readonly #renewals: SignsOfLife;

  constructor(renewals: SignsOfLife) {
    super();
    this.#renewals = renewals;
  }

  override async renew(worker: WorkerAddress, req: RenewRequest): Promise<RenewResult> {
    this.#renewals.record();
    return super.renew(worker, req);
  }

  override async order({ id }: WorkerAddress, { task, run }: Order): Promise<OrderResult> {
    const row = { task: taskName(task), run, checkpoint: '', percent: 100, measure: 0 };
    this.running.set(id, [row]);
    return { outcome: 'done', reason: '' };
  }
}

/** Returns the entry of a worker; each check of the worker reads whether it is draining. */
function countingEntry(id: string, checks: WorkerChecks): WorkerEntry {
  return {
    ...WORKER_ENTRY,
    id,
    get draining() {
      checks.check();
      return false;
    },
  };
}

/** Returns a job; a worker has capacity for one such job, and no two request the same processor time. */
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

test('a scheduling node with little processor time gives signs of life while thousands of jobs wait', async (t) => {
  // After a takeover 2,000 jobs wait, and the workers have capacity for 100. Guards against a leader that
  // checks every worker for each job without a break: for two seconds and more it renews no lease and
  // does not write its own record. Long-running tasks end with their leases, the leader counts as dead
  // after 1.1 s, and its successor has more to do. The gaps between two records, and between two
  // renewals, are measured in checks of workers, as each check takes the same time here.
  const time = new VirtualTime(t);
  const checks = new WorkerChecks(time);
  const records = new SignsOfLife(checks);
  const renewals = new SignsOfLife(checks);
  const workers = new CountingWorkers(renewals);
  const ids = Array.from({ length: WORKERS }, (_, i) => `w${i}`);
  const port = platformPort({
    workLog: new CountingLog(records),
    workerLog: new StaticLog(ids.map((key) => ({ key, value: 'x' }))),
    operatorLog: new StaticLog([{ key: 'config', value: 'x' }]),
    workers,
    decodeWorker: ({ key }) => ({ value: countingEntry(key, checks) }),
    decodeConfig: () => ({ value: CONFIG }),
  });
  const term = new RunningTerm(port, tableOfWaitingJobs());
  await time.advance(TERM_MS);
  const stopped = term.stop();
  await time.advance(TERM_MS);
  await stopped;
  assert.ok(
    records.longestGap < SILENCE_CHECKS,
    `${records.longestGap} checks between two records`,
  );
  assert.ok(renewals.longestGap < SILENCE_CHECKS, `${renewals.longestGap} between two renewals`);
  assert.equal(workers.running.size, WORKERS);
});
