import type { QueuePolicy, StepSpec } from '../job.js';
import type { JobProgress, Occurrence, TaskProgress } from '../job-progress.js';
import type { TaskRef } from '../task-ref.js';
import type { Hope } from './urgency.js';
import { hopeOf, objectiveMs } from './urgency.js';

/** A step with tasks that could be started now. */
export interface WaitingStep {
  readonly job: JobProgress;
  readonly queue: QueuePolicy;
  readonly spec: StepSpec;
  readonly ref: TaskRef;
  readonly tasks: TaskProgress[];
  readonly hope: Hope;
  /** Time of day by which the job should have ended. */
  readonly deadlineMs: number;
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
    const waits = tasks.some(({ phase }) => phase === 'waiting');
    if (waits && job.isStepReady(occurrence, step)) {
      const ref = { jobId: job.spec.id, occurrence: occurrence.number, step, index: 0 };
      const sinceMs = sinceOf(job, occurrence);
      const hope = hopeOf(job.spec, queue, step, sinceMs, timeOfDayMs);
      const deadlineMs = sinceMs + objectiveMs(job.spec, queue);
      yield { job, queue, spec: job.spec.steps[step]!, ref, tasks, hope, deadlineMs };
    }
  }
}

/** When the work of an occurrence was asked for: at its due time, or with the job. */
function sinceOf({ spec }: JobProgress, { number }: Occurrence): number {
  const { schedule, acceptedMs } = spec;
  return schedule ? schedule.firstDueMs + number * schedule.intervalMs : acceptedMs;
}

/**
 * Urgent queues first. Within one, jobs that can still end in time, the earliest deadline first;
 * served in the order of their arrival, a burst makes every job after it late as well.
 */
export function byUrgency(a: WaitingStep, b: WaitingStep): number {
  if (a.queue.priority !== b.queue.priority) return a.queue.priority - b.queue.priority;
  if (a.hope !== b.hope) return a.hope - b.hope;
  return a.deadlineMs - b.deadlineMs;
}
