import type { JobSpec, QueuePolicy } from './job.js';

/**
 * For each capacity class that has more idle jobs than priority starts for them: the delay in
 * milliseconds after which callers should retry. If a job is accepted nevertheless, that job or
 * another one stays idle for longer than its allowance.
 */
export type RetryAfter = Readonly<Record<string, number>>;

/**
 * Returns the name of a capacity class: the tasks of one worker pool that compete for the same
 * capacity. Best-effort tasks use what the reserving tasks leave, so a backlog of one kind is no
 * reason to reject jobs of the other.
 */
export function capacityClassOf(pool: string, isBestEffort: boolean): string {
  return isBestEffort ? `${pool} best-effort` : `${pool} reserved`;
}

/**
 * Returns how long a caller should wait before it submits the job again, in milliseconds; undefined
 * if the job can be accepted now. Long-running and scheduled jobs have no priority starts and are
 * always accepted.
 */
export function retryDelayMs(
  { schedule, steps }: JobSpec,
  { pool }: QueuePolicy,
  retryAfterMs: RetryAfter,
): number | undefined {
  if (schedule || steps.some(({ lasting }) => lasting)) return undefined;
  const delaysMs = steps.map(({ fills }) => retryAfterMs[capacityClassOf(pool, fills)] ?? 0);
  return Math.max(0, ...delaysMs) || undefined;
}
