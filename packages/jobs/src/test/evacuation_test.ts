import assert from 'node:assert/strict';
import { test } from 'node:test';
import { evacuatedKeyOf, retryDelayMs } from '../admission.js';
import type { StepSpec } from '../job.js';
import {
  JOB_ID,
  QUEUE,
  SchedulerHarness,
  jobSpec,
  runningRow,
  stepSpec,
  workerEntry,
} from './scheduler-harness.js';

const IN_A = workerEntry('a1', { dataCentre: 'a' });

const IN_B = workerEntry('b1', { dataCentre: 'b' });

const evacuate = ({ scheduler, nowMs }: SchedulerHarness, ...names: string[]): void =>
  scheduler.setEvacuated(new Set(names), nowMs);

const KINDS: Readonly<Record<string, Partial<StepSpec>>> = {
  plain: {},
  'long-running': { lasting: true },
  'best-effort': { fills: true },
  gang: { gang: true },
  'with its data there': { dataRack: 'r1' },
};

for (const [kind, changes] of Object.entries(KINDS)) {
  test(`no task is started in an evacuated data centre: ${kind}`, () => {
    const near = workerEntry('a1', { dataCentre: 'a', labels: ['r1'] });
    const harness = new SchedulerHarness([near, IN_B]);
    evacuate(harness, 'a');
    harness.submit(jobSpec([stepSpec({ ...changes, taskCount: 2 })]));
    const starts = harness.starts();
    assert.deepEqual([...new Set(starts.map(({ worker }) => worker))], ['b1']);
  });
}

test('a job that has been idle for long is not started in an evacuated data centre either', () => {
  // Guards against a priority start, or held capacity, that bypasses the evacuation.
  const harness = new SchedulerHarness([IN_A]);
  evacuate(harness, 'a');
  harness.submit(jobSpec([stepSpec({ cpuMilli: 8_000 })]));
  for (let i = 0; i < 60; i += 1) {
    harness.nowMs += 250;
    harness.report('a1');
    assert.deepEqual(harness.starts(), []);
  }
  evacuate(harness);
  assert.equal(harness.starts().length, 1);
});

test('a start that is still queued when its data centre is evacuated is not sent', () => {
  const harness = new SchedulerHarness([IN_A]);
  harness.submit(jobSpec([stepSpec()]));
  const [start] = harness.starts();
  assert.ok(harness.scheduler.shouldSend(start!));
  evacuate(harness, 'a');
  assert.ok(!harness.scheduler.shouldSend(start!));
});

test('a worker that is listed during the evacuation gets no task', () => {
  // A later leader knows the worker from a running task first, without its data centre.
  const harness = new SchedulerHarness([]);
  evacuate(harness, 'a');
  harness.scheduler.listWorker(IN_A, harness.nowMs);
  harness.report('a1');
  harness.submit(jobSpec([stepSpec()]));
  assert.deepEqual(harness.starts(), []);
  harness.scheduler.listWorker({ ...IN_A, dataCentre: 'b' }, harness.nowMs);
  assert.equal(harness.starts().length, 1);
});

test('tasks that run in a data centre when it is evacuated continue', () => {
  const harness = new SchedulerHarness([IN_A, IN_B]);
  harness.submit(jobSpec([stepSpec({ lasting: true, taskCount: 2, maxPerWorker: 1 })]));
  const starts = harness.starts();
  for (const start of starts) {
    harness.answer(start, 'done');
    harness.report(start.worker, { running: [runningRow(start, { percent: 100 })] });
  }
  evacuate(harness, 'a');
  harness.nowMs += 100;
  assert.deepEqual(harness.stops(), []);
  assert.equal(harness.scheduler.evacuatedRuns(), 1);
});

test('an evacuated data centre counts as no capacity', () => {
  const harness = new SchedulerHarness([IN_A, IN_B]);
  evacuate(harness, 'a');
  harness.submit(jobSpec([stepSpec({ taskCount: 4 })]));
  harness.decide();
  assert.equal(harness.scheduler.backlog(harness.nowMs).reservedPercent, 50);
});

test('jobs that only evacuated data centres could run are refused at once', () => {
  const labelled = workerEntry('a1', { dataCentre: 'a', labels: ['fast', 'common'] });
  const other = workerEntry('b1', { dataCentre: 'b', labels: ['common'] });
  const harness = new SchedulerHarness([labelled, other]);
  const refusalMs = (step: Partial<StepSpec>): number | undefined =>
    retryDelayMs(jobSpec([stepSpec(step)]), QUEUE, harness.scheduler.retryAfter(harness.nowMs));
  assert.equal(refusalMs({ requiredLabel: 'fast' }), undefined);
  evacuate(harness, 'a');
  assert.ok(refusalMs({ requiredLabel: 'fast' })! > 0);
  assert.equal(refusalMs({ requiredLabel: 'common' }), undefined);
  assert.equal(refusalMs({}), undefined);
  evacuate(harness, 'a', 'b');
  for (const step of [{}, { requiredLabel: 'common' }, { lasting: true }, { fills: true }])
    assert.ok(refusalMs(step)! > 0);
  evacuate(harness);
  assert.equal(refusalMs({ requiredLabel: 'fast' }), undefined);
});

test('a scheduled job is accepted while all data centres are evacuated', () => {
  const schedule = { firstDueMs: 60_000, intervalMs: 1_000, count: 2 };
  const spec = jobSpec([stepSpec()], { schedule });
  assert.equal(retryDelayMs(spec, QUEUE, { [evacuatedKeyOf(QUEUE.pool)]: 2_000 }), undefined);
});

test('accepted jobs wait for the end of the evacuation and are done then', () => {
  const harness = new SchedulerHarness([IN_A]);
  evacuate(harness, 'a');
  const job = harness.submit(jobSpec([stepSpec()]));
  harness.nowMs += 30_000;
  harness.report('a1');
  assert.deepEqual(harness.starts(), []);
  evacuate(harness);
  const [start] = harness.starts();
  harness.answer(start!, 'done');
  harness.report('a1', { ended: [harness.end(start!, 'done')] });
  harness.decide();
  assert.equal(job.state, 'completed');
});

test('after an evacuation the workers of the data centre are used again one after another', () => {
  // Guards against all new tasks going to workers that may be slow at first.
  const workers = ['a1', 'a2', 'a3', 'a4'].map((id) => workerEntry(id, { dataCentre: 'a' }));
  const harness = new SchedulerHarness(workers);
  evacuate(harness, 'a');
  harness.submit(jobSpec([stepSpec({ cpuMilli: 8_000, taskCount: 4 })], { id: JOB_ID }));
  assert.deepEqual(harness.starts(), []);
  evacuate(harness);
  const counts = [0, 600, 1_200, 1_800].map((sinceMs) => {
    harness.nowMs += sinceMs === 0 ? 0 : 600;
    return harness.starts().length;
  });
  assert.deepEqual(counts, [1, 1, 1, 1]);
});
