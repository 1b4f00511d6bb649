import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Subject } from 'rxjs';
import type { JobSpec, QueuePolicy, RetryAfter } from '@redwingcrank/jobs';
import { PLAIN_STEP, capacityClassOf } from '@redwingcrank/jobs';
import { WorkTable } from '../internal/work-table.js';
import { steadyMs } from '../internal/delay.js';
import { JobService } from '../job-service.js';
import { NodeMetrics } from '../internal/node-metrics.js';
import { encodeLeader, leaderKey } from '../internal/work-records.js';
import type { WorkView } from '../job-service.js';
import type { AppendResult, KeyedWrite } from '../keyed-log.js';
import { NodeLog } from '../node-log.js';
import { StaticLog } from './static-log.js';
import { LONG_RUNNING_JOB } from './job-fixtures.js';
import { leaderRecord } from './leader-record.js';

/** Jobs are stored one append at a time, each when the test says so. */
class HeldLog extends StaticLog {
  readonly appends: (readonly KeyedWrite[])[] = [];

  #settle: ((result: AppendResult) => void)[] = [];

  override append(records: readonly KeyedWrite[]): Promise<AppendResult> {
    this.appends.push(records);
    return new Promise((resolve) => {
      this.#settle.push(resolve);
    });
  }

  answer(outcome: AppendResult['outcome']): void {
    this.#settle.shift()!({ outcome, reason: '' });
  }
}

/** A view of a store that can be lost. */
class LosableView implements WorkView {
  readonly table = new WorkTable('n1');

  /** A record of the scheduling node is read, by which pools take no more jobs. */
  refuse(retryAfterMs: RetryAfter): void {
    const value = encodeLeader(leaderRecord({ retryAfterMs }));
    this.table.apply({ key: leaderKey(), value });
  }

  readonly lost$ = new Subject<void>();

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

/** A service whose store the test plays. */
class HeldService {
  readonly log = new HeldLog();

  readonly view = new LosableView();

  readonly nodeLog = new NodeLog('n1', 'silent');

  readonly #service = new JobService(this.view, this.log, this.nodeLog);

  refusalMs(spec: JobSpec, pool: string): number | undefined {
    return this.#service.refusalMs(spec, { ...QUEUE, pool });
  }

  submit(id: string, waitMs = 3_000): Promise<string> {
    return this.#service.submit({ ...LONG_RUNNING_JOB, id }, steadyMs() + waitMs);
  }
}

function nextTurn(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

test('a job that waits for its turn when the store is lost is refused, and never sent', async () => {
  // Guards against "unknown" for a job that certainly has not run, and against storing it later.
  const held = new HeldService();
  const sent = held.submit('00000000000000a1');
  const waiting = held.submit('00000000000000a2');
  held.view.lose();
  assert.deepEqual(await Promise.all([sent, waiting]), ['unknown', 'not-run']);
  held.log.answer('unknown');
  await nextTurn();
  assert.equal(held.log.appends.length, 1);
});

test('a job that waits for its turn until its time is over is refused, and never sent', async () => {
  // Guards against the same behind an append that a slow store holds up.
  const held = new HeldService();
  const sent = held.submit('00000000000000a1');
  const waiting = held.submit('00000000000000a2', 50);
  assert.equal(await waiting, 'not-run');
  held.log.answer('appended');
  assert.equal(await sent, 'accepted');
  assert.equal(held.log.appends.length, 1);
});

test('a job that was sent once without an answer is never said not to have run', async () => {
  // Guards against a refusal of the second attempt that hides that the first may be stored.
  const held = new HeldService();
  const submitted = held.submit('00000000000000a1');
  held.log.answer('unknown');
  while (held.log.appends.length < 2) await nextTurn();
  held.log.answer('refused');
  assert.equal(await submitted, 'unknown');
});

test('a job that would wait too long for its turn is refused, unless it stands already', async () => {
  // Guards against jobs that are accepted and starve, against refusing what other room is there for,
  // and against telling a caller that a stored job has not run.
  const held = new HeldService();
  const job = { ...LONG_RUNNING_JOB, id: '00000000000000a1', steps: [PLAIN_STEP] };
  assert.equal(held.refusalMs(job, 'full'), undefined);
  held.view.refuse({ [capacityClassOf('full', false)]: 2_500 });
  assert.equal(held.refusalMs(job, 'full'), 2_500);
  assert.equal(held.refusalMs(job, 'empty'), undefined);
  const bestEffort = { ...PLAIN_STEP, fills: true };
  assert.equal(held.refusalMs({ ...job, steps: [bestEffort] }, 'full'), undefined);
  assert.equal(held.refusalMs({ ...job, steps: [bestEffort, PLAIN_STEP] }, 'full'), 2_500);
  assert.equal(held.refusalMs(LONG_RUNNING_JOB, 'full'), undefined);

  const stored = held.submit(job.id);
  held.log.answer('appended');
  assert.equal(await stored, 'accepted');
  assert.equal(held.refusalMs(job, 'full'), undefined);
});

test('a refused job is counted by the metrics', async () => {
  // Guards against a line that the metrics cannot count: the caller would get an error for a refusal.
  const held = new HeldService();
  const state = { isLeading: false, viewAgeMs: 0, jobs: new Map(), faults: [] };
  const metrics = new NodeMetrics(held.nodeLog, () => state);
  held.view.refuse({ [capacityClassOf('full', false)]: 2_500 });
  held.refusalMs({ ...LONG_RUNNING_JOB, steps: [PLAIN_STEP] }, 'full');
  assert.match(await metrics.text(), /submit_duration_seconds_count\{outcome="not-run"\} 1/);
});

test('a scheduling node that has fallen silent keeps no job out', (t) => {
  // Guards against refusals that go on after the crowd, as nobody says that it is over.
  const held = new HeldService();
  const job = { ...LONG_RUNNING_JOB, steps: [PLAIN_STEP] };
  held.view.refuse({ [capacityClassOf('full', false)]: 2_500 });
  const nowMs = performance.now();
  t.mock.method(performance, 'now', () => nowMs + 2_000);
  assert.equal(held.refusalMs(job, 'full'), undefined);
});
