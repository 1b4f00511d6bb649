import type { TaskCopy, TaskProgress } from '../job-progress.js';

/** Yields the runs of a bound task: its first run, and its copy if that has not ended. */
export function* runsOf({ phase, run, worker, copy }: TaskProgress): Generator<TaskCopy> {
  if (phase !== 'bound') return;
  yield { run, worker };
  if (copy?.worker) yield copy;
}

/** Returns whether this is the task's latest run on this worker, or its copy. */
export function isLatestRun(task: TaskProgress, run: number, worker: string): boolean {
  if (task.run === run) return task.worker === worker;
  return task.copy?.run === run && task.copy.worker === worker;
}

/** Returns whether the task is bound to this run on this worker. */
export function isBoundTo(task: TaskProgress, run: number, worker: string): boolean {
  return task.phase === 'bound' && isLatestRun(task, run, worker);
}

/** Returns the run beside this one that the task is bound to; undefined if there is none. */
export function otherRunOf(task: TaskProgress, run: number): TaskCopy | undefined {
  for (const other of runsOf(task)) if (other.run !== run) return other;
  return undefined;
}

/**
 * Removes a run that has ended from a bound task. Returns whether the task is still bound to another
 * run; its number of the latest run stays the highest that was used.
 */
export function dropRun(task: TaskProgress, run: number): boolean {
  const { copy } = task;
  if (!copy) return false;
  if (run === copy.run) {
    task.copy = { run, worker: '' };
    return true;
  }
  delete task.copy;
  task.run = copy.run;
  if (copy.worker) task.worker = copy.worker;
  return copy.worker !== '';
}
