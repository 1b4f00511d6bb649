import assert from 'node:assert/strict';
import { test } from 'node:test';
import { JobProgress, PLAIN_STEP, Scheduler } from '@redwingcrank/jobs';
import { NodeLog } from '../node-log.js';
import type { RenewRequest, RenewResult, WorkerAddress } from '../task-workers.js';
import { RetryBudget } from '../internal/retry-budget.js';
import { WorkerLink } from '../internal/worker-link.js';
import { WORKER_ENTRY } from './fixtures.js';
import { HealthyWorkers } from './healthy-workers.js';
import { pause } from './wait.js';

const LEASE_MS = 6_000;

const TIMING = {
  leaseMs: LEASE_MS,
  inheritedLeaseMs: 0,
  stallTimeoutMs: 2_500,
  stopRetryMs: 1_200,
};

/** Time of a renewal beyond its wait, for the calls and a busy node, in milliseconds. */
const OVERHEAD_MS = 190;

/** An idle worker, which answers renewals almost at once and records how long each may wait. */
class IdleWorker extends HealthyWorkers {
  readonly waitsMs: number[] = [];

  override async renew(worker: WorkerAddress, req: RenewRequest): Promise<RenewResult> {
    this.waitsMs.push(req.waitMs);
    return super.renew(worker, { ...req, waitMs: 5 });
  }
}

/** Returns how long a renewal of an idle worker waits there at most, in milliseconds. */
async function longestWaitMs(): Promise<number> {
  const worker = new IdleWorker();
  const listener = {
    token: 1,
    leaseLimitMs: () => LEASE_MS,
    ackedEnd: () => 0,
    isBusy: () => false,
    isDue: () => true,
    views: { windowMs: () => 1_500, ages: () => ({}) },
    startSent: () => {},
    leaseSent: () => {},
    reported: () => {},
    answered: () => {},
    workerEnded: () => {},
    fenced: () => {},
  };
  const log = new NodeLog('n1', 'silent');
  const link = new WorkerLink(WORKER_ENTRY, worker, listener, log, LEASE_MS, new RetryBudget());
  const running = link.run();
  await pause(50);
  link.stop();
  await running;
  return Math.max(...worker.waitsMs);
}

test('an idle worker can receive a task at any time between two of its answers', async () => {
  // The answers of an idle worker are far apart. Guards against a worker that counts as silent just
  // before its next answer: a new job would wait for the next round, a quarter of a second later.
  const answerMs = (await longestWaitMs()) + OVERHEAD_MS;
  const scheduler = new Scheduler(TIMING, 0, () => {});
  scheduler.setQueues([
    { name: 'q', pool: 'pool', priority: 0, maxAttempts: 3, stretch: 2, targetLatencyMs: 100 },
  ]);
  scheduler.listWorker(WORKER_ENTRY, 0);
  scheduler.report(WORKER_ENTRY.id, { clockMs: 0, running: [], ended: [] }, 0, 0);
  const steps = [{ ...PLAIN_STEP, cpuMilli: 500, memMb: 64, estimateMs: 40 }];
  const spec = { id: '00000000000000aa', queue: 'q', payload: 'p', steps, acceptedMs: 0 };
  scheduler.addJob(new JobProgress(spec));
  const { orders } = scheduler.decide(answerMs, answerMs);
  assert.deepEqual(
    orders.map(({ kind, worker }) => [kind, worker]),
    [['start', WORKER_ENTRY.id]],
  );
});
