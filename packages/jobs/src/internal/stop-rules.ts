import { isFinal } from '../job.js';
import type { JobProgress } from '../job-progress.js';
import type { ClusterState } from './cluster-state.js';
import { mustEvacuate } from './evacuation.js';
import { findTask } from './runs.js';
import type { StopReason } from './stop-reason.js';
import { isLatestRun } from './task-runs.js';
import type { WorkerRun } from './worker-run.js';
import type { WorkerState } from './worker-state.js';

/** Decides which runs must be stopped. */
export class StopRules {
  readonly #state: ClusterState;

  constructor(state: ClusterState) {
    this.#state = state;
  }

  /** Returns why the run must be stopped; undefined if it may continue. */
  reason(worker: WorkerState, run: WorkerRun, nowMs: number): StopReason | undefined {
    const reason = this.unwantedReason(worker, run);
    if (reason) return reason;
    return mustEvacuate(worker, run, nowMs) ? 'worker-leaves' : undefined;
  }

  /** Returns why no job needs the run on this worker; undefined if a job does. */
  unwantedReason(worker: WorkerState, run: WorkerRun): StopReason | undefined {
    if (this.#state.isUnloaded(run.ref.jobId)) return undefined;
    const job = this.#state.jobs.get(run.ref.jobId);
    if (!job) return 'unknown-job';
    if (isFinal(job.state)) return job.state;
    const task = findTask(job, run.ref);
    if (!task) return 'unknown-job';
    if (run.stopReason) return run.stopReason;
    if (!isLatestRun(task, run.run, worker.entry.id) || task.phase === 'waiting')
      return 'superseded';
    // An earlier run of the task has succeeded.
    if (task.phase === 'done' && !run.spec.gang) return 'superseded';
    // The other members of a gang end by themselves when one has succeeded.
    return isBrokenGang(job, run) ? 'broken-gang' : undefined;
  }
}

function isBrokenGang(job: JobProgress, { spec, ref }: WorkerRun): boolean {
  if (!spec.gang) return false;
  const tasks = job.occurrences.get(ref.occurrence)!.steps[ref.step]!;
  return tasks.some(({ phase }) => phase === 'waiting');
}
