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

/** Reports come twice a second. */
const REPORT_MS = 500;

/** A worker's whole processors in use by the filling image take this much slack. */
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

/** Two workers with a task each of a serving step, whose tails are as the test says. */
function twoServing(): { harness: SchedulerHarness; webs: Order[] } {
  const harness = new SchedulerHarness([workerEntry('w1'), workerEntry('w2')]);
  harness.submit(jobSpec([SERVING], { id: '00000000000000a1' }));
  const webs = harness.starts();
  for (const start of webs) harness.answer(start, 'done');
  return { harness, webs };
}

/** What the filling image does to the serving one is known. */
function learnInterference(harness: SchedulerHarness): void {
  for (let i = 0; i < 200; i += 1) {
    const part = i % 2 ? 0.1 : 0;
    const parts = new Map([['loud', part]]);
    harness.model.interference.learn({ image: 'web', slack: -INTERFERENCE_WEIGHT * part, parts });
  }
}

/** One report of each worker in which its serving task has this slack. */
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

test('an image that disturbs every serving task still runs, beside those with little to do', () => {
  // Every worker serves, and the filling image lengthens every tail. Kept away from all of them
  // for good, its jobs would never end. Beside tasks that are far from their targets just now a
  // few of its tasks do no harm; beside tasks near their targets they would.
  assert.equal(startsLoud(2.5), true);
  assert.equal(startsLoud(1.3), false);
});

test('a tail that is about to grow is no place for a disturbing image', () => {
  // The slack is still large enough, but falls report by report: the serving task's callers are
  // on their way up. When the filling task has come to work, the tail would be over its target.
  const { harness, webs } = twoServing();
  learnInterference(harness);
  for (const slack of [3, 2.8, 2.6, 2.4, 2.2, 2]) reportSlack(harness, webs, slack);
  harness.submit(jobSpec([LOUD], { id: '00000000000000a2' }));
  assert.deepEqual(harness.starts(), []);
});

test("the swing of a step's own load is not blamed on what happens to work beside it", () => {
  // The callers of both serving tasks come and go together. A harmless filling image works beside
  // one of them, and happens to work hardest while there is most to serve. Its weight must come
  // out near nothing: else it is halted at the next swing, and its jobs end late for no reason.
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

test('a later scheduling node starts from what the one before has learned', () => {
  // The scheduling node dies. The next one knows nothing of the images: it would put the loud one
  // beside serving tasks with little slack, whose users wait until it has learned once more.
  const before = twoServing();
  learnInterference(before.harness);
  const { harness, webs } = twoServing();
  harness.scheduler.restoreLearned(before.harness.scheduler.learned);
  for (let report = 0; report < 4; report += 1) reportSlack(harness, webs, 1.3);
  harness.submit(jobSpec([LOUD], { id: '00000000000000a2' }));
  assert.deepEqual(harness.starts(), []);
});
