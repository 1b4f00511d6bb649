import type { WorkerState } from './worker-state.js';

/**
 * Returns, for each best-effort image, the part of the worker's processors that its runs used
 * recently.
 */
export function usedParts(worker: WorkerState): Map<string, number> {
  const parts = new Map<string, number>();
  for (const { spec, confirmed, measure } of worker.runs.values()) {
    if (spec.fills && confirmed) {
      // A run uses no more than the whole worker, whatever the worker reports.
      const part = Math.min(1, measure / worker.entry.capacity.cpuMilli) || 0;
      parts.set(spec.image, (parts.get(spec.image) ?? 0) + part);
    }
  }
  return parts;
}

/**
 * Returns, for each best-effort image, the part of the worker's processors that its runs may use.
 */
export function claimedParts(worker: WorkerState): Map<string, number> {
  const { cpuMilli } = worker.entry.capacity;
  const parts = new Map<string, number>();
  for (const [image, claimed] of worker.bestEffortClaims()) parts.set(image, claimed / cpuMilli);
  return parts;
}
