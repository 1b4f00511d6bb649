import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { TestContext } from 'node:test';
import { Subject } from 'rxjs';
import { PLAIN_STEP, Scheduler } from '@redwingcrank/jobs';
import type { JobSpec, QueuePolicy } from '@redwingcrank/jobs';
import { JobService } from '../job-service.js';
import { NodeLog } from '../node-log.js';
import { NodeMetrics } from '../internal/node-metrics.js';
import { StartDelayReport } from '../internal/start-delay-report.js';
import type { LeaderRecord } from '../internal/work-records.js';
import { encodeLeader, leaderKey } from '../internal/work-records.js';
import { WorkTable } from '../internal/work-table.js';
import { NODE_STATE } from './fixtures.js';
import { LONG_RUNNING_JOB } from './job-fixtures.js';
import { leaderRecord } from './leader-record.js';
import { StaticLog } from './static-log.js';
import { VirtualFleet, VirtualTime } from './virtual-fleet.js';

const KEY = 'pool reserved 0';

const DELAYS = { startDelayMs: { [KEY]: 6_000 }, workRates: { [KEY]: 8 } };

/** A job may take three times 2,100 ms, so it bears a delay of 5,300 ms. */
const QUEUE: QueuePolicy = {
  name: 'q',
  pool: 'pool',
  priority: 0,
  maxAttempts: 3,
  stretch: 2,
  targetLatencyMs: 100,
};

const STEP = { ...PLAIN_STEP, cpuMilli: 1_000, estimateMs: 1_000 };

const JOB: JobSpec = { ...LONG_RUNNING_JOB, steps: [STEP] };

const EMPTY = { startDelayMs: {}, workRates: {} };

/** Returns a log, the calls that emit its events, and the metrics that count them. */
function observedLog(t: TestContext) {
  const log = new NodeLog('n1', 'silent');
  const { mock } = t.mock.method(log, 'emit');
  return { log, emitted: mock, metrics: new NodeMetrics(log, () => NODE_STATE) };
}

test('a node refuses by the newest record what would be of no use, and gives it back its place', async (t) => {
  // Guards against accepting hopeless jobs, and against refusals by an old or a foreign statement.
  let nowMs = 1_000;
  t.mock.method(performance, 'now', () => nowMs);
  const { log, emitted, metrics } = observedLog(t);
  const table = new WorkTable('n1');
  const lost$ = new Subject<void>();
  const view = { table, completeAsOfMs: 0, nextJob: 0, isLost: false, lost$ };
  const service = new JobService(view, new StaticLog(), log, () => [QUEUE]);
  const read = (fields: Partial<LeaderRecord>): void =>
    table.apply({ key: leaderKey(), value: encodeLeader(leaderRecord(fields)) });
  const submit = (id: string, job = JOB, queue = QUEUE): number | undefined =>
    service.retryDelayMs({ ...job, id }, queue);
  read({});
  assert.equal(submit('a'), undefined);
  read({ ...DELAYS, startDelayMs: { [KEY]: 5_300 } });
  assert.equal(submit('a'), undefined);
  read({ ...DELAYS, nodes: 2 });
  assert.equal(submit('b', LONG_RUNNING_JOB), undefined);
  assert.equal(submit('b', JOB, { ...QUEUE, priority: 1 }), undefined);
  const returnMs = submit('a')!;
  assert.ok(returnMs > 1_500 && returnMs <= 10_000);
  const { reason, delayMs, limitMs } = emitted.calls.at(-1)!.arguments[2]!;
  assert.deepEqual([reason, delayMs, limitMs], ['work-backlog', 6_000, 5_300]);
  nowMs += returnMs;
  assert.equal(submit('c'), undefined, 'the record is old');
  read(DELAYS);
  assert.ok(submit('c')! > 0);
  assert.equal(submit('a'), undefined);
  assert.match(await metrics.text(), /redwingcrank_returns_total\{outcome="admitted"\} 1\n/);
});

test('the record of the leader states delays and the number of nodes, only while there are any', async (t) => {
  // Guards against nodes that never learn of a delay, or that go on to refuse jobs when it is over.
  const mock = t.mock.method(Scheduler.prototype, 'startDelays', () => DELAYS);
  const fleet = new VirtualFleet(new VirtualTime(t), true);
  fleet.add('n1', 0.5);
  fleet.add('n2', 0.5);
  const hasDelays = (): boolean => fleet.store.leader?.nodes === 2;
  assert.ok(await fleet.time.advanceUntil(hasDelays, 10_000));
  const { startDelayMs, workRates } = fleet.store.leader!;
  assert.deepEqual({ startDelayMs, workRates }, DELAYS);
  mock.mock.mockImplementation(() => EMPTY as never);
  await fleet.time.advance(2_000);
  const fields = Object.keys(fleet.store.leader!);
  assert.ok(!['startDelayMs', 'workRates', 'nodes'].some((field) => fields.includes(field)));
  await fleet.stop();
});

test('a delay is logged once a second and when it is over, and shown as a metric', async (t) => {
  // Guards against a line for each record, and against a metric that shows a delay for ever.
  const { log, emitted, metrics } = observedLog(t);
  const report = new StartDelayReport(log);
  for (const nowMs of [0, 300, 600, 900, 1_200]) report.fields(DELAYS, undefined, nowMs);
  assert.equal(emitted.calls.length, 2);
  const gauge = 'redwingcrank_start_delay_ms{class="pool reserved",priority="0"}';
  assert.ok((await metrics.text()).includes(`${gauge} 6000\n`));
  report.fields(EMPTY, undefined, 1_300);
  assert.ok((await metrics.text()).includes(`${gauge} 0\n`));
});
