import type { WorkerRun } from './worker-run.js';
import type { WorkerState } from './worker-state.js';

/**
 * How long before its worker leaves a task that saves checkpoints is stopped, in milliseconds: a
 * stop may take 900 ms, and its end must still be received.
 */
const CHECKPOINT_LEAD_MS = 1_200;

/**
 * Returns whether a run must be stopped because its worker is about to leave. Long-running tasks
 * are stopped at once: they run elsewhere within moments, and would otherwise be unavailable until
 * the leases of the worker have certainly expired. Other tasks may still finish, and lose no work
 * if they save checkpoints.
 */
export function mustEvacuate(worker: WorkerState, run: WorkerRun, nowMs: number): boolean {
  if (!worker.entry.draining || !worker.listed || !run.confirmed) return false;
  if (run.spec.lasting) return true;
  return run.spec.checkpointing && nowMs >= worker.leavesMs - CHECKPOINT_LEAD_MS;
}
