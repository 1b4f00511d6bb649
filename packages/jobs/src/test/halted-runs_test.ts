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

const BEST_EFFORT = stepSpec({ fills: true, image: 'crunch' });

/** Runs the only task of a job beside a serving task that misses its target from now on. */
function startBesideMissedTarget(): {
  harness: SchedulerHarness;
  web: Order;
  bestEffort: Order;
} {
  const harness = new SchedulerHarness([workerEntry('w1')]);
  harness.submit(jobSpec([SERVING], { id: '00000000000000a1' }));
  harness.submit(jobSpec([BEST_EFFORT], { id: '00000000000000a2', acceptedMs: harness.nowMs }));
  const starts = harness.starts();
  for (const start of starts) harness.answer(start, 'done');
  const startOf = (id: string): Order => starts.find(({ task }) => task.jobId.endsWith(id))!;
  return { harness, web: startOf('a1'), bestEffort: startOf('a2') };
}

/** Simulates five seconds of reports, and returns the stops that were ordered. */
function stopsInFiveSeconds({
  harness,
  web,
  bestEffort,
}: ReturnType<typeof startBesideMissedTarget>): Order[] {
  const stops: Order[] = [];
  for (let report = 0; report < 10; report += 1) {
    harness.nowMs += 500;
    const rows = [
      runningRow(web, { percent: 100, measure: 25 }),
      runningRow(bestEffort, { percent: Math.min(10 + report, 13) }),
    ];
    harness.report('w1', { running: rows });
    for (const { entry } of harness.scheduler.workers.values()) {
      if (entry.id !== 'w1') harness.report(entry.id);
    }
    stops.push(...harness.stops());
  }
  return stops;
}

test('the only running task of a job is moved to another worker when it is halted', () => {
  // Guards against counting a job as running while its only task has been halted for half a minute
  // and other workers have capacity.
  const scene = startBesideMissedTarget();
  scene.harness.scheduler.listWorker(workerEntry('w2'), scene.harness.nowMs);
  scene.harness.report('w2');
  const [stop] = stopsInFiveSeconds(scene);
  assert.equal(stop?.task.jobId, scene.bestEffort.task.jobId);
  scene.harness.report('w1', {
    running: [runningRow(scene.web, { percent: 100, measure: 25 })],
    ended: [scene.harness.end(scene.bestEffort, 'stopped')],
  });
  assert.deepEqual(
    scene.harness.starts().map(({ worker }) => worker),
    ['w2'],
  );
});

test('a halted task is not stopped if it fits on no other worker', () => {
  // Guards against losing work by a stop that helps nobody.
  assert.deepEqual(stopsInFiveSeconds(startBesideMissedTarget()), []);
});
