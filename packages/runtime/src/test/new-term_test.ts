import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { AppendResult, KeyedWrite, NewestPage } from '../keyed-log.js';
import { NodeLog } from '../node-log.js';
import type { RenewRequest, RenewResult, WorkerAddress } from '../task-workers.js';
import { ConfigWatch } from '../internal/config-watch.js';
import { LeaderTerm } from '../internal/leader-term.js';
import { steadyMs } from '../internal/delay.js';
import { encodeJob } from '../internal/job-record.js';
import { encodeLeader, jobKey, leaderKey, progressKey } from '../internal/work-records.js';
import { WorkTable } from '../internal/work-table.js';
import { UP_TO_DATE_JOBS, WORKER_ENTRY, nodeSettings } from './fixtures.js';
import { LONG_RUNNING_JOB, startedProgress } from './job-fixtures.js';
import { leaderRecord } from './leader-record.js';
import { platformPort } from './port-fixtures.js';
import { StaticLog } from './static-log.js';
import { HealthyWorkers } from './healthy-workers.js';
import { pause } from './wait.js';

/** Time of an append at a store that is a hundred times slower than usual, in milliseconds. */
const APPEND_MS = 400;

/** Time to load the list of workers, whose first read times out once, in milliseconds. */
const LOAD_LIST_MS = 1_000;

/** Upper bound of the time from a worker's first answer to its next renewal, in milliseconds. */
const MAX_RENEWAL_DELAY_MS = 300;

/** A log of a slow store, with a fixed set of records. */
class SlowLog extends StaticLog {
  override async append(records: readonly KeyedWrite[]): Promise<AppendResult> {
    await pause(APPEND_MS);
    return super.append(records);
  }

  override async newest(): Promise<NewestPage> {
    await pause(LOAD_LIST_MS);
    return super.newest();
  }
}

/** A worker that answers every renewal after the wait it asks for, and runs the one task. */
class ObservedWorker extends HealthyWorkers {
  /** When it first answered, on the steady clock; 0 before that. */
  firstAnswerMs = 0;

  /** When the first renewal with a lease arrived, on the steady clock; 0 before that. */
  firstLeaseMs = 0;

  constructor() {
    super();
    const task = `${LONG_RUNNING_JOB.id}.0.0.0`;
    this.running.set(WORKER_ENTRY.id, [{ task, run: 1, checkpoint: '', percent: 100, measure: 0 }]);
  }

  override async renew(worker: WorkerAddress, req: RenewRequest): Promise<RenewResult> {
    if (req.deadlineMs !== undefined) this.firstLeaseMs ||= steadyMs();
    const result = await super.renew(worker, req);
    this.firstAnswerMs ||= steadyMs();
    return result;
  }
}

const SETTINGS = nodeSettings('n1');

/** Returns a table with a job whose one task runs on the worker. */
function tableOfRunningJob(): WorkTable {
  const job = startedProgress();
  const [first] = job.occurrences.values();
  Object.assign(first!.steps[0]![0]!, { phase: 'bound', run: 1, worker: WORKER_ENTRY.id });
  const table = new WorkTable('n1');
  table.apply({ key: jobKey(LONG_RUNNING_JOB.id), value: encodeJob(LONG_RUNNING_JOB) });
  table.apply({ key: progressKey(LONG_RUNNING_JOB.id), value: job.encode() });
  return table;
}

test('a new leader renews the lease of a worker with its second call although the store is slow', async () => {
  // A node becomes leader while the list of workers takes a second to load and each append 400 ms.
  // Guards against counting a worker as silent that could not be called before the list was loaded:
  // named as silent in the leader record it gets no lease until two more records are stored, and its
  // tasks end with the leases that the previous leader granted.
  const workers = new ObservedWorker();
  const log = new NodeLog('n1', 'silent');
  const port = platformPort({
    workLog: new SlowLog(),
    jobLog: new SlowLog(),
    workerLog: new SlowLog([{ key: WORKER_ENTRY.id, value: 'x' }]),
    operatorLog: new SlowLog(),
    workers,
  });
  const record = leaderRecord({ formerMs: 7_800 });
  const table = tableOfRunningJob();
  table.apply({ key: leaderKey(), value: encodeLeader(record) });
  const claim = { epoch: 2, sequence: 7, sentMs: steadyMs() - APPEND_MS };
  const config = new ConfigWatch(port, log);
  const term = new LeaderTerm(record, claim, {
    port,
    settings: SETTINGS,
    log,
    table,
    work: UP_TO_DATE_JOBS,
    config,
  });
  const running = term.run();
  await pause(LOAD_LIST_MS + 2_500);
  term.stop();
  await running;
  assert.ok(workers.firstAnswerMs > 0 && workers.firstLeaseMs > 0);
  const tookMs = workers.firstLeaseMs - workers.firstAnswerMs;
  assert.ok(tookMs < MAX_RENEWAL_DELAY_MS, `${tookMs} ms`);
});
