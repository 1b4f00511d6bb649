import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { LogFields } from '../node-log.js';
import { NodeLog } from '../node-log.js';
import { NodeMetrics } from '../internal/node-metrics.js';
import { TermLoad } from '../internal/term-load.js';
import { NODE_STATE } from './fixtures.js';

const VIEW = {
  jobs: 7,
  unreached: 3,
  quietMs: 1_500.4,
  leaseLeftMs: -20,
  unstartedTasks: 0,
  startsPerSecond: 0,
  aheadBindings: 0,
  evacuatedRuns: 4,
  leaseGrants: 5,
  idleJobs: 2,
  longestIdleMs: 4_200.3,
  rackWaitingTasks: 3,
  adviceWaitingSteps: 2,
  unplacedTasks: 12,
  untriedTasks: 0,
  unplacedBestEffort: 3,
  untriedBestEffort: 900,
  reservedPercent: 45,
  longRunningPercent: 40,
  bestEffortPercent: 30,
};

/** Returns the fields of the next `term-load` event, once the observer of the log has received it. */
function nextLoad(log: NodeLog): Promise<LogFields> {
  return new Promise((resolve) => {
    const emit = log.emit.bind(log);
    log.emit = (level, event, fields = {}) => {
      emit(level, event, fields);
      if (event === 'term-load') resolve(fields);
    };
  });
}

/** Blocks the event loop for the given time, in milliseconds. */
function blockEventLoop(ms: number): void {
  const endMs = performance.now() + ms;
  while (performance.now() < endMs);
}

test('the term-load event states how many log lines were dropped', async (t) => {
  // A node writes 300 lines a second to a reader that takes 60. Lines arrive nine seconds late, then some
  // are dropped. Guards against mistaking late or missing lines for an unresponsive node.
  const log = new NodeLog('n1', 'silent');
  t.mock.getter(log, 'dropped', () => 5);
  const stopping = new AbortController();
  const load = new TermLoad(log, 4);
  const loggedFields = new Promise<LogFields>((resolve) => {
    log.observe((event, fields) => event === 'term-load' && resolve(fields));
  });
  const running = load.run(() => VIEW, stopping.signal);
  assert.equal((await loggedFields).droppedLines, 5);
  stopping.abort();
  await running;
});

test('the term-load event and the metrics state long rounds and slow appends', async () => {
  // Leases expire on hundreds of workers because the leader spent over a second on one round, and its
  // store was slow as well. Guards against a log in which an operator cannot see both causes.
  const log = new NodeLog('n1', 'silent');
  const metrics = new NodeMetrics(log, () => NODE_STATE);
  const stopping = new AbortController();
  const load = new TermLoad(log, 4);
  const loggedFields = nextLoad(log);
  const running = load.run(() => VIEW, stopping.signal);
  load.appendSent();
  blockEventLoop(1_300);
  load.decided(1_300);
  load.decided(5);
  load.reported();
  const fields = await loggedFields;
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

test('the term-load event and the metrics state the oldest views and the longest wait of the starts', async () => {
  // A task started on a worker that had announced its departure long before. Guards against a log in
  // which an operator cannot tell whether the start had waited or the list of workers was outdated.
  const log = new NodeLog('n1', 'silent');
  const metrics = new NodeMetrics(log, () => NODE_STATE);
  const stopping = new AbortController();
  const load = new TermLoad(log, 4);
  const loggedFields = nextLoad(log);
  const running = load.run(() => VIEW, stopping.signal);
  load.startSent({ workersAgeMs: 1_400, jobsAgeMs: 20, operatorsAgeMs: 50 }, 30);
  load.startSent({ workersAgeMs: 200, jobsAgeMs: 600, operatorsAgeMs: 900 }, 2_800.4);
  const { starts, workersAgeMs, jobsAgeMs, operatorsAgeMs, startWaitMs } = await loggedFields;
  stopping.abort();
  await running;
  assert.deepEqual(
    { starts, workersAgeMs, jobsAgeMs, operatorsAgeMs, startWaitMs },
    { starts: 2, workersAgeMs: 1_400, jobsAgeMs: 600, operatorsAgeMs: 900, startWaitMs: 2_800 },
  );
  const text = await metrics.text();
  assert.match(text, /redwingcrank_scheduler_oldest_workers_view_seconds 1\.4\n/);
  assert.match(text, /redwingcrank_scheduler_longest_start_wait_seconds 2\.8\n/);
});
