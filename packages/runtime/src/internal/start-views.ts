import type { LogFields } from '../node-log.js';
import type { WorkFollower } from './work-follower.js';
import type { WorkerList } from './worker-list.js';

/** When the views were last known to be complete that a start rests on, on the steady clock. */
export interface StartViews {
  /** Of the workers' entries: which of them leave. */
  readonly workersFreshMs: number;
  /** Of the callers' log: which jobs are cancelled. */
  readonly jobsFreshMs: number;
}

/** The views as the list and the follower of the callers' log have them. */
export function viewsOf(
  workers: Pick<WorkerList, 'freshMs'>,
  work: Pick<WorkFollower, 'jobsFreshMs'>,
): StartViews {
  return {
    get workersFreshMs() {
      return workers.freshMs;
    },
    get jobsFreshMs() {
      return work.jobsFreshMs;
    },
  };
}

/** How old the views are, as lines of the log tell it. */
export function agesOf({ workersFreshMs, jobsFreshMs }: StartViews, nowMs: number): LogFields {
  return {
    workersAgeMs: Math.round(nowMs - workersFreshMs),
    jobsAgeMs: Math.round(nowMs - jobsFreshMs),
  };
}
