import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { StepSpec } from '../job.js';
import { JobProgress } from '../job-progress.js';
import type { Order } from '../order.js';
import type { EndedRow } from '../worker.js';
import {
  JOB_ID,
  QUEUE,
  SchedulerHarness,
  jobSpec,
  runningRow,
  stepSpec,
  workerEntry,
} from './scheduler-harness.js';

type Start = Order & { kind: 'start' };

const STEP = stepSpec({ speculative: true, taskCount: 4, cpuMilli: 2_000 });

const WORKERS = ['w1', 'w2', 'w3'].map((id) => workerEntry(id));

/** Starts the tasks of one step, which all workers confirm. */
function started(changes: Partial<StepSpec> = {}, maxAttempts = 3): [SchedulerHarness, Start[]] {
  const harness = new SchedulerHarness(WORKERS, maxAttempts);
  harness.submit(jobSpec([{ ...STEP, ...changes }]));
  const starts = harness.starts();
  for (const start of starts) harness.answer(start, 'done');
  return [harness, starts];
}

/** Has the workers report these runs as running, and the given ends. */
function report(
  harness: SchedulerHarness,
  running: readonly Order[],
  ended: readonly [Order, EndedRow['how']][] = [],
  ids = ['w1', 'w2', 'w3'],
): void {
  for (const id of ids) {
    harness.report(id, {
      running: running
        .filter(({ worker }) => worker === id)
        .map((run) => runningRow(run, { percent: 100 })),
      ended: ended
        .filter(([{ worker }]) => worker === id)
        .map(([order, how]) => harness.end(order, how)),
    });
  }
}

/** Ends all tasks but the first after 100 ms; returns the copy that this one gets when it is slow. */
function slowTask(changes: Partial<StepSpec> = {}): [SchedulerHarness, Start, Start] {
  const [harness, [first, ...peers]] = started(changes);
  harness.nowMs += 100;
  report(
    harness,
    [first!],
    peers.map((peer) => [peer, 'done']),
  );
  assert.equal(harness.starts().length, 0);
  harness.nowMs += 250;
  const [copy, ...others] = harness.starts();
  assert.equal(others.length, 0);
  return [harness, first!, copy!];
}

function stopsIn(orders: readonly Order[]): unknown[] {
  return orders.filter(({ kind }) => kind === 'stop').map(({ worker, run }) => [worker, run]);
}

test('a task that takes three times as long as its peers gets one copy on another worker', () => {
  // Guards against a step that waits for one slow task, and against a second copy of a task.
  const [harness, first, copy] = slowTask();
  assert.deepEqual([copy.task, copy.run], [first.task, 2]);
  assert.notEqual(copy.worker, first.worker);
  const [{ reason, ratio }] = harness.fieldsOf('copy-started') as [{ reason: ''; ratio: 0 }];
  assert.deepEqual([reason, ratio], ['slow', 3.5]);
  harness.answer(copy, 'done');
  harness.nowMs += 1_000;
  report(harness, [first, copy]);
  assert.equal(harness.starts().length, 0);
});

test('only tasks of speculative steps get copies, none beside waiting tasks, and few of a pool', () => {
  // Guards against two runs of a task that allows one, and against copies that take the capacity of
  // other work.
  const kinds: [Partial<StepSpec>, boolean, number][] = [
    [{}, false, 4],
    [{}, true, 0],
    [{ speculative: false }, false, 0],
    [{ lasting: true }, false, 0],
    [{ gang: true }, false, 0],
  ];
  for (const [changes, isWaiting, copies] of kinds) {
    const harness = new SchedulerHarness(WORKERS);
    harness.submit(jobSpec([{ ...STEP, taskCount: 6, ...changes }]));
    for (const start of harness.starts()) {
      harness.scheduler.startSent(start, harness.nowMs + 1_500, harness.nowMs);
      harness.answer(start, 'unknown', harness.nowMs + 1_500);
    }
    const id = '00000000000000bb';
    if (isWaiting) harness.submit(jobSpec([stepSpec({ cpuMilli: 8_000 })], { id }));
    harness.nowMs += 250;
    harness.decide();
    harness.nowMs += 600;
    assert.equal(harness.starts().length, copies, JSON.stringify([changes, isWaiting]));
  }
});

