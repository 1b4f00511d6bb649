import assert from 'node:assert/strict';
import { test } from 'node:test';
import { JobProgress } from '../job-progress.js';
import type { TaskProgress } from '../job-progress.js';
import type { Order } from '../order.js';
import { taskName } from '../task-ref.js';
import type { WorkerEntry } from '../worker.js';
import {
  SchedulerHarness,
  TIMING,
  jobSpec,
  runningRow,
  stepSpec,
  workerEntry,
} from './scheduler-harness.js';

type Start = Order & { kind: 'start' };

/** How long after a crash the next incarnation of a worker listens, in milliseconds. */
const RESTART_MS = 3_000;

/** Starts that the users allow: until three workers have crashed, and fewer than three more. */
const MAX_STARTS = 5;

/** How long a run must have worked to be no suspect, in milliseconds. */
const CRASH_SUSPECT_MS = 2_000;

function threeWorkers(): SchedulerHarness {
  return new SchedulerHarness(['w1', 'w2', 'w3'].map((id) => workerEntry(id)));
}

function list(harness: SchedulerHarness, entry: WorkerEntry): void {
  harness.scheduler.listWorker(entry, harness.nowMs);
  reportRuns(harness, entry.id);
}

/** Has a worker report that all of its runs are running. */
function reportRuns(harness: SchedulerHarness, id: string): void {
  const { runs } = harness.scheduler.workers.get(id)!;
  const running = [...runs.values()].map(({ ref, run }) =>
    runningRow({ kind: 'stop', worker: id, task: ref, run }),
  );
  harness.report(id, { running });
}

/** Ends a worker's process; after some seconds another one with a new id listens at its address. */
function crash(harness: SchedulerHarness, id: string): void {
  const { entry } = harness.scheduler.workers.get(id)!;
  harness.nowMs += RESTART_MS;
  harness.scheduler.workerEnded(id, harness.nowMs, 'test');
  list(harness, workerEntry(`${id}x`, { address: entry.address }));
  for (const other of harness.scheduler.workers.keys()) reportRuns(harness, other);
}

/** Starts the only waiting task, and confirms the start. */
function startOne(harness: SchedulerHarness): Start {
  const starts = harness.starts();
  assert.equal(starts.length, 1);
  harness.answer(starts[0]!, 'done');
  return starts[0]!;
}

/** Starts the only waiting task, and ends its worker. */
function startAndCrash(harness: SchedulerHarness): void {
  crash(harness, startOne(harness).worker);
}

/** Sends the start of the only waiting task, and ends its worker before it has answered. */
function crashUnanswered(harness: SchedulerHarness): void {
  const starts = harness.starts();
  assert.equal(starts.length, 1);
  harness.scheduler.startSent(starts[0]!, harness.nowMs + 1_600, harness.nowMs);
  crash(harness, starts[0]!.worker);
}

/** Lets the runs of a worker work for so long that none of them is a suspect any more. */
function workOn(harness: SchedulerHarness, id: string, ms = CRASH_SUSPECT_MS): void {
  harness.nowMs += ms;
  reportRuns(harness, id);
}

function firstTask(job: JobProgress): TaskProgress {
  return job.occurrences.get(0)!.steps[0]![0]!;
}

/** Returns the names of the tasks to which crashes were attributed, in order. */
function suspects(harness: SchedulerHarness): unknown[] {
  return harness.fieldsOf('worker-crash').map(({ task }) => task);
}

/** Returns a job as the next leader reads it from the store. */
function stored(job: JobProgress): JobProgress {
  return JobProgress.decode(job.spec, job.encode());
}

