import { isFinal } from '../job.js';
import type { JobProgress, TaskProgress } from '../job-progress.js';
import type { TaskRef } from '../task-ref.js';
import { taskName } from '../task-ref.js';
import type { ClusterState } from './cluster-state.js';
import { findTask } from './runs.js';
import { isBoundTo } from './task-runs.js';
import type { WorkerRun } from './worker-run.js';
import type { WorkerState } from './worker-state.js';

/** What the known end of a worker's process adds to the weight of a task that had begun there. */
const CONFIRMED_CRASH_WEIGHT = 2;

/**
 * What a crash adds where the worker may only be out of reach, or where the start was only on its
 * way. A task that ends its workers before they answer must still be limited.
 */
const UNCONFIRMED_CRASH_WEIGHT = 1;

/**
 * The weight at which a task is given up: after three confirmed crashes, and after five in all at
 * the latest.
 */
const MAX_CRASH_WEIGHT = 5;

/**
 * How long a run must have worked to be no suspect if its worker crashes, in milliseconds. A task
 * that crashes its workers does so within some tens of milliseconds.
 */
const CRASH_SUSPECT_MS = 2_000;

/** A run that may have crashed its worker. */
interface Suspect {
  readonly job: JobProgress;
  readonly ref: TaskRef;
  readonly task: TaskProgress;
  readonly run: number;
  /** Whether the run is known to have begun. */
  readonly confirmed: boolean;
}

/**
 * Attributes crashes of workers to tasks. The end of a worker does not show what caused it, and
 * without a count a task that crashes its workers would be started on one after the other, each
 * time with the loss of all other runs there.
 *
 * Suspects are the tasks whose runs have not worked for some time yet. The crash weight of a task
 * is the sum over its latest runs that crashed their workers, as far as is known. Tasks with a
 * weight are placed apart from each other, so that one that shared a worker with the cause by chance
 * is rarely counted twice.
 */
export class CrashSuspects {
  readonly #state: ClusterState;

  constructor(state: ClusterState) {
    this.#state = state;
  }

  /** Records that a worker reports the run as running. */
  reported(run: WorkerRun, nowMs: number): void {
    if (run.isHarmless) return;
    // A start may wait for seconds before it is sent. While its answer is missing, the run may have
    // begun only now.
    const beganMs = Math.max(run.startedMs, Math.min(run.sendCompletedMs, nowMs));
    if (nowMs - beganMs < CRASH_SUSPECT_MS) return;
    run.isHarmless = true;
    const job = this.#state.jobs.get(run.ref.jobId);
    const task = job && findTask(job, run.ref);
    if (task) this.runWorked(job, task);
  }

  /**
   * Records that a run of the task did not crash its worker. The change is stored: if leader and
   * worker were lost together much later, the next leader would count on from the former crashes.
   */
  runWorked(job: JobProgress, task: TaskProgress): void {
    if (!task.crashWeight || isFinal(job.state)) return;
    delete task.crashWeight;
    this.#state.changed.add(job);
  }

  /** Attributes the end of a worker's process to runs that it has begun, or may have begun. */
  workerEnded(worker: WorkerState): void {
    const runs = [...worker.runs.values()];
    const sent = runs.filter(({ confirmed, sendCount }) => confirmed || sendCount > 0);
    this.#attribute(worker, sent, CONFIRMED_CRASH_WEIGHT);
  }

  /**
   * Attributes the silence of a worker, until all of its leases expired, to some of the runs that
   * it had begun. It may be out of reach instead; if it reports that these runs have ended, they
   * count for nothing. A run without a confirmed start is no suspect, because it might not have
   * begun either: tasks whose starts are lost with their links, repeatedly, would be given up.
   */
  workerSilent(worker: WorkerState, runs: readonly WorkerRun[]): void {
    const confirmed = runs.filter((run) => run.confirmed);
    this.#attribute(worker, confirmed, UNCONFIRMED_CRASH_WEIGHT);
  }

  /**
   * Counts a crash for the suspects, and fails the jobs of those with too many crashes.
   * `confirmedWeight`: the weight for tasks that are known to have begun.
   */
  #attribute(worker: WorkerState, runs: readonly WorkerRun[], confirmedWeight: number): void {
    // A worker that announced that it leaves ends by itself. That an entry is draining is not
    // enough: a worker that only records name has such an entry.
    if (worker.leavesMs < Infinity) return;
    for (const suspect of [...this.#suspectsAmong(worker, runs)]) {
      this.#count(worker, suspect, suspect.confirmed ? confirmedWeight : UNCONFIRMED_CRASH_WEIGHT);
    }
  }

  /** Yields the tasks that are bound to these runs, unless the run is known to be harmless. */
  *#suspectsAmong(worker: WorkerState, runs: readonly WorkerRun[]): Generator<Suspect> {
    for (const run of runs) {
      const { ref } = run;
      const job = this.#state.jobs.get(ref.jobId);
      const task = job && findTask(job, ref);
      const isCurrent = task && isBoundTo(task, run.run, worker.entry.id);
      if (run.isHarmless || !isCurrent) continue;
      yield { job, ref, task, run: run.run, confirmed: run.confirmed };
    }
  }

  #count(worker: WorkerState, { job, ref, task, run, confirmed }: Suspect, weight: number): void {
    // The job may have ended, also just now by another of its tasks.
    if (isFinal(job.state)) return;
    const crashWeight = (task.crashWeight ?? 0) + weight;
    task.crashWeight = crashWeight;
    this.#state.changed.add(job);
    this.#state.logEvent('worker-crash', {
      task: taskName(ref),
      run,
      worker: worker.entry.id,
      confirmed,
      crashWeight,
    });
    if (crashWeight >= MAX_CRASH_WEIGHT) this.#state.failTask(job, ref);
  }
}
