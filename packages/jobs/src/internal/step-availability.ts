import type { JobProgress } from '../job-progress.js';
import type { TaskRef } from '../task-ref.js';
import { taskName } from '../task-ref.js';
import { SILENT_MS } from './placement.js';
import type { WorkerRun } from './worker-run.js';
import type { WorkerState } from './worker-state.js';

/** The percentage at which a task counts as at work. */
const AT_WORK_PERCENT = 100;

/** Whether the newest report shows the run at work, and no stop was sent. */
export function isAtWork(worker: WorkerState, run: WorkerRun, nowMs: number): boolean {
  if (!run.confirmed || run.percent !== AT_WORK_PERCENT || run.stopSentMs > 0) return false;
  return nowMs - worker.answeredMs <= SILENT_MS;
}

/** Returns the same text for the tasks of one step of one occurrence. */
export function stepKeyOf({ jobId, occurrence, step }: TaskRef): string {
  return `${jobId}.${occurrence}.${step}`;
}

/**
 * Returns how many tasks of a step are away, that is, not at work. `down`: workers that end or may
 * have ended with the maintenance of their machines.
 *
 * The limit on unavailable tasks counts a task that is away for another cause than maintenance only
 * after some seconds. Here such a task counts at once: a new leader does not know for how long it
 * has been away.
 */
export function awayCount(
  job: JobProgress,
  ref: TaskRef,
  workers: ReadonlyMap<string, WorkerState>,
  down: ReadonlySet<string>,
  nowMs: number,
): number {
  const tasks = job.occurrences.get(ref.occurrence)?.steps[ref.step] ?? [];
  let count = 0;
  for (const [index, { phase, worker: id, run: number }] of tasks.entries()) {
    const worker = phase === 'bound' && !down.has(id) ? workers.get(id) : undefined;
    const run = worker?.runs.get(taskName({ ...ref, index }));
    if (!worker || run?.run !== number || !isAtWork(worker, run, nowMs)) count += 1;
  }
  return count;
}
