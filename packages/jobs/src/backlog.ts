/**
 * Jobs that could go on and have nothing at a worker, and the room that there is meanwhile. Lasting
 * tasks do not count. Both together tell a cluster that is full from one that leaves jobs alone.
 */
export interface Backlog {
  /** Jobs with tasks to start and none at a worker. */
  readonly idleJobs: number;
  /** For how long the one has been idle that waits longest, in milliseconds; 0 where none is. */
  readonly longestIdleMs: number;
  /** The part of the listed workers' processors that tasks have reserved, in percent. */
  readonly reservedPercent: number;
  /** The same that best-effort tasks claim; they reserve none. */
  readonly bestEffortPercent: number;
}
