import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  SchedulerHarness,
  jobSpec,
  runningRow,
  stepSpec,
  workerEntry,
} from './scheduler-harness.js';

/** How long after a crash the next incarnation of a worker listens, in milliseconds. */
const RESTART_MS = 3_000;

/** Starts that the users allow: until three workers have crashed, and fewer than three more. */
const MAX_STARTS = 5;

/** Ends a worker's process; after some seconds another one with a new id listens at its address. */
function crash(harness: SchedulerHarness, id: string): void {
  const { entry } = harness.scheduler.workers.get(id)!;
  harness.nowMs += RESTART_MS;
  harness.scheduler.workerEnded(id, harness.nowMs, 'test');
  const next = workerEntry(`${id}x`, { address: entry.address });
  harness.scheduler.listWorker(next, harness.nowMs);
  for (const worker of harness.scheduler.workers.values()) {
    const running = [...worker.runs.values()].map(({ ref, run }) =>
      runningRow({ kind: 'stop', worker: worker.entry.id, task: ref, run }),
    );
    harness.report(worker.entry.id, { running });
  }
}

test('a task whose workers end right after they start it is given up', () => {
  // Guards against a task that ends one worker after the other, with all other runs there, for ever.
  const harness = new SchedulerHarness(['w1', 'w2', 'w3'].map((id) => workerEntry(id)));
  const job = harness.submit(jobSpec([stepSpec()]));
  let startCount = 0;
  for (let round = 0; round < 20; round += 1) {
    for (const start of harness.starts()) {
      startCount += 1;
      harness.answer(start, 'done');
      crash(harness, start.worker);
    }
  }
  assert.ok(startCount <= MAX_STARTS, `${startCount} starts`);
  assert.equal(job.state, 'failed');
});
