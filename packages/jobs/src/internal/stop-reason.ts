import type { WorkerRun } from './worker-state.js';

/**
 * Why a run is stopped.
 *
 * - `cancelled`, `failed`, `completed`: its job is in that state.
 * - `unknown-job`: no job asks for it.
 * - `superseded`: its task is bound elsewhere, or to a later run.
 * - `broken-gang`: another member of its gang is away.
 * - `worker-leaves`: its worker is about to leave.
 * - `stands-still`: it made no progress for too long.
 * - `halted`: beside a serving task it may not work at all, and its progress is saved or nothing
 *   else of its job is at work.
 */
export type StopReason =
  | 'cancelled'
  | 'failed'
  | 'completed'
  | 'unknown-job'
  | 'superseded'
  | 'broken-gang'
  | 'worker-leaves'
  | 'stands-still'
  | 'halted';

/** Processor time of a run that its next start does not find in a checkpoint, in milliseconds. */
export function lostCpuMs({ spec, confirmed, checkpointedMs }: WorkerRun, nowMs: number): number {
  if (!confirmed || spec.lasting) return 0;
  return Math.round((spec.cpuMilli / 1_000) * (nowMs - checkpointedMs));
}
