/**
 * Why a run is stopped.
 *
 * - `cancelled`, `failed`, `completed`: its job is in that state.
 * - `unknown-job`: no job needs it.
 * - `superseded`: its task is bound to another worker, or to a later run.
 * - `broken-gang`: another member of its gang is not running.
 * - `worker-leaves`: its worker is about to leave.
 * - `upkeep`: its machine is about to have maintenance.
 * - `stands-still`: it made no progress for too long.
 * - `halted`: it must not work at all beside a serving task, and either its progress is saved or no
 *   other task of its job is running.
 * - `preempted`: it held memory that a task of a more urgent queue needs.
 * - `copy-not-needed`: the other run of its task has ended first.
 * - `worker-restarted`: its worker has restarted under the same id, and its start may yet arrive.
 */
export type StopReason =
  | 'cancelled'
  | 'failed'
  | 'completed'
  | 'unknown-job'
  | 'superseded'
  | 'broken-gang'
  | 'worker-leaves'
  | 'upkeep'
  | 'stands-still'
  | 'halted'
  | 'preempted'
  | 'copy-not-needed'
  | 'worker-restarted';
