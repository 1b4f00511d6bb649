import type { WorkerState } from '@redwingcrank/jobs';
import { SILENT_WORKER_MS } from './timing.js';
import type { WorkerLink } from './worker-link.js';

/** The workers with running tasks that do not answer this node, or never did. */
export interface SilentWorkers {
  readonly silent: readonly WorkerState[];
  /** False while a worker that was not contacted yet may still turn out to be silent. */
  readonly isComplete: boolean;
}

/**
 * Finds the silent workers. A worker that was not contacted yet does not count as silent: with a
 * slow store the list of workers arrives late, and if all of them were listed as silent, none would
 * get a lease in time.
 */
export function silentWorkers(
  workers: Iterable<WorkerState>,
  links: ReadonlyMap<string, WorkerLink>,
  isListLoaded: boolean,
  nowMs: number,
): SilentWorkers {
  const silent: WorkerState[] = [];
  let isComplete = true;
  for (const worker of workers) {
    const link = links.get(worker.entry.id);
    if (worker.runs.size > 0 && !worker.fenced) {
      const isAsked = link ? link.isOverdue(nowMs) : isListLoaded;
      if (isAsked) silent.push(worker);
      else isComplete = false;
    } else if (worker.runs.size > 0) {
      const isLost = link?.isLost ?? true;
      if (isLost && nowMs - worker.answeredMs > SILENT_WORKER_MS) silent.push(worker);
    }
  }
  return { silent, isComplete };
}
