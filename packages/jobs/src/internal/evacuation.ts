import type { WorkerRun, WorkerState } from './worker-state.js';

/**
 * So long before a worker leaves, tasks that save their progress are stopped there, in ms: a stop
 * may take nine tenths of a second, and its end must still be heard.
 */
const CHECKPOINT_LEAD_MS = 1_200;

/**
 * Whether a run must be stopped because its worker is about to leave. Lasting tasks go at once:
 * they are back at work elsewhere within moments, and would otherwise be away until the leases of
 * the worker are surely over. Others may still finish, and lose nothing by it if they save.
 */
export function mustEvacuate(worker: WorkerState, run: WorkerRun, nowMs: number): boolean {
  if (!worker.entry.draining || !worker.listed || !run.confirmed) return false;
  if (run.spec.lasting) return true;
  return run.spec.checkpointing && nowMs >= worker.leavesMs - CHECKPOINT_LEAD_MS;
}
