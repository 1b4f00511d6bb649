import type { RoundCandidates } from './round-candidates.js';
import type { WorkerRun } from './worker-run.js';
import type { WorkerState } from './worker-state.js';

/**
 * A job whose tasks have all been halted for this time is moved to another worker, in milliseconds.
 */
const MOVE_HALTED_AFTER_MS = 1_000;

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

/** Returns whether a run that has been halted for some time can continue on another worker. */
export function canMove(
  { worker, run }: HaltedRun,
  roundCandidates: RoundCandidates,
  pool: string,
  nowMs: number,
): boolean {
  if (run.spec.gang || run.stopSentMs > 0 || nowMs - run.progressedMs < MOVE_HALTED_AFTER_MS)
    return false;
  const target = roundCandidates
    .of(run.spec, pool, true)
    .choose({ ...run, avoid: worker.entry.id });
  return target !== undefined && target !== worker;
}