test('a task whose worker does not answer gets a copy before the leases of the worker are over', () => {
  // Guards against a step of one task that waits 6 s for the leases of a lost worker.
  const [harness, [first]] = started({ taskCount: 1 });
  const rest = ['w1', 'w2', 'w3'].filter((id) => id !== first!.worker);
  for (let ms = 0; ms < 1_600; ms += 200) {
    assert.equal(harness.starts().length, 0, `${ms} ms`);
    harness.nowMs += 200;
    report(harness, [], [], rest);
  }
  const [copy] = harness.starts();
  assert.equal(copy?.run, 2);
  harness.answer(copy, 'done');
  report(harness, [copy], [], rest);
  // The first run is dropped; a third run has a number of its own when the copy has failed as well.
  harness.nowMs += 20_000;
  report(harness, [copy], [], rest);
  harness.decide();
  report(harness, [], [[copy, 'failed']], rest);
  assert.equal(harness.starts()[0]!.run, 3);
});

test('the first end that succeeds counts, and the other run is stopped without effect', () => {
  // Guards against a task that is done twice, or undone by the end of the run that is not needed.
  for (const isCopyFirst of [true, false]) {
    const [harness, first, copy] = slowTask();
    harness.answer(copy, 'done');
    const [winner, loser] = isCopyFirst ? [copy, first] : [first, copy];
    report(harness, [loser], [[winner, 'done']]);
    const { orders, acks } = harness.decide();
    assert.deepEqual(stopsIn(orders), [[loser.worker, loser.run]]);
    assert.ok(acks.has(harness.scheduler.workers.get(winner.worker)!));
    assert.equal(harness.fieldsOf('task-stop')[0]!.reason, 'copy-not-needed');
    assert.equal(harness.fieldsOf('copy-ended')[0]!.first, isCopyFirst ? 'copy' : 'first-run');
    report(harness, [], [[loser, 'failed']]);
    assert.deepEqual(harness.starts(), []);
    assert.equal(harness.scheduler.jobs.get(JOB_ID)!.state, 'completed');
  }
});

test('an end waits while the start of the other run may take effect', () => {
  // Guards against a copy that begins after the end of its task was stored and acknowledged.
  const [harness, first, copy] = slowTask();
  harness.scheduler.startSent(copy, harness.nowMs + 1_500, harness.nowMs);
  report(harness, [], [[first, 'done']]);
  const held = harness.decide();
  assert.deepEqual(stopsIn(held.orders), [[copy.worker, 2]]);
  assert.equal(harness.scheduler.shouldSend(copy), false);
  assert.equal(harness.scheduler.jobs.get(JOB_ID)!.state, 'running');
  const state = harness.scheduler.workers.get(first.worker)!;
  assert.ok((held.acks.get(state) ?? 0) < state.processedEnd);
  harness.answer(copy, 'superseded');
  harness.nowMs += 1;
  const { acks } = harness.decide();
  assert.equal(harness.scheduler.jobs.get(JOB_ID)!.state, 'completed');
  assert.equal(acks.get(state), state.processedEnd);
});

test('a failed run counts as an attempt, and the other run goes on', () => {
  // Guards against a job that fails by its copies, and against more starts than attempts allow.
  const [harness, first, copy] = slowTask();
  harness.answer(copy, 'done');
  report(harness, [first], [[copy, 'failed']]);
  const [again] = harness.starts();
  assert.equal(again, undefined);
  assert.equal(harness.scheduler.jobs.get(JOB_ID)!.state, 'running');
  // Two of three attempts are left with the first failure, one with the second: no copy then.
  harness.nowMs += 250;
  const [second] = harness.starts();
  assert.equal(second!.run, 3);
  harness.answer(second!, 'done');
  report(harness, [first], [[second!, 'failed']]);
  harness.nowMs += 1_000;
  report(harness, [first]);
  assert.equal(harness.starts().length, 0);
  report(harness, [], [[first, 'failed']]);
  assert.equal(harness.starts().length, 0);
  assert.equal(harness.scheduler.jobs.get(JOB_ID)!.state, 'failed');
});

test('the number of a copy that was refused is not used again', () => {
  // Guards against a run that its worker takes for the earlier one of the same number.
  const [harness, first, copy] = slowTask();
  harness.answer(copy, 'no-room');
  report(harness, [], [[first, 'stopped']]);
  assert.equal(harness.starts()[0]!.run, 3);
});

test('the failure that ends a job waits while the start of the other run may take effect', () => {
  // Guards against a run that begins after the last failure was acknowledged: the operators may
  // lower the number of attempts while a copy is on its way.
  const [harness, first, copy] = slowTask();
  harness.scheduler.setQueues([{ ...QUEUE, maxAttempts: 1 }]);
  report(harness, [], [[first, 'failed']]);
  harness.decide();
  assert.equal(harness.scheduler.jobs.get(JOB_ID)!.state, 'running');
  harness.answer(copy, 'too-late');
  harness.decide();
  assert.equal(harness.scheduler.jobs.get(JOB_ID)!.state, 'failed');
});

