import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { WorkerEntry } from '../worker.js';
import { SchedulerHarness, jobSpec, stepSpec, workerEntry } from './scheduler-harness.js';

const WORKERS = 40;

const JOBS = 500;

/** So many kinds of tasks are among the jobs; those of one kind can run on the same workers. */
const KINDS = 3;

/** Counts looks at workers: each asks whether the worker is draining. */
class CountedWorkers {
  looks = 0;

  readonly entries: readonly WorkerEntry[] = Array.from({ length: WORKERS }, (_, i) => {
    const look = (): void => {
      this.looks += 1;
    };
    return {
      ...workerEntry(`w${i}`),
      get draining() {
        look();
        return false;
      },
    };
  });
}

function submit(harness: SchedulerHarness, count: number): void {
  for (let i = 0; i < count; i += 1) {
    const id = harness.scheduler.jobs.size.toString(16).padStart(16, '0');
    harness.submit(jobSpec([stepSpec({ cpuMilli: 8_000 - (i % KINDS) })], { id }));
  }
}

test('what a round looks at does not rise with the number of jobs that wait', () => {
  // After a takeover hundreds of jobs wait for the room of few. Each round looked at every worker
  // for each of them, in one piece: with 440 workers and 1,900 jobs for seconds on a node with a
  // third of a core, which renewed no lease meanwhile. Where one task found no place, the next one
  // that claims the same finds none in that round either.
  const workers = new CountedWorkers();
  const harness = new SchedulerHarness(workers.entries);
  submit(harness, JOBS);
  assert.equal(harness.starts().length, WORKERS);
  workers.looks = 0;
  assert.equal(harness.starts().length, 0);
  // One look for each kind and worker, and one for each run whether it must leave.
  const most = (KINDS + 1) * WORKERS;
  assert.ok(workers.looks <= most, `${workers.looks} looks`);
});

test('looks at workers in a round that fills them follow the starts, not all that waits', () => {
  // The first round of a new term finds room and starts many tasks. After each start it looked at
  // all workers anew, though but one of them had changed.
  const workers = new CountedWorkers();
  const harness = new SchedulerHarness(workers.entries);
  submit(harness, JOBS);
  workers.looks = 0;
  const starts = harness.starts().length;
  assert.equal(starts, WORKERS);
  // One for each kind and worker, one for each kind after a start, and one for each run.
  const most = KINDS * WORKERS + (KINDS + 1) * starts;
  assert.ok(workers.looks <= most, `${workers.looks} looks`);
});

test('room that a gang tried and gave back is there for the next tasks of the same kind', () => {
  // The first gang has one member too many: its trial fills the workers, and leaves them empty. The
  // second one, whose members claim the same, must not be told that there is no room.
  const harness = new SchedulerHarness([workerEntry('w1'), workerEntry('w2')]);
  const member = { gang: true, cpuMilli: 8_000 };
  harness.submit(jobSpec([stepSpec({ ...member, taskCount: 3 })], { id: 'three' }));
  harness.submit(jobSpec([stepSpec({ ...member, taskCount: 2 })], { id: 'two' }));
  const started = harness.starts().map(({ task }) => task.jobId);
  assert.deepEqual(started, ['two', 'two']);
});
