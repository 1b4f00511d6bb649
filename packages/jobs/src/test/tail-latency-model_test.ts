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

const TARGET_MS = 20;

/** Reports arrive twice a second. */
const REPORT_MS = 500;

/** The slack that the best-effort image takes if it uses all of a worker's processors. */
const INTERFERENCE_WEIGHT = 6;

const SERVING = stepSpec({
  lasting: true,
  targetMs: TARGET_MS,
  image: 'web',
  cpuMilli: 4_000,
  taskCount: 2,
  maxPerWorker: 1,
});

const LOUD = stepSpec({ fills: true, image: 'loud', cpuMilli: 800 });

/** Returns two workers with one task each of a serving step, whose tail latencies the test sets. */
function twoServing(): { harness: SchedulerHarness; webs: Order[] } {
  const harness = new SchedulerHarness([workerEntry('w1'), workerEntry('w2')]);
  harness.submit(jobSpec([SERVING], { id: '00000000000000a1' }));
  const webs = harness.starts();
  for (const start of webs) harness.answer(start, 'done');
  return { harness, webs };
}

/** Teaches the model the interference of the best-effort image with the serving one. */
function learnInterference(harness: SchedulerHarness): void {
  for (let i = 0; i < 200; i += 1) {
    const part = i % 2 ? 0.1 : 0;
    const parts = new Map([['loud', part]]);
    harness.model.interference.learn({ image: 'web', slack: -INTERFERENCE_WEIGHT * part, parts });
  }
}

/** Sends one report of each worker, in which its serving task has this slack. */
function reportSlack(harness: SchedulerHarness, webs: readonly Order[], slack: number): void {
  harness.nowMs += REPORT_MS;
  for (const web of webs) {
    const running = [runningRow(web, { percent: 100, measure: TARGET_MS / slack })];
    harness.report(web.worker, { running });
  }
}

function startsLoud(slack: number): boolean {
  const { harness, webs } = twoServing();
  learnInterference(harness);
  for (let report = 0; report < 4; report += 1) reportSlack(harness, webs, slack);
  harness.submit(jobSpec([LOUD], { id: '00000000000000a2' }));
  return harness.starts().some(({ task }) => task.jobId.endsWith('a2'));
}

test('an image that interferes with every serving task still runs beside those with a low load', () => {
  // Every worker serves, and the best-effort image interferes with every serving task. If it were
  // kept away from all of them, its jobs would never end. Beside tasks that are far from their
  // targets at the moment a few of its tasks do no harm; beside tasks near their targets they
  // would.
  assert.equal(startsLoud(2.5), true);
  assert.equal(startsLoud(1.3), false);
});

test('an interfering task is not started if the tail latency is about to rise', () => {
  // The slack is still large enough, but falls with each report because the load of the serving
  // task rises. Once the best-effort task runs, the tail latency would be over its target.
  const { harness, webs } = twoServing();
  learnInterference(harness);
  for (const slack of [3, 2.8, 2.6, 2.4, 2.2, 2]) reportSlack(harness, webs, slack);
  harness.submit(jobSpec([LOUD], { id: '00000000000000a2' }));
  assert.deepEqual(harness.starts(), []);
});

test("an oscillation of a step's own load is not attributed to best-effort tasks beside it", () => {
  // The loads of both serving tasks rise and fall together. A harmless best-effort image runs
  // beside one of them, and happens to use most of the processors at peak load. Its learned weight
  // must be close to zero; otherwise it would be halted at the next peak and its jobs would end
  // late without need.
  const { harness, webs } = twoServing();
  harness.submit(jobSpec([stepSpec({ fills: true, image: 'quiet' })], { id: '00000000000000a2' }));
  const [quiet] = harness.starts();
  harness.answer(quiet!, 'done');
  for (let report = 0; report < 120; report += 1) {
    const load = Math.sin(report / 4);
    harness.nowMs += REPORT_MS;
    for (const web of webs) {
      const running = [runningRow(web, { percent: 100, measure: TARGET_MS / (2.3 - load) })];
      if (quiet!.worker === web.worker) {
        const measure = 800 * (1 + load);
        running.push(runningRow(quiet!, { percent: report % 100, measure }));
      }
      harness.report(web.worker, { running });
    }
  }
  assert.ok(harness.model.interference.weight('web', 'quiet') < 1.5);
});

test('a new leader starts from the interference that the one before has learned', () => {
  // A new leader without what the failed one has learned would place the loud image beside serving
  // tasks with little slack, whose users would have to wait until the interference is learned
  // again.
  const before = twoServing();
  learnInterference(before.harness);
  const { harness, webs } = twoServing();
  harness.scheduler.restoreLearned(before.harness.scheduler.learned);
  for (let report = 0; report < 4; report += 1) reportSlack(harness, webs, 1.3);
  harness.submit(jobSpec([LOUD], { id: '00000000000000a2' }));
  assert.deepEqual(harness.starts(), []);
});