test('the next leader knows both runs, and a run that is absent is dropped', () => {
  // Guards against a third run after a takeover, and against a lost task if only one run is left.
  const [before, first, copy] = slowTask();
  const text = before.scheduler.jobs.get(JOB_ID)!.encode();
  const harness = new SchedulerHarness([]);
  harness.scheduler.addJob(JobProgress.decode(jobSpec([STEP]), text));
  assert.deepEqual(
    [...harness.scheduler.workers.keys()].sort(),
    [first.worker, copy.worker].sort(),
  );
  for (const entry of WORKERS) harness.scheduler.listWorker(entry, harness.nowMs);
  // The first run ended before the takeover. The start of the copy may still be on its way.
  report(harness, [], [[first, 'done']], [first.worker]);
  harness.decide();
  assert.equal(harness.scheduler.jobs.get(JOB_ID)!.state, 'running');
  report(harness, [], [], [copy.worker]);
  const { orders } = harness.decide();
  assert.deepEqual(
    orders.filter(({ kind }) => kind === 'start'),
    [],
  );
  assert.equal(harness.scheduler.jobs.get(JOB_ID)!.state, 'completed');
});

test('cancelling a job stops both runs, and its record names both until they have ended', () => {
  // Guards against a copy that goes on after its job was cancelled, also under the next leader.
  const [harness, first, copy] = slowTask();
  harness.answer(copy, 'done');
  harness.scheduler.cancel(JOB_ID, harness.nowMs);
  assert.equal(stopsIn(harness.decide().orders).length, 2);
  report(harness, [first], [[copy, 'stopped']]);
  harness.decide();
  assert.ok(harness.scheduler.jobs.get(JOB_ID)!.hasBoundTasks());
  report(harness, [], [[first, 'stopped']]);
  assert.equal(harness.starts().length, 0);
  assert.ok(!harness.scheduler.jobs.get(JOB_ID)!.hasBoundTasks());
});

interface PlayedRun {
  readonly start: Start;
  readonly endsMs: number;
}

/** Plays steps of ten tasks of 0.6 s, of which one run in 30 takes seven times as long. */
function playLoad(speculative: boolean): { meanMs: number; mostCopies: number; mostMilli: number } {
  const harness = new SchedulerHarness(Array.from({ length: 8 }, (_, i) => workerEntry(`w${i}`)));
  const running = new Map<string, PlayedRun>();
  let [startCount, mostCopies, mostMilli] = [0, 0, 0];
  for (let tick = 0; tick < 1_200; tick += 1) {
    if (tick % 20 === 0 && tick < 1_000) {
      const id = tick.toString(16).padStart(16, '0');
      const step = { ...STEP, taskCount: 10, speculative };
      harness.submit(jobSpec([step], { id, acceptedMs: harness.nowMs }));
    }
    const ends: [Order, EndedRow['how']][] = [];
    for (const order of harness.decide().orders) {
      const key = JSON.stringify([order.task, order.run]);
      if (order.kind === 'start') {
        startCount += 1;
        const tookMs = startCount % 30 === 0 ? 4_200 : 500 + 20 * (startCount % 10);
        running.set(key, { start: order, endsMs: harness.nowMs + tookMs });
        harness.answer(order, 'done');
      } else if (running.delete(key)) ends.push([order, 'stopped']);
    }
    harness.nowMs += 20;
    for (const [key, { start, endsMs }] of running) {
      if (endsMs <= harness.nowMs && running.delete(key)) ends.push([start, 'done']);
    }
    const starts = [...running.values()].map(({ start }) => start);
    report(harness, starts, ends, [...harness.scheduler.workers.keys()]);
    mostCopies = Math.max(mostCopies, starts.filter(({ run }) => run > 1).length);
    for (const { cpuMilli } of harness.scheduler.workers.values())
      mostMilli = Math.max(mostMilli, cpuMilli);
  }
  const jobs = [...harness.scheduler.jobs.values()];
  assert.ok(jobs.every(({ state }) => state === 'completed'));
  const sumMs = jobs.reduce((sum, { endedMs, spec }) => sum + endedMs - spec.acceptedMs, 0);
  return { meanMs: sumMs / jobs.length, mostCopies, mostMilli };
}

test('under a steady load with slow runs, speculative steps end a fifth sooner', () => {
  // Guards against copies without benefit, too many copies, and workers over their capacity.
  const without = playLoad(false);
  const { meanMs, mostCopies, mostMilli } = playLoad(true);
  assert.equal(without.mostCopies, 0);
  assert.ok(meanMs < 0.8 * without.meanMs, `${meanMs} ms, ${without.meanMs} ms without copies`);
  assert.ok(mostCopies > 0 && mostCopies <= 4, `${mostCopies} copies at once`);
  assert.ok(mostMilli <= 8_000, `${mostMilli} milli on one worker`);
});
