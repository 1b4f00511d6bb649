/**
 * The outcome of an attempt to place the waiting tasks of a step.
 *
 * - `placed`: every task that can be started now has been placed.
 * - `placeless`: a task fits on no worker.
 * - `yielded`: its new long-running tasks leave the room to jobs in time.
 * - `awaits-rack`: tasks wait for the rack of their data.
 * - `record-full`: the record of the job has no room for another started task.
 * - `cut-short`: the limits of the round ended placement.
 */
export type StepOutcome =
  'placed' | 'placeless' | 'yielded' | 'awaits-rack' | 'record-full' | 'cut-short';
