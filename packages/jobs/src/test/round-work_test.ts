import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { RoundLimits } from '../internal/round-limits.js';
import type { WorkerEntry } from '../worker.js';
import {
  SchedulerHarness,
  jobSpec,
  runningRow,
  stepSpec,
  workerEntry,
} from './scheduler-harness.js';

const WORKERS = 40;

const JOBS = 500;

/** So many kinds of tasks are among the jobs; those of one kind can run on the same workers. */
const KINDS = 3;

/** Counts looks at workers: each asks whether the worker is draining. */
class CountedWorkers {
  checks = 0;

  readonly entries: readonly WorkerEntry[] = Array.from({ length: WORKERS }, (_, i) => {
    const countCheck = (): void => {
      this.checks += 1;
    };
    return {
      ...workerEntry(`w${i}`),
      get draining() {
        countCheck();
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
  workers.checks = 0;
  assert.equal(harness.starts().length, 0);
  // One look for each kind and worker, and one for each run whether it must leave.
  const maxChecks = (KINDS + 1) * WORKERS;
  assert.ok(workers.checks <= maxChecks, `${workers.checks} looks`);
});

test('looks at workers in a round that fills them follow the starts, not all that waits', () => {
  // The first round of a new term finds room and starts many tasks. After each start it looked at
  // all workers anew, though but one of them had changed.
  const workers = new CountedWorkers();
  const harness = new SchedulerHarness(workers.entries);
  submit(harness, JOBS);
  workers.checks = 0;
  const starts = harness.starts().length;
  assert.equal(starts, WORKERS);
  // One for each kind and worker, one for each kind after a start, and one for each run.
  const maxChecks = KINDS * WORKERS + (KINDS + 1) * starts;
  assert.ok(workers.checks <= maxChecks, `${workers.checks} looks`);
});

/** Limits of a round whose clock goes on by one with each look at a worker. */
function limitsByChecks(
  workers: CountedWorkers,
  placingMs: number,
  starts = Infinity,
): RoundLimits {
  return { placingMs, starts, clockMs: () => workers.checks };
}

/** Decides within limits; returns the jobs whose tasks are started, and whether there is more. */
function startedJobs(harness: SchedulerHarness, limits: RoundLimits): [string[], boolean] {
  harness.nowMs += 1;
  const { orders, isCutShort } = harness.scheduler.decide(harness.nowMs, harness.nowMs, limits);
  const started = orders.filter(({ kind }) => kind === 'start').map(({ task }) => task.jobId);
  return [started, isCutShort];
}

test('a round that runs out of time places what is urgent, and the next ones the rest', () => {
  // Thousands of tasks wait, no two of them alike. Placed in one piece they keep the node from
  // renewing leases. Cut short, the round must have begun with the lasting task whose worker is
  // gone: its callers are without it. The others follow until none waits, and the caller is told so.
  const workers = new CountedWorkers();
  const harness = new SchedulerHarness(workers.entries);
  const lasting = stepSpec({ lasting: true, cpuMilli: 100 });
  harness.submit(jobSpec([lasting], { id: 'lasting' }));
  const [first] = harness.starts();
  harness.answer(first!, 'done');
  const waiting = Array.from({ length: 200 }, (_, i) => `j${i}`);
  for (const [i, id] of waiting.entries()) {
    harness.submit(jobSpec([stepSpec({ cpuMilli: 500 + i })], { id }));
  }
  harness.scheduler.workerEnded(first!.worker, harness.nowMs, 'test');
  const order: string[] = [];
  for (let hasMore = true; hasMore;) {
    const before = workers.checks;
    const [started, isCutShort] = startedJobs(harness, limitsByChecks(workers, 10 * WORKERS));
    // The last kind is looked up to its end; a worker with runs is looked at once more.
    const maxChecks = 11 * WORKERS + order.length + started.length + WORKERS;
    assert.ok(workers.checks - before <= maxChecks, `${workers.checks - before} looks`);
    assert.ok(started.length > 0);
    order.push(...started);
    hasMore = isCutShort;
  }
  assert.equal(order[0], 'lasting');
  assert.deepEqual([...order].sort(), ['lasting', ...waiting].sort());
});

test('a task that has room is started although more urgent ones without room fill every round', () => {
  // Hundreds of jobs that fit nowhere come first by their deadlines, each of another size. Every
  // round spent its time on them, and the job behind them, for which all workers had room, waited
  // for ever.
  const workers = new CountedWorkers();
  const harness = new SchedulerHarness(workers.entries);
  for (let i = 0; i < 300; i += 1) {
    harness.submit(jobSpec([stepSpec({ cpuMilli: 9_000 + i })], { id: `large${i}` }));
  }
  harness.submit(jobSpec([stepSpec()], { id: 'small', acceptedMs: 1 }));
  const started: string[] = [];
  let rounds = 0;
  for (let hasMore = true; hasMore; rounds += 1) {
    const [jobs, isCutShort] = startedJobs(harness, limitsByChecks(workers, 10 * WORKERS));
    started.push(...jobs);
    hasMore = isCutShort;
    assert.ok(rounds < 40, 'more rounds than it takes to try each once');
  }
  assert.deepEqual(started, ['small']);
});

test('a round that may place nothing still stops, releases and acknowledges', () => {
  // While starts wait to be sent nothing more is placed. A cancelled job must end all the same, ends
  // must be acknowledged, or workers list them again and again, and tasks of a worker whose leases
  // are over must be free for their next start.
  const workers = new CountedWorkers();
  const harness = new SchedulerHarness(workers.entries);
  const step = stepSpec({ cpuMilli: 8_000 });
  for (const id of ['ended', 'cancelled', 'lapsed']) harness.submit(jobSpec([step], { id }));
  const [ended, cancelled, lapsed] = harness.starts();
  for (const start of [ended, cancelled, lapsed]) harness.answer(start!, 'done');
  harness.nowMs += 20_000;
  harness.report(cancelled!.worker, { running: [runningRow(cancelled!)] });
  harness.report(ended!.worker, { ended: [harness.end(ended!, 'done')] });
  harness.scheduler.cancel('cancelled', harness.nowMs);
  const limits = limitsByChecks(workers, 0, 0);
  const decisions = harness.scheduler.decide(harness.nowMs, harness.nowMs, limits);
  assert.deepEqual(
    decisions.orders.map(({ kind, task }) => [kind, task.jobId]),
    [['stop', 'cancelled']],
  );
  assert.deepEqual([...decisions.acks.keys()], [ended!.worker]);
  assert.deepEqual(decisions.changed.map(({ spec }) => spec.id).sort(), [
    'cancelled',
    'ended',
    'lapsed',
  ]);
  assert.ok(decisions.isCutShort);
});

test('a gang is started whole although it is larger than what a round may start', () => {
  // A part of a gang would hold its room and wait in vain for the next round.
  const harness = new SchedulerHarness([workerEntry('w1')]);
  harness.submit(jobSpec([stepSpec({ gang: true, taskCount: 5 })], { id: 'gang' }));
  harness.submit(jobSpec([stepSpec()], { id: 'next' }));
  const limits = { placingMs: Infinity, starts: 2, clockMs: () => 0 };
  assert.deepEqual(startedJobs(harness, limits), [Array(5).fill('gang'), true]);
  assert.deepEqual(startedJobs(harness, limits), [['next'], false]);
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

test('the tasks of one large step are divided over rounds as well', () => {
  // A caller may ask for a thousand tasks in one step. The caller of the last round is told that
  // nothing is left, else the node would go through all that waits again and again.
  const workers = new CountedWorkers();
  const harness = new SchedulerHarness(workers.entries);
  harness.submit(jobSpec([stepSpec({ taskCount: 100 })], { id: 'wide' }));
  const counts: number[] = [];
  for (let hasMore = true; hasMore;) {
    const limits = limitsByChecks(workers, WORKERS + 24);
    const [started, isCutShort] = startedJobs(harness, limits);
    counts.push(started.length);
    hasMore = isCutShort;
  }
  assert.ok(Math.max(...counts) <= 25, `${counts}`);
  assert.equal(
    counts.reduce((sum, count) => sum + count, 0),
    100,
  );
  assert.ok(counts.at(-1)! > 0);
});
