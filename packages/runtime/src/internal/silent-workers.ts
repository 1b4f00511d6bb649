import type { WorkerState } from '@redwingcrank/jobs';
import { SILENT_WORKER_MS } from './timing.js';
import type { WorkerLink } from './worker-link.js';

/** Workers on which something runs and that do not answer this node, or never did. */
export interface SilentWorkers {
  readonly silent: readonly WorkerState[];
  /** No other may still turn out to be silent for want of a first answer. */
  readonly isComplete: boolean;
}

/**
 * Finds the silent workers. One that was not asked yet is none of them: with a slow store the list
 * of workers comes late, and named as silent all of them would get no lease in time.
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
