import assert from 'node:assert/strict';
import { test } from 'node:test';
import { JobProgress } from '../job-progress.js';
import { SchedulerHarness, jobSpec, stepSpec, workerEntry } from './scheduler-harness.js';

const ROUNDS = 20;

const LARGE = { cpuMilli: 100_000, memMb: 100_000, gpus: 0 };

/** Counts how many elements of a list are read. */
class ReadCounter {
  count = 0;

  /** Returns a list that counts the reads of its elements. */
  counted<T>(list: readonly T[]): readonly T[] {
    return new Proxy(list, {
      get: (target, name, receiver) => {
        if (typeof name === 'string' && /^\d+$/.test(name)) this.count += 1;
        return Reflect.get(target, name, receiver) as unknown;
      },
    });
  }
}

test('a round does not look again at the steps that other steps are known to have waited for', () => {
  // Guards against rounds of seconds beside a job whose steps name many earlier ones.
  const reads = new ReadCounter();
  const harness = new SchedulerHarness([workerEntry('w1', { capacity: LARGE })]);
  const after = new Array<number>(20_000).fill(0);
  const small = { cpuMilli: 1, memMb: 1 };
  const waiting = stepSpec({ ...small, requiredLabel: 'none', after: reads.counted(after) });
  harness.submit(jobSpec([stepSpec({ ...small, taskCount: 1_000 }), waiting]));
  const starts = harness.starts();
  assert.equal(starts.length, 1_000);
  for (const start of starts) harness.answer(start, 'done');
  harness.report('w1', { ended: starts.map((start) => harness.end(start, 'done')) });
  harness.decide();
  const before = reads.count;
  for (let round = 0; round < ROUNDS; round += 1) harness.decide();
  assert.ok(reads.count - before < ROUNDS, `${reads.count - before} reads in ${ROUNDS} rounds`);
});

test('a step becomes ready with the last task of the steps that it waits for', () => {
  const harness = new SchedulerHarness([workerEntry('w1')]);
  const steps = [
    stepSpec({ taskCount: 3 }),
    stepSpec({ taskCount: 2 }),
    stepSpec({ after: [1, 0, 1] }),
  ];
  const job = harness.submit(jobSpec(steps));
  const starts = harness.starts();
  assert.equal(starts.length, 5);
  // The last tasks end first.
  for (const [i, start] of starts.toReversed().entries()) {
    harness.answer(start, 'done');
    harness.report('w1', { ended: [harness.end(start, 'done')] });
    const next = harness.starts();
    assert.equal(next.length, i === starts.length - 1 ? 1 : 0);
    if (next.length === 0) {
      const loaded = JobProgress.decode(job.spec, job.encode());
      assert.equal(loaded.isStepReady(loaded.occurrences.get(0)!, 2), false);
    }
  }
});

test('the number of tasks that can be started is counted by the steps that are done', () => {
  const steps = [stepSpec({ taskCount: 2 }), stepSpec({ after: [0, 0] }), stepSpec({ after: [1] })];
  const spec = jobSpec(steps);
  const state = JobProgress.decodeState(spec, 'r1;;0|d2|w|w!');
  assert.equal(state?.unstartedTasks, 2);
  assert.equal(state?.readyTasks, 1);
});
