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
 * How long the leader may take to start the unstarted tasks of all accepted jobs, in milliseconds. An
 * accepted job ends within 14 s: a change of leader takes five of these, and three steps of two
 * seconds run one after another.
 */
export const MAX_BACKLOG_MS = 3_000;

/** The lowest rate of starts: a lower one means that the leader was stopped, not slow. */
const MIN_STARTS_PER_SECOND = 1;

/** The highest rate of starts; it limits nothing. */
const MAX_STARTS_PER_SECOND = 1_000_000;

/** Returns the nearest rate of starts that a leader's record may state. */
export function clampedStartRate(startsPerSecond: number): number {
  return Math.min(MAX_STARTS_PER_SECOND, Math.max(MIN_STARTS_PER_SECOND, startsPerSecond));
}

/** Returns whether a job is accepted whatever waits. */
export function isAlwaysAccepted({ schedule, steps }: JobSpec): boolean {
  return schedule !== undefined || steps.some(({ lasting }) => lasting);
}

/**
 * Returns after how many milliseconds a leader with this rate of starts will have started so many of
 * the unstarted tasks that the others wait no longer than they may; undefined if they need not wait
 * longer now.
 */
export function startBacklogMs(
  unstartedTasks: number,
  startsPerSecond: number,
): number | undefined {
  const excessMs = (1_000 * unstartedTasks) / startsPerSecond - MAX_BACKLOG_MS;
  return excessMs > 0 ? Math.ceil(excessMs) : undefined;
}

/**
 * Returns how long a caller should wait before it submits the job again, in milliseconds; undefined
 * if the job can be accepted now. Long-running and scheduled jobs have no priority starts and are
 * always accepted.
 */
export function retryDelayMs(
  spec: JobSpec,
  { pool }: QueuePolicy,
  retryAfterMs: RetryAfter,
): number | undefined {
  if (isAlwaysAccepted(spec)) return undefined;
  const { steps } = spec;
  const delaysMs = steps.map(({ fills }) => retryAfterMs[capacityClassOf(pool, fills)] ?? 0);
  return Math.max(0, ...delaysMs) || undefined;
}