test('a task whose workers end right after they start it is given up', () => {
  // Guards against a task that ends one worker after the other, with all other runs there, for ever.
  const harness = threeWorkers();
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

test('a long-running task whose workers end right after they start it is given up', () => {
  // Guards against the same for tasks that are otherwise restarted however they end.
  const harness = threeWorkers();
  const job = harness.submit(jobSpec([stepSpec({ lasting: true })]));
  for (let count = 0; count < 3; count += 1) startAndCrash(harness);
  assert.deepEqual(harness.starts(), []);
  assert.equal(job.state, 'failed');
  assert.equal(firstTask(job).phase, 'failed');
  const crashes = harness.fieldsOf('worker-crash');
  assert.deepEqual(crashes[1], {
    task: `${job.spec.id}.0.0.0`,
    run: 2,
    worker: 'w2',
    confirmed: true,
    crashWeight: 4,
  });
  assert.deepEqual(
    harness.fieldsOf('job-ended').map(({ state }) => state),
    ['failed'],
  );
});

test('a task whose workers end before they answer its start is given up', () => {
  // Guards against a task that ends its workers so early that no start of it is ever confirmed, and
  // against giving it up as fast as one that certainly began.
  const harness = threeWorkers();
  const job = harness.submit(jobSpec([stepSpec()]));
  for (let count = 1; count < MAX_STARTS; count += 1) {
    crashUnanswered(harness);
    assert.equal(firstTask(job).crashWeight, count);
    assert.equal(job.state, 'queued');
  }
  crashUnanswered(harness);
  assert.deepEqual(harness.starts(), []);
  assert.equal(job.state, 'failed');
  assert.deepEqual(
    harness.fieldsOf('worker-crash').map(({ confirmed }) => confirmed),
    Array<boolean>(MAX_STARTS).fill(false),
  );
});

test('crashes with and without an answer to the start add up', () => {
  // Guards against six starts of a task whose workers sometimes answer before they end, and against
  // giving up a task that has certainly begun on one worker only.
  const harness = threeWorkers();
  const job = harness.submit(jobSpec([stepSpec()]));
  startAndCrash(harness);
  crashUnanswered(harness);
  crashUnanswered(harness);
  assert.equal(firstTask(job).crashWeight, 4);
  assert.equal(job.state, 'running');
  crashUnanswered(harness);
  assert.equal(job.state, 'failed');

  const other = threeWorkers();
  const otherJob = other.submit(jobSpec([stepSpec()]));
  crashUnanswered(other);
  startAndCrash(other);
  assert.equal(firstTask(otherJob).crashWeight, 3);
  assert.equal(otherJob.state, 'running');
  startAndCrash(other);
  assert.equal(otherJob.state, 'failed');
});

test('a report confirms a start without an answer', () => {
  // Guards against counting a run as one that may never have begun although its worker listed it.
  const harness = threeWorkers();
  const job = harness.submit(jobSpec([stepSpec()]));
  const [start] = harness.starts();
  harness.scheduler.startSent(start!, harness.nowMs + 1_600, harness.nowMs);
  workOn(harness, start!.worker, CRASH_SUSPECT_MS / 2);
  crash(harness, start!.worker);
  assert.equal(firstTask(job).crashWeight, 2);
  assert.equal(harness.fieldsOf('worker-crash')[0]!.confirmed, true);
});

test('a task whose workers fall silent right after they start it is given up', () => {
  // Guards against the same where the worker is never replaced, or its successor is out of reach.
  const harness = threeWorkers();
  const job = harness.submit(jobSpec([stepSpec()]));
  let startCount = 0;
  for (let round = 0; round < 20; round += 1) {
    const starts = harness.starts();
    for (const start of starts) {
      startCount += 1;
      harness.answer(start, 'done');
      harness.scheduler.unlistWorker(start.worker);
      list(harness, workerEntry(`${start.worker}x`));
    }
    harness.nowMs += TIMING.inheritedLeaseMs;
    const silent = new Set(starts.map(({ worker }) => worker));
    for (const id of harness.scheduler.workers.keys()) {
      if (!silent.has(id)) reportRuns(harness, id);
    }
  }
  assert.ok(startCount <= MAX_STARTS, `${startCount} starts`);
  assert.equal(job.state, 'failed');
  assert.equal(harness.fieldsOf('leases-over').length, startCount);
});

test('a silent worker that was only out of reach counts for nothing once it reports again', () => {
  // Guards against giving up a task, as the link of one worker after the other is cut.
  const harness = new SchedulerHarness([workerEntry('w1')]);
  const job = harness.submit(jobSpec([stepSpec()]));
  const start = startOne(harness);
  harness.nowMs += 20_000;
  harness.decide();
  assert.equal(firstTask(job).crashWeight, 1);
  harness.report('w1', { ended: [harness.end(start, 'lapsed')] });
  harness.decide();
  assert.equal(firstTask(job).crashWeight, undefined);
});

test('the end of a worker counts for nothing where the task is bound elsewhere', () => {
  // Guards against counting a run twice: once as its worker fell silent, and again as the worker,
  // which still has the run, ends.
  const harness = new SchedulerHarness([workerEntry('w1')]);
  const job = harness.submit(jobSpec([stepSpec()]));
  const start = startOne(harness);
  harness.nowMs += 20_000;
  list(harness, workerEntry('w2'));
  assert.equal(startOne(harness).worker, 'w2');
  harness.report('w1', { running: [runningRow(start)] });
  assert.equal(harness.fieldsOf('stray-run').length, 1);
  harness.scheduler.workerEnded('w1', harness.nowMs, 'test');
  assert.equal(firstTask(job).crashWeight, 1);
});

test('the next leader counts on', () => {
  // Guards against a task that is never given up where the leader changes now and then.
  const first = threeWorkers();
  const job = first.submit(jobSpec([stepSpec()]));
  startAndCrash(first);
  startAndCrash(first);
  assert.equal(firstTask(job).crashWeight, 4);

  const next = threeWorkers();
  const read = stored(job);
  next.scheduler.addJob(read);
  startAndCrash(next);
  assert.equal(read.state, 'failed');
});

test('a run of an earlier leader counts if the process of its worker has ended', () => {
  // Guards against uncounted crashes where the leader is lost with the worker. No list has named the
  // worker yet; that it is treated as draining is no announcement to leave.
  const first = threeWorkers();
  const job = first.submit(jobSpec([stepSpec()]));
  const start = startOne(first);

  const next = new SchedulerHarness([workerEntry('w4')]);
  const read = stored(job);
  next.scheduler.addJob(read);
  next.scheduler.workerEnded(start.worker, next.nowMs, 'test');
  assert.equal(firstTask(read).crashWeight, 1);
});

test('a start that may never have reached its silent worker counts for nothing', () => {
  // Guards against giving up a task that has never begun: its start is lost because the link of the
  // worker is cut, or because the leader that bound it has ended, again and again.
  const harness = threeWorkers();
  const job = harness.submit(jobSpec([stepSpec()]));
  const [start] = harness.starts();
  harness.scheduler.startSent(start!, harness.nowMs + 1_600, harness.nowMs);
  harness.answer(start!, 'unknown');
  harness.scheduler.unlistWorker(start!.worker);
  harness.nowMs += TIMING.inheritedLeaseMs;
  const others = ['w1', 'w2', 'w3'].filter((id) => id !== start!.worker);
  for (const id of others) reportRuns(harness, id);
  harness.decide();
  assert.equal(harness.fieldsOf('leases-over').length, 1);

  const next = new SchedulerHarness([workerEntry('w4')]);
  const read = stored(job);
  next.scheduler.addJob(read);
  next.nowMs += TIMING.inheritedLeaseMs + 100;
  next.report('w4');
  next.decide();
  assert.equal(next.fieldsOf('leases-over').length, 1);
  assert.equal(firstTask(read).crashWeight, undefined);
  assert.deepEqual([...suspects(harness), ...suspects(next)], []);
});

test('a task that shared the worker of a crashing task completes', () => {
  // Guards against giving up the jobs of tasks that were beside the crashing one by chance.
  const harness = new SchedulerHarness([workerEntry('w1')]);
  const [crashing, early, late] = ['01', '02', '03'].map((end) =>
    jobSpec([stepSpec()], { id: `00000000000000${end}` }),
  );
  const crashingName = `${crashing!.id}.0.0.0`;
  const crashingJob = harness.submit(crashing!);
  const earlyJob = harness.submit(early!);

  // Both are suspects.
  for (const start of harness.starts()) harness.answer(start, 'done');
  crash(harness, 'w1');
  assert.deepEqual(suspects(harness).sort(), [crashingName, `${early!.id}.0.0.0`]);

  // On different workers: the innocent task ends well.
  list(harness, workerEntry('w2'));
  const starts = harness.starts();
  for (const start of starts) harness.answer(start, 'done');
  const [first, second] = starts.map(({ worker }) => worker);
  assert.notEqual(first, second);
  const done = starts.find(({ task }) => task.jobId === early!.id)!;
  harness.report(done.worker, { ended: [harness.end(done, 'done')] });
  crash(harness, starts.find(({ task }) => task.jobId === crashing!.id)!.worker);

  // Once more beside another task, which has no crashes yet and is counted for the first time.
  for (const id of [...harness.scheduler.workers.keys()]) harness.scheduler.unlistWorker(id);
  list(harness, workerEntry('w3'));
  const lateJob = harness.submit(late!);
  const shared = harness.starts();
  assert.equal(earlyJob.state, 'completed');
  assert.deepEqual(
    shared.map(({ worker }) => worker),
    ['w3', 'w3'],
  );
  for (const start of shared) harness.answer(start, 'done');
  crash(harness, 'w3');
  const lateName = `${late!.id}.0.0.0`;
  assert.deepEqual(suspects(harness).slice(2).sort(), [crashingName, crashingName, lateName]);
  assert.equal(crashingJob.state, 'failed');

  const again = startOne(harness);
  assert.equal(taskName(again.task), lateName);
  harness.report(again.worker, { ended: [harness.end(again, 'done')] });
  harness.decide();
  assert.equal(lateJob.state, 'completed');
});

test('a crashing task whose starts are not answered is limited beside tasks that have begun', () => {
  // Guards against a crashing task that is started without limit: only its neighbours, whose starts were
  // answered, were suspects.
  const harness = new SchedulerHarness(['w1', 'w2', 'w3', 'w4'].map((id) => workerEntry(id)));
  const crashing = harness.submit(jobSpec([stepSpec({ lasting: true })]));
  let startCount = 0;
  for (let round = 0; round < 20 && crashing.state !== 'failed'; round += 1) {
    for (let index = 0; index < 4; index += 1) {
      const id = `0000000000${String(round).padStart(3, '0')}${String(index).padStart(3, '0')}`;
      harness.submit(jobSpec([stepSpec()], { id }));
    }
    const starts = harness.starts();
    for (const start of starts) {
      harness.scheduler.startSent(start, harness.nowMs + 1_600, harness.nowMs);
      if (start.task.jobId !== crashing.spec.id) harness.answer(start, 'done');
    }
    const start = starts.find(({ task }) => task.jobId === crashing.spec.id);
    if (start) {
      startCount += 1;
      crash(harness, start.worker);
    }
  }
  assert.equal(crashing.state, 'failed');
  assert.ok(startCount <= MAX_STARTS, `${startCount} starts`);
});

test('suspects are started on different workers where there are enough', () => {
  // Guards against giving up the tasks that are started together with a crashing one each time, as
  // the worker with the most free capacity is the best for all of them.
  const harness = new SchedulerHarness([workerEntry('w1')]);
  harness.submit(jobSpec([stepSpec({ taskCount: 4 })]));
  for (const start of harness.starts()) harness.answer(start, 'done');
  crash(harness, 'w1');
  const large = { capacity: { cpuMilli: 64_000, memMb: 64_000, gpus: 0 } };
  list(harness, workerEntry('w2', large));
  list(harness, workerEntry('w3'));
  const workers = harness.starts().map(({ worker }) => worker);
  // The last one shares a worker: its job must not wait until another suspect has worked.
  assert.equal(workers.length, 4);
  assert.equal(new Set(workers).size, 3);
});

test('a long-running task that works between the crashes of its workers is never given up', () => {
  // Guards against giving up a task because of all the crashes in the weeks that it runs.
  const harness = threeWorkers();
  const job = harness.submit(jobSpec([stepSpec({ lasting: true })]));
  for (let round = 0; round < 10; round += 1) {
    const start = startOne(harness);
    workOn(harness, start.worker);
    crash(harness, start.worker);
  }
  assert.deepEqual(suspects(harness), []);
  for (let round = 0; round < 5; round += 1) {
    startAndCrash(harness);
    startAndCrash(harness);
    const start = startOne(harness);
    workOn(harness, start.worker);
    crash(harness, start.worker);
  }
  assert.equal(suspects(harness).length, 10);
  assert.equal(job.state, 'running');
});

test('a run that has worked for less than two seconds is a suspect', () => {
  // Guards against a task that is cleared by a report between its start and the crash. While the
  // start has no answer, the run may have begun only now, however long ago it was decided.
  const harness = threeWorkers();
  const job = harness.submit(jobSpec([stepSpec()]));
  const early = startOne(harness);
  workOn(harness, early.worker, CRASH_SUSPECT_MS - 100);
  crash(harness, early.worker);
  assert.equal(firstTask(job).crashWeight, 2);

  const [late] = harness.starts();
  workOn(harness, late!.worker);
  crash(harness, late!.worker);
  assert.equal(firstTask(job).crashWeight, 4);
});

test('that a task has worked is stored', () => {
  // Guards against counting on from crashes of long ago: leader and worker are lost together, long
  // after the task was last started.
  const first = threeWorkers();
  const job = first.submit(jobSpec([stepSpec({ lasting: true })]));
  startAndCrash(first);
  startAndCrash(first);
  const start = startOne(first);
  first.decide();
  workOn(first, start.worker);
  assert.deepEqual(first.decide().changed, [job]);

  const next = new SchedulerHarness([workerEntry('w4')]);
  const read = stored(job);
  next.scheduler.addJob(read);
  next.scheduler.workerEnded(start.worker, next.nowMs, 'test');
  assert.equal(firstTask(read).crashWeight, 1);
  assert.equal(read.state, 'running');
});

test('a worker that leaves as announced counts for nothing', () => {
  // Guards against giving up a task because its workers are taken away, one after the other.
  const harness = threeWorkers();
  const job = harness.submit(jobSpec([stepSpec()]));
  for (let round = 0; round < 5; round += 1) {
    const { worker } = startOne(harness);
    list(harness, workerEntry(worker, { draining: true, remainingMs: 500 }));
    crash(harness, worker);
  }
  for (let round = 0; round < 5; round += 1) {
    const { worker } = startOne(harness);
    list(harness, workerEntry(worker, { draining: true, remainingMs: 500 }));
    harness.scheduler.unlistWorker(worker);
    list(harness, workerEntry(`${worker}x`));
    harness.nowMs += TIMING.inheritedLeaseMs;
    for (const id of harness.scheduler.workers.keys()) {
      if (id !== worker) reportRuns(harness, id);
    }
    harness.scheduler.decide(harness.nowMs, harness.nowMs, {
      placingMs: Infinity,
      starts: 0,
      clockMs: () => 0,
    });
  }
  assert.equal(harness.fieldsOf('leases-over').length, 5);
  assert.deepEqual(suspects(harness), []);
  assert.equal(job.state, 'running');
});

test('a start that has not reached its worker counts for nothing', () => {
  // Guards against giving up a task that is bound to workers that have ended already. Three cases:
  // not sent yet, refused by the next incarnation, over at the worker.
  const harness = threeWorkers();
  const job = harness.submit(jobSpec([stepSpec()]));
  const [notSent] = harness.starts();
  crash(harness, notSent!.worker);

  const [refused] = harness.starts();
  harness.scheduler.startSent(refused!, harness.nowMs + 1_600, harness.nowMs);
  harness.answer(refused!, 'other-life');

  const [over] = harness.starts();
  harness.scheduler.startSent(over!, harness.nowMs + 1_600, harness.nowMs);
  harness.answer(over!, 'superseded');
  crash(harness, over!.worker);
  assert.deepEqual(suspects(harness), []);

  // An earlier attempt without an answer may have been carried out.
  const [resent] = harness.starts();
  harness.scheduler.startSent(resent!, harness.nowMs + 1_600, harness.nowMs);
  harness.scheduler.startSent(resent!, harness.nowMs + 1_600, harness.nowMs);
  harness.answer(resent!, 'other-life');
  assert.equal(firstTask(job).crashWeight, 1);
});

test('a gang with a member whose workers end right after they start it is given up', () => {
  // Guards against a count that starts again with each end of another member of the gang.
  const harness = threeWorkers();
  const job = harness.submit(jobSpec([stepSpec({ taskCount: 2, gang: true, maxPerWorker: 1 })]));
  let startCount = 0;
  for (let round = 0; round < 20; round += 1) {
    const starts = harness.starts();
    for (const start of starts) harness.answer(start, 'done');
    const crashing = starts.find(({ task }) => task.index === 0);
    const other = starts.find(({ task }) => task.index === 1);
    if (crashing && other) {
      startCount += 1;
      crash(harness, crashing.worker);
      if (startCount < 3) {
        harness.report(other.worker, { ended: [harness.end(other, 'broken')] });
      } else {
        // The members that are still at work are stopped.
        assert.deepEqual(
          harness.stops().map(({ worker, run }) => [worker, run]),
          [[other.worker, other.run]],
        );
      }
    }
  }
  assert.equal(startCount, 3);
  assert.equal(job.state, 'failed');
  assert.deepEqual(
    job.occurrences.get(0)!.steps[0]!.map(({ phase }) => phase),
    ['failed', 'failed'],
  );
});

test('a cancelled job does not end a second time because of a crash', () => {
  // Guards against a job that is shown as failed after its cancellation was acknowledged.
  const harness = threeWorkers();
  const job = harness.submit(jobSpec([stepSpec()]));
  startAndCrash(harness);
  startAndCrash(harness);
  const start = startOne(harness);
  harness.scheduler.cancel(job.spec.id, harness.nowMs);
  crash(harness, start.worker);
  harness.decide();
  assert.equal(job.state, 'cancelled');
  assert.equal(harness.fieldsOf('job-ended').length, 1);
});
