import type { QueuePolicy, StepSpec } from '../job.js';
import type { JobProgress, Occurrence, TaskProgress } from '../job-progress.js';
import type { TaskRef } from '../task-ref.js';
import { feasibilityOf, objectiveMs } from './urgency.js';

/**
 * Which steps of one priority come first where there is not room for all.
 *
 * - 0: lasting tasks that were at work before: whoever relies on them is without them now.
 * - 1: one task of a job of which none has been at a worker for long, in the order of their turns.
 * - 2: steps of jobs that can still end in time.
 * - 3: lasting tasks that were never at work. They hold their room for minutes, so a short job
 *   that they displace earns four times what they would with the same processor time.
 * - 4: the first tasks of jobs that have few at workers, while these have much room.
 * - 5: steps of jobs that can only end late.
 * - 6: steps of jobs that end too late to be of use.
 */
export type Rank = 0 | 1 | 2 | 3 | 4 | 5 | 6;

/** The rank of steps of jobs that can still end in time. */
export const IN_TIME_RANK: Rank = 2;

/** The rank of a short job by what it can still attain. */
const RANK_BY_FEASIBILITY: readonly Rank[] = [IN_TIME_RANK, 5, 6];

/** A step with tasks that could be started now. */
export interface WaitingStep {
  readonly job: JobProgress;
  readonly queue: QueuePolicy;
  readonly spec: StepSpec;
  readonly ref: TaskRef;
  readonly tasks: TaskProgress[];
  readonly rank: Rank;
  /** Of one rank the lowest goes first: the time of day by which the job should have ended. */
  readonly sortMs: number;
  /** Only so many of the tasks have this rank; the step stands once more for the rest. */
  readonly maxTasks: number;
}

/** The steps of one occurrence that have tasks to start and wait for nothing else. */
export function* waitingStepsOf(
  job: JobProgress,
  queue: QueuePolicy | undefined,
  occurrence: Occurrence,
  timeOfDayMs: number,
): Generator<WaitingStep> {
  if (!queue) return;
  for (let step = 0; step < occurrence.steps.length; step += 1) {
    const tasks = occurrence.steps[step]!;
    const hasWaiting = tasks.some(({ phase }) => phase === 'waiting');
    if (hasWaiting && job.isStepReady(occurrence, step)) {
      const ref = { jobId: job.spec.id, occurrence: occurrence.number, step, index: 0 };
      const requestedMs = requestedMsOf(job, occurrence);
      const spec = job.spec.steps[step]!;
      const rank = spec.lasting
        ? longRunningRank(tasks)
        : RANK_BY_FEASIBILITY[feasibilityOf(job.spec, queue, step, requestedMs, timeOfDayMs)]!;
      const sortMs = requestedMs + objectiveMs(job.spec, queue);
      yield { job, queue, spec, ref, tasks, rank, sortMs, maxTasks: Infinity };
    }
  }
}

function longRunningRank(tasks: readonly TaskProgress[]): Rank {
  return tasks.some(({ phase, run }) => phase === 'waiting' && run > 0) ? 0 : 3;
}

/** When the work of an occurrence was asked for: at its due time, or with the job. */
function requestedMsOf({ spec }: JobProgress, { number }: Occurrence): number {
  const { schedule, acceptedMs } = spec;
  return schedule ? schedule.firstDueMs + number * schedule.intervalMs : acceptedMs;
}

/**
 * Urgent queues first. Within one by rank, and of one rank the earliest deadline first;
 * served in the order of their arrival, a burst makes every job after it late as well.
 */
export function byUrgency(a: WaitingStep, b: WaitingStep): number {
  if (a.queue.priority !== b.queue.priority) return a.queue.priority - b.queue.priority;
  if (a.rank !== b.rank) return a.rank - b.rank;
  return a.sortMs - b.sortMs;
}
