import type { JobSpec, QueuePolicy } from './job.js';

/**
 * For each capacity class and queue priority whose jobs would wait too long: the delay in
 * milliseconds after which callers should retry. If a job is accepted nevertheless, that job or
 * another one stays idle for longer than its allowance. A capacity class without a priority, as in
 * records of earlier versions, stands for all priorities.
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

/** Returns the key of a capacity class and a queue priority in `RetryAfter`. */
export function refusalKeyOf(capacityClass: string, priority: number): string {
  return `${capacityClass} ${priority}`;
}

/**
 * How long the leader may take to start the unstarted tasks of all accepted jobs, in milliseconds. An
 * accepted job ends within 14 s: a change of leader takes five of these, and three steps of two
 * seconds run one after another.
 */
export const MAX_BACKLOG_MS = 3_000;

/**
 * How long the leader may take to start the unstarted tasks that come before a job, in milliseconds.
 * Less urgent jobs fill no more than this part of the backlog, so the rest is left to the most urgent
 * ones.
 */
const MAX_BACKLOG_AHEAD_MS = MAX_BACKLOG_MS / 2;

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

/** The tasks of accepted jobs that the leader has yet to start, as a submitted job finds them. */
export interface StartBacklog {
  readonly unstartedTasks: number;
  /** Those of queues that are not less urgent: the leader starts them before tasks of the job. */
  readonly aheadTasks: number;
  /** Whether no configured queue is more urgent than that of the job. */
  readonly isMostUrgent: boolean;
}

/**
 * Returns after how many milliseconds a leader with this rate of starts will have started so many of
 * the unstarted tasks that a job can be accepted; undefined if it can be accepted now.
 */
export function startBacklogMs(
  { unstartedTasks, aheadTasks, isMostUrgent }: StartBacklog,
  startsPerSecond: number,
): number | undefined {
  const startingMs = (tasks: number): number => (1_000 * tasks) / startsPerSecond;
  const aheadMs = startingMs(aheadTasks) - MAX_BACKLOG_AHEAD_MS;
  const totalMs = isMostUrgent ? startingMs(unstartedTasks) - MAX_BACKLOG_MS : Infinity;
  const excessMs = Math.min(aheadMs, totalMs);
  return excessMs > 0 ? Math.ceil(excessMs) : undefined;
}

/**
 * Returns how long a caller should wait before it submits the job again, in milliseconds; undefined
 * if the job can be accepted now. Long-running and scheduled jobs have no priority starts and are
 * always accepted.
 */
export function retryDelayMs(
  spec: JobSpec,
  { pool, priority }: QueuePolicy,
  retryAfterMs: RetryAfter,
): number | undefined {
  if (isAlwaysAccepted(spec)) return undefined;
  const delaysMs = spec.steps.flatMap(({ fills }) => {
    const capacityClass = capacityClassOf(pool, fills);
    const keys = [capacityClass, refusalKeyOf(capacityClass, priority)];
    return keys.map((key) => retryAfterMs[key] ?? 0);
  });
  return Math.max(0, ...delaysMs) || undefined;
}
