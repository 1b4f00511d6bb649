import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { LogFields } from '../node-log.js';
import { NodeLog } from '../node-log.js';
import { NodeMetrics } from '../internal/node-metrics.js';
import { TermLoad } from '../internal/term-load.js';

const VIEW = {
  jobs: 7,
  unreached: 3,
  quietMs: 1_500.4,
  leaseLeftMs: -20,
  idleJobs: 2,
  longestIdleMs: 4_200.3,
  reservedPercent: 45,
  bestEffortPercent: 30,
};

const STATE = { isLeading: true, viewAgeMs: 0, jobs: new Map(), faults: [] };

/** The fields of the next line that tells a load, after whoever observes the log has them. */
function toldLoad(log: NodeLog): Promise<LogFields> {
  return new Promise((resolve) => {
    const emit = log.emit.bind(log);
    log.emit = (level, event, fields = {}) => {
      emit(level, event, fields);
      if (event === 'term-load') resolve(fields);
    };
  });
}

function busy(ms: number): void {
  const endMs = performance.now() + ms;
  while (performance.now() < endMs);
}

test('a node tells how many of its lines are missing', async (t) => {
  // A reader takes 60 lines a second of a node that writes 300. Lines come nine seconds late, then
  // some are dropped; by when they come, and by those that are not there, the node seems to be deaf.
  const log = new NodeLog('n1', 'silent');
  t.mock.getter(log, 'dropped', () => 5);
  const stopping = new AbortController();
  const load = new TermLoad(log, 4);
  const told = new Promise<LogFields>((resolve) => {
    log.observe((event, fields) => event === 'term-load' && resolve(fields));
  });
  const running = load.run(() => VIEW, stopping.signal);
  assert.equal((await told).droppedLines, 5);
  stopping.abort();
  await running;
});

test('a node that is deaf for seconds says so, and what kept it', async () => {
  // Leases lapse on hundreds of workers. The node that schedules had decided for over a second and
  // done nothing else; its store was slow as well. One line must tell both, and the metrics with it.
  const log = new NodeLog('n1', 'silent');
  const metrics = new NodeMetrics(log, () => STATE);
  const stopping = new AbortController();
  const load = new TermLoad(log, 4);
  const told = toldLoad(log);
  const running = load.run(() => VIEW, stopping.signal);
  load.appendSent();
  busy(1_300);
  load.decided(1_300);
  load.decided(5);
  load.reported();
  const fields = await told;
  stopping.abort();
  await running;
  const { rounds, longestDecideMs, reports, epoch, unreached, quietMs, leaseLeftMs } = fields;
  assert.deepEqual(
    { rounds, longestDecideMs, reports, epoch, unreached, quietMs, leaseLeftMs },
    {
      rounds: 2,
      longestDecideMs: 1_300,
      reports: 1,
      epoch: 4,
      unreached: 3,
      quietMs: 1_500,
      leaseLeftMs: -20,
    },
  );
  assert.ok(Number(fields.lateMs) >= 290, `lateMs=${fields.lateMs}`);
  assert.ok(Number(fields.appendMs) >= 1_290, `appendMs=${fields.appendMs}`);
  assert.match(await metrics.text(), /redwingcrank_scheduler_longest_round_seconds 1\.3\n/);
  log.emit('info', 'term-end', { epoch: 4 });
  assert.match(await metrics.text(), /redwingcrank_scheduler_longest_round_seconds 0\n/);
});

test('a node tells by how old a view it started tasks, and how long these had waited', async () => {
  // A task began on a worker that had said long before that it leaves. Whether the start had waited or the
  // list was old does not show from outside; the oldest of a second's starts must tell both.
  const log = new NodeLog('n1', 'silent');
  const metrics = new NodeMetrics(log, () => STATE);
  const stopping = new AbortController();
  const load = new TermLoad(log, 4);
  const told = toldLoad(log);
  const running = load.run(() => VIEW, stopping.signal);
  load.startSent({ workersAgeMs: 1_400, jobsAgeMs: 20 }, 30);
  load.startSent({ workersAgeMs: 200, jobsAgeMs: 600 }, 2_800.4);
  const { starts, workersAgeMs, jobsAgeMs, startWaitMs } = await told;
  stopping.abort();
  await running;
  assert.deepEqual(
    { starts, workersAgeMs, jobsAgeMs, startWaitMs },
    { starts: 2, workersAgeMs: 1_400, jobsAgeMs: 600, startWaitMs: 2_800 },
  );
  const text = await metrics.text();
  assert.match(text, /redwingcrank_scheduler_oldest_workers_view_seconds 1\.4\n/);
  assert.match(text, /redwingcrank_scheduler_longest_start_wait_seconds 2\.8\n/);
});
