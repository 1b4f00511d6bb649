import type { JobSpec, QueuePolicy } from './job.js';
import type { UnstartedTasks } from './job-progress.js';

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
 * Returns the key in `RetryAfter` of a pool whose workers are all in evacuated data centres, or of a
 * label in it that only such workers have. It applies to every job that would have to start there
 * now.
 */
export function evacuatedKeyOf(pool: string, label = ''): string {
  return label === '' ? `${pool} evacuated` : `${pool} evacuated ${label}`;
}

/**
 * How long the leader may take to start the tasks of all accepted jobs that could be started now, in
 * milliseconds. An accepted job ends within 14 s: a change of leader takes five of these, and three
 * steps of two seconds run one after another.
 */
export const MAX_BACKLOG_MS = 3_000;

/**
 * The same for jobs of a queue that is less urgent than another one, in milliseconds: they leave half
 * of the backlog to the most urgent jobs.
 */
const MAX_LESS_URGENT_BACKLOG_MS = MAX_BACKLOG_MS / 2;

/**
 * How much longer the leader may take to start all tasks of accepted jobs, those of later steps
 * included, in milliseconds. They can only be started when earlier steps have ended, by which time the
 * leader has started others. Without any limit, a job with few tasks first and many later would be
 * accepted at any time.
 */
const LATER_STEPS_MS = 1_500;

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
 * the unstarted tasks that a job can be accepted; undefined if it can be accepted now. The tasks of
 * all jobs count, also those that come after the job: they have been accepted.
 */
export function startBacklogMs(
  { unstartedTasks, readyTasks }: UnstartedTasks,
  startsPerSecond: number,
  isMostUrgent: boolean,
): number | undefined {
  const maxMs = isMostUrgent ? MAX_BACKLOG_MS : MAX_LESS_URGENT_BACKLOG_MS;
  const excessTasks = Math.max(
    readyTasks - (startsPerSecond * maxMs) / 1_000,
    unstartedTasks - (startsPerSecond * (maxMs + LATER_STEPS_MS)) / 1_000,
  );
  const excessMs = (1_000 * excessTasks) / startsPerSecond;
  return excessMs > 0 ? Math.ceil(excessMs) : undefined;
}

/**
 * Returns how long a caller should wait before it submits the job again, in milliseconds; undefined
 * if the job can be accepted now. Long-running and scheduled jobs have no priority starts: a
 * long-running job is accepted unless no worker may run it, a scheduled one always, as it is due
 * later.
 */
export function retryDelayMs(
  spec: JobSpec,
  { pool, priority }: QueuePolicy,
  retryAfterMs: RetryAfter,
): number | undefined {
  const keys = evacuatedKeysOf(spec, pool);
  if (!isAlwaysAccepted(spec)) {
    for (const { fills } of spec.steps) {
      const capacityClass = capacityClassOf(pool, fills);
      keys.push(capacityClass, refusalKeyOf(capacityClass, priority));
    }
  }
  return Math.max(0, ...keys.map((key) => retryAfterMs[key] ?? 0)) || undefined;
}

/** Returns whether the job is refused because only evacuated data centres could run it. */
export function needsEvacuated(
  spec: JobSpec,
  { pool }: QueuePolicy,
  retryAfterMs: RetryAfter,
): boolean {
  return evacuatedKeysOf(spec, pool).some((key) => retryAfterMs[key] !== undefined);
}

function evacuatedKeysOf({ schedule, steps }: JobSpec, pool: string): string[] {
  if (schedule) return [];
  return [
    evacuatedKeyOf(pool),
    ...steps.map(({ requiredLabel }) => evacuatedKeyOf(pool, requiredLabel)),
  ];
}
