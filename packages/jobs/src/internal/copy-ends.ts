import type { JobProgress, TaskCopy, TaskProgress } from '../job-progress.js';
import type { TaskRef } from '../task-ref.js';
import { taskName } from '../task-ref.js';
import type { EndedRow } from '../worker.js';
import type { ClusterState } from './cluster-state.js';
import { findTask } from './runs.js';
import { otherRunOf } from './task-runs.js';
import type { WorkerRun } from './worker-run.js';
import type { WorkerState } from './worker-state.js';

/** An end that is applied and acknowledged later. */
export interface HeldEnd {
  readonly worker: WorkerState;
  readonly row: EndedRow;
  readonly ref: TaskRef;
}

/**
 * Handles the ends of tasks with two runs. An end that leaves no use for the other run is held while
 * the start of that run may yet take effect: the run would begin after the task's end was stored and
 * acknowledged. The other run is stopped at once, so that an end is rarely held for longer than the
 * answer to a start takes.
 */
export class CopyEnds {
  readonly #state: ClusterState;

  #held: HeldEnd[] = [];

  constructor(state: ClusterState) {
    this.#state = state;
  }

  /** Returns whether the end of a run that the task is bound to must wait, and holds it if so. */
  holds(
    worker: WorkerState,
    row: EndedRow,
    ref: TaskRef,
    job: JobProgress,
    task: TaskProgress,
    nowMs: number,
  ): boolean {
    const isLast =
      row.how === 'done' ||
      (row.how === 'failed' && task.failures + 1 >= this.#state.maxAttemptsOf(job));
    const other = otherRunOf(task, row.run);
    if (!isLast || !other || !this.#mayBegin(ref, other, nowMs)) return false;
    this.#held.push({ worker, row, ref });
    this.#state.logEvent('copy-end-held', {
      task: row.task,
      run: row.run,
      worker: worker.entry.id,
      how: row.how,
      otherWorker: other.worker,
    });
    this.#stop(ref, other, nowMs);
    return true;
  }

  /** Removes and returns the held ends for which the other run can no longer begin. */
  takeSettled(nowMs: number): HeldEnd[] {
    if (this.#held.length === 0) return [];
    const settled = this.#held.filter(({ ref, row }) => {
      const job = this.#state.jobs.get(ref.jobId);
      const task = job && findTask(job, ref);
      const other = task && otherRunOf(task, row.run);
      return !other || !this.#mayBegin(ref, other, nowMs);
    });
    this.#held = this.#held.filter((end) => !settled.includes(end));
    for (const { worker } of settled) this.#state.endsProcessed.add(worker);
    return settled;
  }

  /** Returns the number up to which a worker's ends may be acknowledged once changes are stored. */
  ackableEnd(worker: WorkerState): number {
    let end = worker.processedEnd;
    for (const held of this.#held)
      if (held.worker === worker) end = Math.min(end, held.row.number - 1);
    return end;
  }

  /** Stops the other run of a task that this run has completed. */
  completed(ref: TaskRef, task: TaskProgress, winner: TaskCopy, nowMs: number): void {
    const other = otherRunOf(task, winner.run);
    if (!other) return;
    this.#stop(ref, other, nowMs);
    delete task.copy;
    this.#state.logEvent('copy-ended', {
      task: taskName(ref),
      run: winner.run,
      worker: winner.worker,
      first: winner.run > other.run ? 'copy' : 'first-run',
    });
  }

  /** Returns whether a start of the run may yet take effect. */
  #mayBegin(ref: TaskRef, other: TaskCopy, nowMs: number): boolean {
    const worker = this.#state.workers.get(other.worker);
    const run = this.#runAt(worker, ref, other);
    if (!worker || !run || run.confirmed) return false;
    // Starts of earlier leaders take effect until the worker has answered this one.
    return !worker.fenced || nowMs <= run.sendCompletedMs;
  }

  #stop(ref: TaskRef, other: TaskCopy, nowMs: number): void {
    const worker = this.#state.workers.get(other.worker);
    const run = this.#runAt(worker, ref, other);
    if (worker && run && run.stopSentMs === 0)
      this.#state.stopRun(worker, run, 'copy-not-needed', nowMs);
  }

  #runAt(worker: WorkerState | undefined, ref: TaskRef, { run }: TaskCopy): WorkerRun | undefined {
    const found = worker?.runs.get(taskName(ref));
    return found?.run === run ? found : undefined;
  }
}
