import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { WorkerReport } from '@redwingcrank/protocol';
import { Colocation, ColocationFit, seededRandom } from '../index.js';
import { Harness, hosts, job, service } from './plan-harness.js';

const REPORT_LAG_MS = 12_000;
const REPORT_INTERVAL_MS = 4_000;

/** Effect of batch work of the kind `loud` on the latency ratio of `slow`; others have none. */
const LOUD_COST = 4;

/** One host with a replica and two jobs; only the test knows which job interferes. */
class Scenario {
  readonly colocation = new Colocation();

  readonly harness: Harness;

  nowMs = 0;

  constructor(loudTasks = 2, quietTasks = 2) {
    const jobs = [job('loud-1', loudTasks, 4), job('quiet-1', quietTasks, 4)];
    this.harness = new Harness(hosts(1, 1), { services: [service('slow', 1, 8)], jobs });
    this.harness.pass();
    for (const { taskId, attempt } of this.harness.fold.tasks.values()) {
      this.harness.apply([{ type: 'running', taskId, attempt }]);
    }
  }

  /** Returns a report of the current state of the host; `latencyRatio` is latency over target. */
  report(latencyRatio?: number): WorkerReport {
    const tasks = [...this.harness.fold.tasks.values()].filter((task) => task.state === 'running');
    const used = tasks.map((task) => task.resources.cpu * this.colocation.shareOf(task));
    const loud = tasks.reduce((sum, t, i) => sum + (t.owner === 'loud-1' ? (used[i] ?? 0) : 0), 0);
    const latencyMs = 100 * (latencyRatio ?? 0.5 + (LOUD_COST * loud) / 32);
    const usage = tasks.map(({ taskId, attempt, kind }, i) => ({
      taskId,
      attempt,
      cpu: used[i] ?? 0,
      memoryMb: 1,
      ageMs: REPORT_LAG_MS,
      ...(kind === 'service' && { latencyMs }),
    }));
    return { hostId: 'w0', incarnation: 'i', heartbeat: 0, orphans: false, tasks: [], usage };
  }

  /** Observes a report and returns the owners of the tasks to move. */
  review(report = this.report()): string[] {
    const { fold, manifest } = this.harness;
    this.nowMs += REPORT_INTERVAL_MS;
    this.colocation.observe(fold, manifest, report, this.nowMs);
    return [...this.colocation.review(fold, this.nowMs)].map(
      ({ taskId }) => fold.tasks.get(taskId)?.owner ?? '',
    );
  }

  share(owner: string): number {
    const task = this.harness.fold.tasks.get(`dc1/${owner}/0`);
    return task ? this.colocation.shareOf(task) : NaN;
  }
}

test('latency above target throttles a job, then moves a task; low latency lifts the limit', () => {
  // The service's tail latency exceeds its target. Throttling costs the batch work little and takes
  // effect within one report lag. Only if no kind of batch work is left to throttle is a task
  // checkpointed and moved. After the latency has been low for a minute, the share is restored
  // step by step, so that it does not oscillate.
  const scenario = new Scenario();
  const moves: string[] = [];
  const shares = new Set<number>();
  for (let i = 0; i < 60 && moves.length === 0; i += 1) {
    moves.push(...scenario.review(scenario.report(1.3)));
    shares.add(Math.min(scenario.share('loud-1'), scenario.share('quiet-1')));
  }
  assert.deepEqual([...shares].slice(0, 3), [1, 0.5, 0.25]);
  assert.equal(moves.length, 1);
  const throttled = scenario.share('loud-1') < 1 ? 'loud-1' : 'quiet-1';
  for (let i = 0; i < 10; i += 1) assert.deepEqual(scenario.review(scenario.report(0.4)), []);
  assert.equal(scenario.share(throttled), 0.25);
  for (let i = 0; i < 30; i += 1) scenario.review(scenario.report(0.4));
  assert.equal(scenario.share(throttled), 1);
});

test('reports that are repeated or arrive out of order count once', () => {
  const scenario = new Scenario();
  const slowReport = scenario.report(1.3);
  scenario.review(slowReport);
  for (let i = 0; i < 20; i += 1) {
    scenario.nowMs -= REPORT_INTERVAL_MS;
    scenario.review(slowReport);
  }
  assert.equal(scenario.share('loud-1'), 1);
  assert.equal(scenario.share('quiet-1'), 1);
});

test('a service and an interfering job are identified from noisy samples and kept apart', () => {
  const random = seededRandom(5);
  const cost = 2;
  const scenario = new Scenario(1, 2);
  for (let i = 0; i < 600; i += 1) {
    const [loud, quiet] = [random.int(0, 10) / 32, random.int(0, 10) / 32];
    const load = random.int(40, 100) / 100;
    const latencyRatio = 0.5 + load * (0.1 + cost * loud) + random.int(-5, 5) / 100;
    const batchCpuShares = new Map([
      ['loud', loud],
      ['quiet', quiet],
    ]);
    scenario.colocation.model.learn({ service: 'slow', latencyRatio, load, batchCpuShares });
  }
  const { model } = scenario.colocation;
  assert.ok(model.cost('slow', 'loud') > 1.5, `loud ${model.cost('slow', 'loud')}`);
  assert.ok(model.cost('slow', 'quiet') < 0.5, `quiet ${model.cost('slow', 'quiet')}`);
  const { harness } = scenario;
  const jobs = [...harness.manifest.jobs, job('loud-2', 2, 4), job('quiet-2', 1, 4)];
  harness.manifest = { ...harness.manifest, jobs };
  const policy = new ColocationFit(harness.fold, model);
  const bound = harness
    .pass({ ...harness.input(), policy })
    .flatMap((a) => (a.type === 'bind' ? [a.owner] : []));
  assert.deepEqual(bound, ['quiet-2']);
  assert.deepEqual(
    harness.unplaced.map(({ owner, count, reason }) => [owner, count, reason]),
    [['loud-2', 2, 'kept-apart']],
  );
  // An urgent job does not wait for a better host.
  const urgent = job('loud-3', 1, 4, { urgent: true });
  harness.manifest = { ...harness.manifest, jobs: [...jobs, urgent] };
  const placed = harness.pass({ ...harness.input(), policy });
  assert.deepEqual(
    placed.map((action) => action.type === 'bind' && action.owner),
    ['loud-3'],
  );
});
