import type { JobSpec, QueuePolicy } from './job.js';

/**
 * By pool of workers that has more idle jobs than turns for them: in how many milliseconds callers had
 * better come back. A job that is accepted all the same waits with nothing at work, or others do.
 */
export type RetryAfter = Readonly<Record<string, number>>;

/**
 * In how many milliseconds a caller had better come back with a job; undefined where it can be taken
 * now. Jobs that last or are due later take no part in the turns.
 */
export function refusalMs(
  { schedule, steps }: JobSpec,
  { pool }: QueuePolicy,
  retryAfterMs: RetryAfter,
): number | undefined {
  if (schedule || steps.some(({ lasting }) => lasting)) return undefined;
  return retryAfterMs[pool];
}
