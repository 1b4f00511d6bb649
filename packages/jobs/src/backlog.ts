/** What tasks take of the listed workers' processors. */
export interface Usage {
  /** The part that tasks have reserved, in percent. */
  readonly reservedPercent: number;
  /** The part that best-effort tasks claim, in percent; they reserve none. */
  readonly bestEffortPercent: number;
}

/**
 * Jobs that could go on and have nothing at work, and the room that there is meanwhile. Both together
 * tell a cluster that is full from one that leaves jobs alone.
 */
export interface Backlog extends Usage {
  readonly idleJobs: number;
  /** For how long the one has been idle that waits longest, in milliseconds; 0 where none is. */
  readonly longestIdleMs: number;
}
