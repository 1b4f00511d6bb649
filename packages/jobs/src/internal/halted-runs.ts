import type { WorkerRun } from './worker-run.js';
import type { WorkerState } from './worker-state.js';

/** A run that must not work on its worker: its task stays bound there and makes no progress. */
export interface HaltedRun {
  readonly worker: WorkerState;
  readonly run: WorkerRun;
}

/**
 * Returns, for each job, the best-effort runs that were ordered not to work at all, because a
 * serving task on the same worker is near its target. Runs with saved progress are stopped at once;
 * the others stay until the load falls.
 */
export function haltedRuns(workers: Iterable<WorkerState>): ReadonlyMap<string, HaltedRun[]> {
  const byJob = new Map<string, HaltedRun[]>();
  for (const worker of workers) {
    for (const run of worker.runs.values()) {
      if (run.pace === 0 && run.spec.fills) {
        const { jobId } = run.ref;
        const known = byJob.get(jobId);
        if (known) known.push({ worker, run });
        else byJob.set(jobId, [{ worker, run }]);
      }
    }
  }
  return byJob;
}
