import type { NodeLog } from '../node-log.js';
import { steadyMs } from './delay.js';
import { UNREAD_JOBS_CLAIM_DELAY_MS } from './timing.js';
import type { WorkFollower } from './work-follower.js';
import type { WorkTable } from './work-table.js';

/**
 * Lets nodes that have read the callers' jobs claim vacant leadership before this node while it has
 * not.
 *
 * A leader without the jobs can only renew leases: it accepts no job and starts no long-running
 * task again. On a narrow link that lasts for seconds, and as its records are written in time, no
 * other node replaces it. The delay has a limit, as after a power failure, or while the callers'
 * log cannot be read, no node may have the jobs, and leases must be renewed.
 */
export class UnreadJobsDelay {
  readonly #work: Pick<WorkFollower, 'hasRecentJobs' | 'jobsCompleteAsOfMs'>;

  readonly #log: NodeLog;

  /** Since when a claim is put off, on the steady clock. */
  #sinceMs = -Infinity;

  constructor(work: Pick<WorkFollower, 'hasRecentJobs' | 'jobsCompleteAsOfMs'>, log: NodeLog) {
    this.#work = work;
    this.#log = log;
  }

  /**
   * Whether a claim of leadership, which is vacant, is to be put off. The delay is counted from the
   * first call since the leader's last record.
   */
  putsOffClaim({ leader, leaderSeenMs }: Pick<WorkTable, 'leader' | 'leaderSeenMs'>): boolean {
    if (this.#work.hasRecentJobs) return false;
    const nowMs = steadyMs();
    if (this.#sinceMs <= leaderSeenMs) {
      this.#sinceMs = nowMs;
      const ageMs = nowMs - this.#work.jobsCompleteAsOfMs;
      this.#log.emit('info', 'claim-put-off', {
        reason: 'jobs-unread',
        epoch: (leader?.epoch ?? 0) + 1,
        ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
        delayMs: UNREAD_JOBS_CLAIM_DELAY_MS,
      });
    }
    return nowMs - this.#sinceMs < UNREAD_JOBS_CLAIM_DELAY_MS;
  }
}
