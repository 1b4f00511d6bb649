import type { QueuePolicy, StepSpec } from '../job.js';
import type { JobProgress, Occurrence, TaskProgress } from '../job-progress.js';
import type { TaskRef } from '../task-ref.js';

/** A step with tasks that could be started now. */
export interface WaitingStep {
  readonly job: JobProgress;
  readonly queue: QueuePolicy;
  readonly spec: StepSpec;
  readonly ref: TaskRef;
  readonly tasks: TaskProgress[];
}

/** The steps of one occurrence that have tasks to start and wait for nothing else. */
export function* waitingStepsOf(
  job: JobProgress,
  queue: QueuePolicy | undefined,
  occurrence: Occurrence,
): Generator<WaitingStep> {
  if (!queue) return;
  for (let step = 0; step < occurrence.steps.length; step += 1) {
    const tasks = occurrence.steps[step]!;
    const waits = tasks.some(({ phase }) => phase === 'waiting');
    if (waits && job.isStepReady(occurrence, step)) {
      const ref = { jobId: job.spec.id, occurrence: occurrence.number, step, index: 0 };
      yield { job, queue, spec: job.spec.steps[step]!, ref, tasks };
    }
  }
}

/** Urgent queues first; within one, jobs in the order of their acceptance. */
export function byUrgency(a: WaitingStep, b: WaitingStep): number {
  if (a.queue.priority !== b.queue.priority) return a.queue.priority - b.queue.priority;
  return a.job.spec.acceptedMs - b.job.spec.acceptedMs;
}
