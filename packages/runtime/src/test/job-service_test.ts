import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Subject } from 'rxjs';
import type { JobSpec, QueuePolicy, RetryAfter } from '@redwingcrank/jobs';
import { PLAIN_STEP, capacityClassOf } from '@redwingcrank/jobs';
import { WorkTable } from '../internal/work-table.js';
import { steadyMs } from '../internal/delay.js';
import { JobService } from '../job-service.js';
import { NodeMetrics } from '../internal/node-metrics.js';
import { encodeJob } from '../internal/job-record.js';
import { cancelKey, encodeLeader, jobKey, leaderKey } from '../internal/work-records.js';
import type { WorkView } from '../job-service.js';
import type { AppendResult, KeyedRecord, KeyedWrite, ReadResult } from '../keyed-log.js';
import { NodeLog } from '../node-log.js';
import { StaticLog } from './static-log.js';
import { NODE_STATE } from './fixtures.js';
import { LONG_RUNNING_JOB } from './job-fixtures.js';
import { leaderRecord } from './leader-record.js';

/** A log that answers each append only when the test says so. */
class ManualLog extends StaticLog {
  readonly appends: (readonly KeyedWrite[])[] = [];

  /** The records that a read returns. */
  records: KeyedRecord[] = [];

  override async read(from: number): Promise<ReadResult> {
    const end = this.records.length;
    return { records: this.records.slice(from), next: end, end, asOfMs: steadyMs() };
  }

  #resolvers: ((result: AppendResult) => void)[] = [];

  override append(records: readonly KeyedWrite[]): Promise<AppendResult> {
    this.appends.push(records);
    return new Promise((resolve) => {
      this.#resolvers.push(resolve);
    });
  }

  answer(outcome: AppendResult['outcome']): void {
    this.#resolvers.shift()!({ outcome, reason: '' });
  }
}

/** A view whose connection to the store can be lost. */
class DisconnectableView implements WorkView {
  readonly table = new WorkTable('n1');

  /** Reads a leader record by which the given capacity classes refuse jobs for the given times. */
  readRefusals(retryAfterMs: RetryAfter): void {
    const value = encodeLeader(leaderRecord({ retryAfterMs }));
    this.table.apply({ key: leaderKey(), value });
  }

  /** Reads a leader record that states how many tasks a second the leader can start. */
  readStartRate(startsPerSecond: number): void {
    const value = encodeLeader(leaderRecord({ startsPerSecond }));
    this.table.apply({ key: leaderKey(), value });
  }

  readonly lost$ = new Subject<void>();

  readonly nextJob = 0;

  isLost = false;

  get completeAsOfMs(): number {
    return steadyMs();
  }

  lose(): void {
    this.isLost = true;
    this.lost$.next();
  }
}

const QUEUE: QueuePolicy = {
  name: 'q',
  pool: 'full',
  priority: 0,
  maxAttempts: 3,
  stretch: 2,
  targetLatencyMs: 100,
};

const LESS_URGENT_QUEUE: QueuePolicy = { ...QUEUE, name: 'less-urgent', priority: 2 };

/** A job service whose store is controlled by the test. */
class ControlledService {
  readonly log = new ManualLog();

  readonly view = new DisconnectableView();

  readonly nodeLog = new NodeLog('n1', 'silent');

  readonly #service = new JobService(this.view, this.log, this.nodeLog, () => [
    QUEUE,
    LESS_URGENT_QUEUE,
  ]);

  refusalMs(spec: JobSpec, pool: string): number | undefined {
    return this.#service.retryDelayMs(spec, { ...QUEUE, pool });
  }

  submit(id: string, waitMs = 3_000): Promise<string> {
    return this.#service.submit({ ...LONG_RUNNING_JOB, id }, steadyMs() + waitMs);
  }

  submitJob(spec: JobSpec): Promise<string> {
    return this.#service.submit(spec, steadyMs() + 3_000);
  }
}

