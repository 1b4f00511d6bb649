import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Order } from '../order.js';
import {
  SchedulerHarness,
  jobSpec,
  runningRow,
  stepSpec,
  workerEntry,
} from './scheduler-harness.js';

const SERVING = stepSpec({ lasting: true, targetMs: 20, image: 'web', cpuMilli: 4_000 });
const BEST_EFFORT = stepSpec({ fills: true, image: 'crunch', taskCount: 2, checkpointing: true });

/** One worker with a serving task and two best-effort ones, all started. */
function coLocatedTasks(): { harness: SchedulerHarness; web: Order; bestEffort: Order[] } {
  const harness = new SchedulerHarness([workerEntry('w1')]);
  harness.submit(jobSpec([SERVING], { id: '00000000000000a1' }));
  harness.submit(jobSpec([BEST_EFFORT], { id: '00000000000000a2' }));
  const starts = harness.starts();
  for (const start of starts) harness.answer(start, 'done');
  const web = starts.find(({ task }) => task.jobId.endsWith('a1'))!;
  return { harness, web, bestEffort: starts.filter((start) => start !== web) };
}

test('a target missed for over a second halts all best-effort tasks on the worker', () => {
  // The serving task's tail latency is over its target in report after report. Either nothing is
  // known about the images yet, or no image is known to interfere, and the best-effort tasks beside
  // it keep running. Whatever the cause, none of them may be running there after two seconds.
  const { harness, web, bestEffort } = coLocatedTasks();
  const paces = new Map<string, number>();
  for (let report = 0; report < 5; report += 1) {
    harness.nowMs += 500;
    harness.report('w1', {
      running: [
        runningRow(web, { percent: 100, measure: 21 }),
        ...bestEffort.map((start, i) =>
          runningRow(start, { percent: 10 + report, measure: i * 50 }),
        ),
      ],
    });
    for (const order of harness.decide().orders) {
      if (order.kind === 'pace') paces.set(`${order.task.index}`, order.percent);
    }
  }
  assert.deepEqual([...paces.values()], [0, 0]);
});

test('a target missed for over a second also halts best-effort tasks not known to interfere', () => {
  // The model wrongly blames the loud image. It is halted, but the tail latency stays too long. The
  // quiet image keeps running, because what was learned does not change within seconds.
  const harness = new SchedulerHarness([workerEntry('w1')]);
  for (let i = 0; i < 100; i += 1) {
    const parts = new Map([['loud', i % 2 ? 0.3 : 0]]);
    harness.model.interference.learn({ image: 'web', slack: i % 2 ? 1 / 3 : 2, parts });
  }
  harness.submit(jobSpec([SERVING], { id: '00000000000000a1' }));
  const loudStep = stepSpec({ fills: true, image: 'loud', cpuMilli: 200 });
  harness.submit(jobSpec([loudStep, { ...loudStep, image: 'quiet' }], { id: '00000000000000a2' }));
  const [web, loud, quiet] = harness.starts();
  assert.ok(web && loud && quiet);
  for (const start of [web, loud, quiet]) harness.answer(start, 'done');
  let quietPace = 100;
  for (let report = 0; report < 4; report += 1) {
    harness.nowMs += 500;
    harness.report('w1', {
      running: [
        runningRow(web, { percent: 100, measure: 30 }),
        runningRow(loud, { percent: report + 1, measure: 800 }),
        runningRow(quiet, { percent: report + 1, measure: 200 }),
      ],
    });
    for (const order of harness.decide().orders) {
      if (order.kind === 'pace' && order.task.step === 1) quietPace = order.percent;
    }
  }
  assert.equal(quietPace, 0);
});

test('no best-effort task is started beside a serving task that misses its target', () => {
  // The next best-effort job would start at full speed and prolong the time over the target.
  const { harness, web } = coLocatedTasks();
  harness.nowMs += 500;
  harness.report('w1', { running: [runningRow(web, { percent: 100, measure: 30 })] });
  harness.submit(jobSpec([BEST_EFFORT], { id: '00000000000000a3' }));
  const started = harness.starts().filter(({ task }) => task.jobId.endsWith('a3'));
  assert.deepEqual(started, []);
});

test('a target that was missed for long is logged, with how long best-effort tasks worked beside it', () => {
  // Guards against a log from which nobody can tell whether a promise to the users of a serving task
  // was broken by the tasks beside it.
  const { harness, web, bestEffort } = coLocatedTasks();
  const report = (measure: number): void => {
    harness.nowMs += 500;
    const beside = bestEffort.map((start) => runningRow(start, { percent: 10 }));
    harness.report('w1', { running: [runningRow(web, { percent: 100, measure }), ...beside] });
    harness.decide();
  };
  for (const measure of [10, 30, 30, 10]) report(measure);
  assert.deepEqual(harness.fieldsOf('target-missed'), []);
  for (const measure of [30, 30, 30, 30, 30, 30, 10]) report(measure);
  const [{ missedMs, besideMs } = {}] = harness.fieldsOf('target-missed');
  assert.equal(missedMs, 3_000);
  assert.ok(Number(besideMs) > 0 && Number(besideMs) < 3_000);
});
