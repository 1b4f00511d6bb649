import { isAlwaysAccepted } from '../admission.js';
import { isFinal } from '../job.js';
import type { JobSpec, QueuePolicy, StepSpec } from '../job.js';
import type { JobProgress, TaskProgress } from '../job-progress.js';
import { criticalPathsMs, worthlessAfterMs } from './urgency.js';

/** The work of a job's tasks in one capacity class, in core milliseconds of the caller's estimate. */
export interface ClassWork {
  /** The work of the tasks that wait, those of later steps included. */
  waiting: number;
  /** The work of the tasks that are done. */
  done: number;
  /** The number of tasks that are done. */
  doneTasks: number;
}

/** The work of a job in the two capacity classes of its pool. */
export interface JobWork {
  readonly reserved: ClassWork;
  readonly bestEffort: ClassWork;
  /** The time of day from which on the waiting work is of no use to the caller. */
  readonly worthlessMs: number;
}

/** Returns the work of a step with this number of tasks, in core milliseconds of the estimate. */
export function stepWorkOf({ cpuMilli, estimateMs }: StepSpec, taskCount: number): number {
  return taskCount * Math.round((cpuMilli * estimateMs) / 1_000);
}

/** Returns the work of a new job, in core milliseconds of the caller's estimate. */
export function newJobWorkOf({ steps }: JobSpec): number {
  return steps.reduce((sum, step) => sum + stepWorkOf(step, step.taskCount), 0);
}

/**
 * Returns the work of a job; undefined for long-running and scheduled jobs, whose work is not done
 * within a foreseeable time.
 */
export function jobWorkOf(job: JobProgress, queue: QueuePolicy): JobWork | undefined {
  const { spec } = job;
  if (isAlwaysAccepted(spec)) return undefined;
  const reserved: ClassWork = { waiting: 0, done: 0, doneTasks: 0 };
  const bestEffort: ClassWork = { waiting: 0, done: 0, doneTasks: 0 };
  const paths = criticalPathsMs(spec);
  let pathMs = 0;
  for (const { steps } of job.occurrences.values()) {
    for (const [index, tasks] of steps.entries()) {
      const step = spec.steps[index]!;
      const work = step.fills ? bestEffort : reserved;
      const waitingTasks = isFinal(job.state) ? 0 : countOf(tasks, 'waiting');
      const doneTasks = countOf(tasks, 'done');
      work.waiting += stepWorkOf(step, waitingTasks);
      work.done += stepWorkOf(step, doneTasks);
      work.doneTasks += doneTasks;
      if (waitingTasks > 0) pathMs = Math.max(pathMs, paths[index]!);
    }
  }
  const worthlessMs = spec.acceptedMs + worthlessAfterMs(spec, queue) - pathMs;
  return { reserved, bestEffort, worthlessMs };
}

function countOf(tasks: readonly TaskProgress[], phase: TaskProgress['phase']): number {
  let count = 0;
  for (const task of tasks) if (task.phase === phase) count += 1;
  return count;
}
