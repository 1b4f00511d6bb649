import type { WorkerRun, WorkerState } from './worker-state.js';

/** A run that may not work where it is: it holds its task there and gets nowhere. */
export interface HaltedRun {
  readonly worker: WorkerState;
  readonly run: WorkerRun;
}

/**
 * By job: best-effort runs that were told not to work at all, beside a serving task near its target.
 * Those whose progress is saved are stopped at once; the others wait here for the load to fall.
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
