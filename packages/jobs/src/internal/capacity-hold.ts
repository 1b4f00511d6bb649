import type { TaskProgress } from '../job-progress.js';
import { isFinal } from '../job.js';
import type { WaitingStep } from './waiting-steps.js';
import type { WorkerState } from './worker-state.js';

/** Room is held for one task for so long at most, in milliseconds: usually tasks end within seconds. */
const MAX_HOLD_MS = 10_000;

interface ActiveHold {
  readonly step: WaitingStep;
  readonly worker: WorkerState;
  readonly sinceMs: number;
}

/**
 * Room that is kept free on one worker for a large task of an overdue job. Under a steady load
 * smaller tasks take what comes free bit by bit, and a task that needs more than that never finds
 * room, whatever its turn. One worker at a time takes nothing else until the task fits.
 */
export class CapacityHold {
  #hold: ActiveHold | undefined;

  /** Steps that found no room, in the order in which it is held for them. */
  readonly #queue = new Map<readonly TaskProgress[], WaitingStep>();

  /** The worker that takes nothing but the task it is held for. */
  get worker(): WorkerState | undefined {
    return this.#hold?.worker;
  }

  /** The step for which room is held. */
  get step(): WaitingStep | undefined {
    return this.#hold?.step;
  }

  /** Gives up what is no longer needed, or was held for too long. */
  releaseStale(nowMs: number): void {
    if (this.#hold && !isHoldValid(this.#hold, nowMs)) this.#hold = undefined;
  }

  /** A task of the step found no room. */
  add(step: WaitingStep): void {
    if (this.#hold?.step.tasks !== step.tasks) this.#queue.set(step.tasks, step);
  }

  /**
   * Holds room for the next step, on the one of its workers with the most left; returns whether it
   * has just begun to. `workersFor` tells on which workers room alone is missing.
   */
  start(
    workersLackingCapacity: (step: WaitingStep) => readonly WorkerState[],
    nowMs: number,
  ): boolean {
    if (this.#hold) return false;
    for (const [tasks, step] of this.#queue) {
      this.#queue.delete(tasks);
      const worker = isIdle(step)
        ? workerWithMostFreeCpu(step, workersLackingCapacity(step))
        : undefined;
      if (worker) {
        this.#hold = { step, worker, sinceMs: nowMs };
        return true;
      }
    }
    return false;
  }

  end(): void {
    this.#hold = undefined;
  }
}

function isIdle({ job, tasks }: WaitingStep): boolean {
  if (isFinal(job.state)) return false;
  return job.boundCount(1) === 0 && tasks.some(({ phase }) => phase === 'waiting');
}

function isHoldValid({ step, worker, sinceMs }: ActiveHold, nowMs: number): boolean {
  if (nowMs - sinceMs > MAX_HOLD_MS) return false;
  return worker.listed && !worker.entry.draining && isIdle(step);
}

function workerWithMostFreeCpu(
  { spec }: WaitingStep,
  workers: readonly WorkerState[],
): WorkerState | undefined {
  let best: WorkerState | undefined;
  let mostFreeMilli = -Infinity;
  for (const worker of workers) {
    const freeMilli = worker.entry.capacity.cpuMilli - worker.cpuMilli;
    if (freeMilli > mostFreeMilli && worker.hasCapacityBesideLongRunning(spec)) {
      best = worker;
      mostFreeMilli = freeMilli;
    }
  }
  return best;
}
