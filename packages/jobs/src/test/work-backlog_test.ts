import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CapacityWait } from '../internal/capacity-wait.js';
import type { WaitCause } from '../internal/obstacle.js';
import { JobProgress } from '../job-progress.js';
import type { JobSpec, QueuePolicy, StepSpec } from '../job.js';
import { jobDelayOf } from '../start-delay.js';
import { SimulatedCluster } from './simulated-cluster.js';
import { QUEUE, jobSpec, stepSpec, workerEntry } from './scheduler-harness.js';

/** A queue whose jobs stay of use however long they wait. */
const PATIENT: QueuePolicy = { ...QUEUE, targetLatencyMs: 1_000_000 };

const LESS_URGENT: QueuePolicy = { ...PATIENT, name: 'later', priority: 2 };

const RESERVED = 'pool reserved 0';

/** A cluster of 16 processors, on which tasks take a second. */
function newCluster(seed = 1): SimulatedCluster {
  const cluster = new SimulatedCluster(seed, [workerEntry('w1'), workerEntry('w2')]);
  cluster.harness.scheduler.setQueues([PATIENT, LESS_URGENT]);
  return cluster;
}

function submitMany(cluster: SimulatedCluster, spec: StepSpec, changes: Partial<JobSpec>): void {
  const { harness } = cluster;
  const acceptedMs = harness.nowMs;
  for (let i = 0; i < 20; i += 1)
    harness.submit(jobSpec([spec], { acceptedMs, ...changes, id: `${changes.id}-${i}` }));
}

/** Runs the cluster for some seconds, and returns the delays of new jobs. */
function delaysAfter(cluster: SimulatedCluster, seconds: number): Readonly<Record<string, number>> {
  for (let step = 0; step < 10 * seconds; step += 1) cluster.step();
  return cluster.harness.scheduler.startDelays(cluster.harness.nowMs).startDelayMs;
}

test('the delay is the waiting work divided by the rate, whatever the error of the estimates', () => {
  // Guards against refusals for a delay that is wrong by the factor by which callers' estimates are.
  for (const estimateMs of [400, 1_000, 2_500]) {
    const cluster = newCluster();
    submitMany(cluster, stepSpec({ taskCount: 16, estimateMs }), { id: 'a' });
    const delayMs = delaysAfter(cluster, 5)[RESERVED]!;
    // 16 processors run 320 tasks of a second in 20 s, of which 5 s have passed and 1 s is under way.
    assert.ok(delayMs > 12_000 && delayMs < 17_000, `${delayMs}`);
  }
});

test('no delay is known before jobs have waited for capacity for two seconds', () => {
  // Guards against refusals for a load that is over in a moment.
  const cluster = newCluster();
  submitMany(cluster, stepSpec({ taskCount: 16 }), { id: 'a' });
  assert.deepEqual(delaysAfter(cluster, 2), {});
});

test('work that is less urgent, best-effort or cancelled delays no job of an urgent queue', () => {
  // Guards against refusing urgent jobs for work that comes after them or uses other capacity.
  const cluster = newCluster();
  const step = stepSpec({ taskCount: 16 });
  submitMany(cluster, step, { id: 'a' });
  submitMany(cluster, step, { id: 'b', queue: LESS_URGENT.name });
  submitMany(cluster, { ...step, fills: true }, { id: 'c' });
  const before = delaysAfter(cluster, 5);
  assert.ok(before['pool reserved 2']! > before[RESERVED]! + 15_000, JSON.stringify(before));
  assert.ok(before[RESERVED]! < 17_000, JSON.stringify(before));
  for (let i = 0; i < 20; i += 1) cluster.harness.scheduler.cancel(`a-${i}`, cluster.harness.nowMs);
  const after = delaysAfter(cluster, 1);
  assert.equal(after[RESERVED], undefined);
  assert.ok(after['pool reserved 2']! < before['pool reserved 2']! - 10_000, JSON.stringify(after));
});

test('work that is of no use to its caller any more delays no new job', () => {
  // Guards against refusing jobs that would go before those of a load spike that is over.
  const cluster = newCluster();
  const acceptedMs = cluster.harness.nowMs - 4 * PATIENT.targetLatencyMs;
  submitMany(cluster, stepSpec({ taskCount: 16 }), { id: 'a', acceptedMs });
  assert.deepEqual(delaysAfter(cluster, 5), {});
});

test('a new leader counts the stored jobs, also those that it loads before it knows the queues', () => {
  // Guards against accepting jobs without limit for as long as the jobs of the former leader wait.
  const cluster = newCluster();
  const { scheduler, nowMs } = cluster.harness;
  for (let i = 0; i < 20; i += 1) {
    const spec = stepSpec({ taskCount: 16 });
    const job = new JobProgress(jobSpec([spec], { id: `a-${i}`, queue: 'new', acceptedMs: nowMs }));
    job.openDue(nowMs);
    scheduler.addJob(job, nowMs);
  }
  delaysAfter(cluster, 1);
  scheduler.setQueues([{ ...PATIENT, name: 'new' }]);
  assert.ok(delaysAfter(cluster, 5)[RESERVED]! > 12_000);
});

test('a job that fits on no worker delays no job that would start at once', () => {
  // Guards against refusing the jobs of a pool because one of them asks for what no worker has.
  const cluster = newCluster();
  submitMany(cluster, stepSpec({ taskCount: 16, gpus: 1 }), { id: 'a' });
  for (let step = 0; step < 100; step += 1) {
    cluster.submitInTime(1);
    assert.deepEqual(delaysAfter(cluster, 0.1), {});
  }
});

test('starts that waited for the leader or the store are no sign of a lack of capacity', () => {
  // Guards against refusals after an outage of the store, during which nothing was completed.
  const wait = new CapacityWait();
  for (const [cause, sinceMs] of [
    ['room', 1_000],
    ['limits', Infinity],
    ['closed', Infinity],
  ]) {
    wait.started(2_000, cause as WaitCause);
    wait.endInterval(true, 1_000);
    assert.equal(wait.sinceMs, sinceMs, `${cause}`);
  }
});

test('a job bears a delay up to three times its own objective; long-running jobs bear any', () => {
  // Guards against refusing jobs that would still be of use to their callers.
  const delays = { startDelayMs: { [RESERVED]: 5_000 }, workRates: { [RESERVED]: 8 } };
  const spec = jobSpec([stepSpec(), stepSpec({ after: [0] })]);
  // The objective is 2 * 2,000 + 100 ms, and the job takes 2,000 ms from its first start.
  const { limitMs, inTimeMs, work } = jobDelayOf(spec, QUEUE, delays)!;
  assert.deepEqual([limitMs, inTimeMs, work], [3 * 4_100 - 2_000, 2_100, 2_000]);
  assert.equal(jobDelayOf(spec, LESS_URGENT, delays), undefined);
  assert.equal(jobDelayOf(jobSpec([stepSpec({ lasting: true })]), QUEUE, delays), undefined);
  assert.equal(jobDelayOf(jobSpec([stepSpec({ estimateMs: 0 })]), QUEUE, delays), undefined);
  assert.equal(jobDelayOf(jobSpec([stepSpec({ fills: true })]), QUEUE, delays), undefined);
});
