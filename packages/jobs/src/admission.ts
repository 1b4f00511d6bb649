import type { JobSpec, QueuePolicy } from './job.js';

/**
 * In how many milliseconds callers had better come back, by lane that has more idle jobs than turns
 * for them. A job that is accepted all the same waits with nothing at work, or others do.
 */
export type RetryAfter = Readonly<Record<string, number>>;

/**
 * The tasks of a pool of workers that wait for the same room: best-effort tasks take what is left over
 * by those that reserve theirs, so a crowd of the one kind is no reason to keep the other out.
 */
export function capacityClassOf(pool: string, isBestEffort: boolean): string {
  return isBestEffort ? `${pool} best-effort` : `${pool} reserved`;
}

/**
 * In how many milliseconds a caller had better come back with a job; undefined where it can be taken
 * now. Jobs that last or are due later take no part in the turns.
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
