import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { StepSpec } from '../job.js';
import type { Order } from '../order.js';
import {
  QUEUE,
  SchedulerHarness,
  jobSpec,
  runningRow,
  stepSpec,
  workerEntry,
} from './scheduler-harness.js';

/** Two of these fill the memory of a worker. */
const BEST_EFFORT = stepSpec({ taskCount: 4, fills: true, checkpointing: true, memMb: 8_000 });

const URGENT = stepSpec({ memMb: 8_000 });

/** Two workers whose memory best-effort tasks hold; those of the first one run on a saved state. */
class FullMemory {
  readonly harness = new SchedulerHarness([workerEntry('w1'), workerEntry('w2')]);

  readonly #starts: readonly Order[];

  constructor(spec: Partial<StepSpec> = {}, priority = 2) {
    const { harness } = this;
    harness.scheduler.setQueues([{ ...QUEUE, name: 'best-effort', priority }]);
    harness.submit(jobSpec([{ ...BEST_EFFORT, ...spec }], { id: 'b', queue: 'best-effort' }));
    this.#starts = harness.starts();
    for (const start of this.#starts) harness.answer(start, 'done');
    this.report(500, '');
    this.report(500, 'saved');
  }

  /** Has the tasks report after some time; one of them has the given checkpoint, or has ended. */
  report(afterMs: number, checkpoint: string, stop?: Order): void {
    const { harness } = this;
    harness.nowMs += afterMs;
    for (const worker of ['w1', 'w2']) {
      const running = this.#starts
        .filter((start) => start.worker === worker && start.task.index !== stop?.task.index)
        .map((start) =>
          runningRow(start, { percent: 50, checkpoint: start.task.index === 2 ? checkpoint : '' }),
        );
      const ended = stop?.worker === worker ? [harness.end(stop, 'stopped', checkpoint)] : [];
      harness.report(worker, { running, ended });
    }
  }

  submit(taskCount: number, id = 'urgent'): void {
    const { nowMs: acceptedMs } = this.harness;
    this.harness.submit(jobSpec([{ ...URGENT, taskCount }], { id, acceptedMs }));
  }
}

test('an urgent task that lacks memory has the best-effort task stopped that loses the least', () => {
  // Guards against urgent jobs that wait for the end of best-effort tasks, and against more stops
  // than tasks that wait: each stop throws work away.
  const cluster = new FullMemory();
  const { harness } = cluster;
  cluster.submit(1);
  const [stop, ...others] = harness.stops();
  assert.deepEqual([stop?.task.index, others.length], [2, 0]);
  assert.deepEqual(harness.fieldsOf('task-stop')[0], {
    task: 'b.0.0.2',
    run: 1,
    worker: stop!.worker,
    reason: 'preempted',
    lostCpuMs: 0,
  });
  harness.nowMs += 100;
  assert.equal(harness.stops().length, 0);
  cluster.report(100, 'saved', stop);
  assert.deepEqual(
    harness.starts().map(({ task, worker }) => [task.jobId, worker]),
    [['urgent', stop!.worker]],
  );
});

test('for several urgent tasks one worker a round has best-effort tasks stopped', () => {
  // Guards against a wide step that stops the best-effort tasks of a whole pool at once.
  const cluster = new FullMemory();
  cluster.submit(2);
  cluster.submit(2, 'other');
  const workers = [1, 2, 3].map(() => cluster.harness.stops().map(({ worker }) => worker));
  assert.deepEqual([...workers].flat().sort(), ['w1', 'w2']);
  assert.equal(workers[0]!.length, 1);
});

test('an urgent task stops no work that it would throw away, or that is as urgent', () => {
  // Guards against preemption of tasks without checkpoints, of equals, and for what cannot be in time.
  for (const cluster of [new FullMemory({ checkpointing: false }), new FullMemory({}, 0)]) {
    cluster.submit(1);
    assert.equal(cluster.harness.stops().length, 0);
  }
  const late = new FullMemory();
  late.harness.submit(jobSpec([URGENT], { id: 'late', acceptedMs: -60_000 }));
  assert.equal(late.harness.stops().length, 0);
});
