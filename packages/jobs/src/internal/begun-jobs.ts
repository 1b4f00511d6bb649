import type { JobProgress } from '../job-progress.js';
import type { TaskRef } from '../task-ref.js';
import { taskName } from '../task-ref.js';
import type { EndKind } from '../worker.js';
import type { ClusterState } from './cluster-state.js';
import { stepTasks } from './runs.js';

/**
 * How long a job that has begun may be stored as queued, in milliseconds. Most jobs change again
 * before that and need no record of their own for it; callers may see a state of up to two seconds
 * ago.
 */
const MAX_UNSTORED_MS = 1_000;

/**
 * Determines when a queued job has begun: when a worker has shown that it has one of its tasks. That a
 * task is bound is not enough, because its start may be refused, get lost, or arrive seconds later.
 */
export class BegunJobs {
  readonly #state: ClusterState;

  readonly #onBegan: (job: JobProgress) => void;

  /** The jobs whose stored state is out of date, in the order in which they began. */
  readonly #beganMs = new Map<JobProgress, number>();

  /** `onBegan` is called for each task that has begun, also again. */
  constructor(state: ClusterState, onBegan: (job: JobProgress) => void) {
    this.#state = state;
    this.#onBegan = onBegan;
  }

  /** Records that a worker has started this task, or reports it as running. */
  taskBegan(job: JobProgress, ref: TaskRef, nowMs: number): void {
    this.#onBegan(job);
    if (job.state !== 'queued') return;
    const isWaiting = job.spec.steps[ref.step]!.gang && !this.#isGangComplete(job, ref);
    if (!isWaiting) this.#began(job, nowMs);
  }

  /** Records that a run of this task has ended: it may not have been reported while it ran. */
  taskEnded(job: JobProgress, ref: TaskRef, how: EndKind, nowMs: number): void {
    this.#onBegan(job);
    if (job.state !== 'queued') return;
    // A member of a gang may have waited for the others in vain.
    const hasBegun = !job.spec.steps[ref.step]!.gang || how === 'done' || how === 'failed';
    if (hasBegun) this.#began(job, nowMs);
  }

  /** Adds the jobs to the changed ones whose stored state must show by now that they have begun. */
  storeDue(nowMs: number): void {
    for (const [job, beganMs] of this.#beganMs) {
      if (nowMs - beganMs < MAX_UNSTORED_MS) return;
      this.#state.changed.add(job);
    }
  }

  /** Records that the present state of these jobs is about to be stored. */
  storing(jobs: Iterable<JobProgress>): void {
    for (const job of jobs) this.#beganMs.delete(job);
  }

  #began(job: JobProgress, nowMs: number): void {
    job.markRunning();
    this.#beganMs.set(job, nowMs);
  }

  /** Returns whether all members of a gang are at their workers: they begin together. */
  #isGangComplete(job: JobProgress, ref: TaskRef): boolean {
    return stepTasks(job, ref).every(({ run, worker }, index) => {
      const known = this.#state.workers.get(worker)?.runs.get(taskName({ ...ref, index }));
      return known?.run === run && known.confirmed;
    });
  }
}
