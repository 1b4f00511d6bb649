/** The use of the listed workers' processors by tasks. */
export interface Usage {
  /** The part that tasks have reserved, in percent. */
  readonly reservedPercent: number;
  /** The part that long-running tasks have reserved, in percent. */
  readonly longRunningPercent: number;
  /** The part that best-effort tasks claim, in percent; they reserve none. */
  readonly bestEffortPercent: number;
}

/**
 * Idle jobs, and the use of the processors at the same time. Together they tell a cluster that is
 * full from one that leaves jobs idle beside free capacity.
 */
export interface Backlog extends Usage {
  readonly idleJobs: number;
  /** How long the longest-waiting job has been idle, in milliseconds; 0 if no job is idle. */
  readonly longestIdleMs: number;
  /** How many tasks wait for the rack of their data. */
  readonly rackWaitingTasks: number;
  /** How many steps of queues with advice have tasks to start and no worker with a valid ticket. */
  readonly adviceWaitingSteps: number;
  /** How many reserving tasks could start but found no worker in recent rounds. */
  readonly unplacedTasks: number;
  /** How many reserving tasks could start but were left out by the limits of the rounds. */
  readonly untriedTasks: number;
  /** `unplacedTasks` of best-effort tasks. */
  readonly unplacedBestEffort: number;
  /** `untriedTasks` of best-effort tasks. */
  readonly untriedBestEffort: number;
}