/** Waits advanceUntil the promises that can resolve now have done so. */
function nextEventLoopTurn(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

test('a job that waits for another append when the store is lost is refused and never sent', async () => {
  // Guards against the result "unknown" for a job that has not run, and against storing it later.
  const service = new ControlledService();
  const sent = service.submit('00000000000000a1');
  const waiting = service.submit('00000000000000a2');
  service.view.lose();
  assert.deepEqual(await Promise.all([sent, waiting]), ['unknown', 'not-run']);
  service.log.answer('unknown');
  await nextEventLoopTurn();
  assert.equal(service.log.appends.length, 1);
});

test('a job that waits for another append until its deadline is refused and never sent', async () => {
  // Guards against the same failures where a slow store delays the append before it.
  const service = new ControlledService();
  const sent = service.submit('00000000000000a1');
  const waiting = service.submit('00000000000000a2', 50);
  assert.equal(await waiting, 'not-run');
  service.log.answer('appended');
  assert.equal(await sent, 'accepted');
  assert.equal(service.log.appends.length, 1);
});

test('a job that was sent once without an answer is never reported as not run', async () => {
  // Guards against a refused second attempt that hides that the first one may have been stored.
  const service = new ControlledService();
  const submitted = service.submit('00000000000000a1');
  service.log.answer('unknown');
  while (service.log.appends.length < 2) await nextEventLoopTurn();
  service.log.answer('refused');
  assert.equal(await submitted, 'unknown');
});

test('a job that would wait too long to start is refused, unless it is already stored', async () => {
  // Guards against jobs that are accepted and starve, against refusing jobs for which other capacity
  // is free, and against reporting a stored job as not run.
  const service = new ControlledService();
  const job = { ...LONG_RUNNING_JOB, id: '00000000000000a1', steps: [PLAIN_STEP] };
  assert.equal(service.refusalMs(job, 'full'), undefined);
  service.view.readRefusals({ [capacityClassOf('full', false)]: 2_500 });
  assert.equal(service.refusalMs(job, 'full'), 2_500);
  assert.equal(service.refusalMs(job, 'empty'), undefined);
  const bestEffort = { ...PLAIN_STEP, fills: true };
  assert.equal(service.refusalMs({ ...job, steps: [bestEffort] }, 'full'), undefined);
  assert.equal(service.refusalMs({ ...job, steps: [bestEffort, PLAIN_STEP] }, 'full'), 2_500);
  assert.equal(service.refusalMs(LONG_RUNNING_JOB, 'full'), undefined);

  const stored = service.submit(job.id);
  service.log.answer('appended');
  assert.equal(await stored, 'accepted');
  assert.equal(service.refusalMs(job, 'full'), undefined);
});

test('a refused job is counted by the metrics', async () => {
  // Guards against a log event that the metrics cannot count: the caller would get an error instead
  // of a refusal.
  const service = new ControlledService();
  const metrics = new NodeMetrics(service.nodeLog, () => NODE_STATE);
  service.view.readRefusals({ [capacityClassOf('full', false)]: 2_500 });
  service.refusalMs({ ...LONG_RUNNING_JOB, steps: [PLAIN_STEP] }, 'full');
  assert.match(await metrics.text(), /submit_duration_seconds_count\{outcome="not-run"\} 1/);
});

test('no job is refused on behalf of a leader that has become silent', (t) => {
  // Guards against refusals that continue after the overload, as no newer record ends them.
  const service = new ControlledService();
  const job = { ...LONG_RUNNING_JOB, steps: [PLAIN_STEP] };
  service.view.readRefusals({ [capacityClassOf('full', false)]: 2_500 });
  const nowMs = performance.now();
  t.mock.method(performance, 'now', () => nowMs + 2_000);
  assert.equal(service.refusalMs(job, 'full'), undefined);
});

/** Returns a job whose tasks all have to be started. */
function jobOf(id: string, taskCount: number): JobSpec {
  return { ...LONG_RUNNING_JOB, id, steps: [{ ...PLAIN_STEP, taskCount }] };
}

test('jobs are refused while the stored jobs have more tasks than the leader starts in 3 s', (t) => {
  // Guards against accepting jobs because the leader is silent: its backlog is as long as before.
  const service = new ControlledService();
  const stored = jobOf('00000000000000a1', 60);
  service.view.table.apply({ key: jobKey(stored.id), value: encodeJob(stored) });
  const job = jobOf('00000000000000a2', 1);
  assert.equal(service.refusalMs(job, 'full'), undefined);
  service.view.readStartRate(10);
  const nowMs = performance.now();
  t.mock.method(performance, 'now', () => nowMs + 60_000);
  assert.equal(service.refusalMs(job, 'full'), 3_000);
  assert.equal(service.refusalMs(stored, 'full'), undefined);
  assert.equal(service.refusalMs(LONG_RUNNING_JOB, 'full'), undefined);
  service.view.table.apply({ key: cancelKey(stored.id), value: '1' });
  assert.equal(service.refusalMs(job, 'full'), undefined);
});

test('less urgent jobs leave half of the backlog of the leader to urgent ones', () => {
  // Guards against refusing urgent jobs for the sake of less urgent ones, and against accepting them
  // while the less urgent jobs that are accepted already wait for longer than they may.
  const service = new ControlledService();
  service.view.readStartRate(10);
  const stored = { ...jobOf('00000000000000a1', 20), queue: LESS_URGENT_QUEUE.name };
  service.view.table.apply({ key: jobKey(stored.id), value: encodeJob(stored) });
  const urgent = { ...jobOf('00000000000000a2', 1), queue: QUEUE.name };
  const lessUrgent = { ...urgent, queue: LESS_URGENT_QUEUE.name };
  assert.equal(service.refusalMs(urgent, 'full'), undefined);
  assert.equal(service.refusalMs(lessUrgent, 'full'), 500);
  service.view.readStartRate(5);
  assert.equal(service.refusalMs(urgent, 'full'), 1_000);
});

test('the jobs that other nodes have just stored count before a job is accepted', async () => {
  // Guards against nodes that each accept as many jobs as the leader can start in all.
  const service = new ControlledService();
  service.view.readStartRate(10);
  const job = jobOf('00000000000000a2', 1);
  assert.equal(service.refusalMs(job, 'full'), undefined);
  const other = jobOf('00000000000000a1', 60);
  const submitted = service.submitJob(job);
  await nextEventLoopTurn();
  service.log.records.push({ key: jobKey(other.id), value: encodeJob(other) });
  service.log.answer('moved');
  assert.equal(await submitted, 'not-run');
  assert.equal(service.refusalMs(job, 'full'), 3_000);
  assert.equal(service.log.appends.length, 1);
});

test('a job whose first append has no answer is never reported as not run, whatever waits', async () => {
  // Guards against refusing a job for the backlog after it may have been stored.
  const service = new ControlledService();
  service.view.readStartRate(10);
  const submitted = service.submitJob(jobOf('00000000000000a2', 1));
  await nextEventLoopTurn();
  service.log.answer('unknown');
  await nextEventLoopTurn();
  assert.equal(service.log.appends.length, 2);
  service.log.answer('refused');
  assert.equal(await submitted, 'unknown');
});
