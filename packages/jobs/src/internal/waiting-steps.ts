import type { QueuePolicy, StepSpec } from '../job.js';
import type { JobProgress, Occurrence, TaskProgress } from '../job-progress.js';
import type { TaskRef } from '../task-ref.js';
import { feasibilityOf, objectiveMsOf } from './urgency.js';

/**
 * The order of the steps of one priority when there is not enough capacity for all; lower ranks
 * come first.
 *
 * - 0: long-running tasks that were running before: their callers are without them now.
 * - 1: one task of each starved job that has a priority start, in the order of these starts.
 * - 2: steps of jobs that can still end in time.
 * - 3: long-running tasks that have never run. They hold their capacity for minutes, so a short
 *   job that they displace earns four times as much with the same processor time. None of them is
 *   placed while a job that can still end in time lacks room.
 * - 4: the first best-effort task of each idle job that can no longer end in time.
 * - 5: steps of jobs that can only end late.
 * - 6: steps of jobs that end too late to be of use.
 */
export type Rank = 0 | 1 | 2 | 3 | 4 | 5 | 6;

/** The rank of steps of jobs that can still end in time. */
export const IN_TIME_RANK: Rank = 2;

/** The rank of long-running tasks that have never run. */
export const NEW_LONG_RUNNING_RANK: Rank = 3;

/** The rank of a step that is not long-running, by feasibility. */
const RANK_BY_FEASIBILITY: readonly Rank[] = [IN_TIME_RANK, 5, 6];

/** A step with tasks that could be started now. */
export interface WaitingStep {
  readonly job: JobProgress;
  readonly queue: QueuePolicy;
  readonly spec: StepSpec;
  readonly ref: TaskRef;
  readonly tasks: TaskProgress[];
  readonly rank: Rank;
  /**
   * Within a rank, the lowest value goes first: the time of day by which the job should have ended,
   * or, for a starved or idle job, when it was queued for a priority start.
   */
  readonly sortMs: number;
  /** The maximum number of tasks with this rank; the step is listed again for the others. */
  readonly maxTasks: number;
}

/** Yields the steps of one occurrence that have tasks to start and whose dependencies are done. */
export function* waitingStepsOf(
  job: JobProgress,
  queue: QueuePolicy | undefined,
  occurrence: Occurrence,
  timeOfDayMs: number,
): Generator<WaitingStep> {
  if (!queue) return;
  for (let step = 0; step < occurrence.steps.length; step += 1) {
    const tasks = occurrence.steps[step]!;
    const hasWaiting = tasks.some(isWaiting);
    if (hasWaiting && job.isStepReady(occurrence, step)) {
      const ref = { jobId: job.spec.id, occurrence: occurrence.number, step, index: 0 };
      const requestedMs = requestedMsOf(job, occurrence);
      const spec = job.spec.steps[step]!;
      const rank = spec.lasting
        ? longRunningRank(tasks)
        : RANK_BY_FEASIBILITY[feasibilityOf(job.spec, queue, step, requestedMs, timeOfDayMs)]!;
      const sortMs = requestedMs + objectiveMsOf(job.spec, queue);
      yield { job, queue, spec, ref, tasks, rank, sortMs, maxTasks: Infinity };
    }
  }
}

function longRunningRank(tasks: readonly TaskProgress[]): Rank {
  return tasks.some(({ phase, run }) => phase === 'waiting' && run > 0) ? 0 : NEW_LONG_RUNNING_RANK;
}

/**
 * Returns when the work of an occurrence was requested: at its due time, or when the job was
 * accepted.
 */
export function requestedMsOf({ spec }: JobProgress, { number }: Occurrence): number {
  const { schedule, acceptedMs } = spec;
  return schedule ? schedule.firstDueMs + number * schedule.intervalMs : acceptedMs;
}

/**
 * Compares steps: urgent queues go first; within a queue priority the lower rank; within a rank the
 * earliest deadline. In the order of arrival, a burst would make every job after it late as well.
 */
export function byUrgency(a: WaitingStep, b: WaitingStep): number {
  if (a.queue.priority !== b.queue.priority) return a.queue.priority - b.queue.priority;
  if (a.rank !== b.rank) return a.rank - b.rank;
  return a.sortMs - b.sortMs;
}

/** Whether a task has yet to be started, for the first time or again. */
export function isWaiting({ phase }: TaskProgress): boolean {
  return phase === 'waiting';
}
