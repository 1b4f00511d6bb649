import type { StepSpec } from '../job.js';
import type { TaskRef } from '../task-ref.js';
import type { WorkerState } from './worker-state.js';

/** A worker that has not answered for so long gets nothing new, in ms: two renewals missed. */
export const SILENT_MS = 1_800;

/** What a task is to be placed for. */
export interface Placing {
  readonly ref: TaskRef;
  readonly spec: StepSpec;
  /** Where it failed or was lost before; avoided if there is another place. */
  readonly avoid: string;
}

/** Chooses workers for tasks. */
export abstract class PlacementPolicy {
  /** How good a place is, larger is better; -Infinity where it must not go. */
  protected abstract score(placing: Placing, worker: WorkerState): number;

  /** The best of the workers that may take the task now. */
  choose(placing: Placing, workers: Iterable<WorkerState>, nowMs: number): WorkerState | undefined {
    let best: WorkerState | undefined;
    let bestScore = -Infinity;
    for (const worker of workers) {
      if (mayTake(placing, worker, nowMs)) {
        let score = this.score(placing, worker);
        if (worker.entry.id === placing.avoid) score -= AVOID;
        if (score > bestScore) {
          best = worker;
          bestScore = score;
        }
      }
    }
    return best;
  }
}

/** Larger than any difference of scores, so that a place to avoid is the last choice. */
const AVOID = 1_000_000;

function mayTake({ ref, spec }: Placing, worker: WorkerState, nowMs: number): boolean {
  if (!isOpen(worker, nowMs)) return false;
  if (!worker.hasRoomFor(spec)) return false;
  if (spec.requiredLabel && !worker.entry.labels.includes(spec.requiredLabel)) return false;
  return spec.maxPerWorker === 0 || worker.countOf(ref) < spec.maxPerWorker;
}

function isOpen(worker: WorkerState, nowMs: number): boolean {
  if (!worker.listed || !worker.fenced || worker.entry.draining) return false;
  if (nowMs - worker.answeredMs > SILENT_MS) return false;
  return nowMs >= worker.fullUntilMs && !worker.health.isResting(nowMs);
}

/**
 * Serving tasks are believed to use this part of their claim on average when filling tasks are
 * placed beside them; the rest is left over for these.
 */
const SERVING_USE = 0.5;

/** How much of the left-over processor time filling tasks may ask for before more must wait. */
const FILL_LIMIT = 1;

/** What a rack with the step's data is worth against free processor time, in thousandths of a core. */
const RACK_BONUS = 20_000;

/** Puts each task where the most is left over, and filling tasks away from serving ones. */
export class MostLeftOver extends PlacementPolicy {
  protected score({ spec }: Placing, worker: WorkerState): number {
    const near = spec.dataRack && worker.entry.labels.includes(spec.dataRack) ? RACK_BONUS : 0;
    const { cpuMilli } = worker.entry.capacity;
    if (spec.fills) {
      if (worker.pace < 100) return -Infinity;
      const used = worker.cpuMilli - worker.servingMilli * (1 - SERVING_USE);
      const left = cpuMilli - used - worker.fillMilli;
      if (left < spec.cpuMilli * FILL_LIMIT) return -Infinity;
      return near + left - worker.servingMilli;
    }
    return near + cpuMilli - worker.cpuMilli - worker.fillMilli / 4;
  }
}
