import type { TaskProgress } from '../job-progress.js';
import { isFinal } from '../job.js';
import type { WaitingStep } from './waiting-steps.js';
import type { WorkerState } from './worker-state.js';

/**
 * The longest time for which capacity is held for one task, in milliseconds: tasks usually end
 * within seconds.
 */
const HOLD_TIMEOUT_MS = 10_000;

interface ActiveHold {
  readonly step: WaitingStep;
  readonly worker: WorkerState;
  readonly sinceMs: number;
}

/**
 * Keeps capacity free on one worker for a large task of a starved job. Under a steady load smaller
 * tasks take each bit of capacity as it becomes free, and a task that needs more than that never
 * fits, whatever its rank. One worker at a time takes no other task until the large one fits.
 */
export class CapacityHold {
  #hold: ActiveHold | undefined;

  /** Steps that did not fit on any worker, in the order in which capacity is held for them. */
  readonly #queue = new Map<readonly TaskProgress[], WaitingStep>();

  /** The worker that takes only the task for which its capacity is held. */
  get worker(): WorkerState | undefined {
    return this.#hold?.worker;
  }

  /** The step for which capacity is held. */
  get step(): WaitingStep | undefined {
    return this.#hold?.step;
  }

  /** Ends the hold if it is no longer needed or has lasted too long. */
  releaseStale(nowMs: number): void {
    if (this.#hold && !isHoldValid(this.#hold, nowMs)) this.#hold = undefined;
  }

  /** Queues a step of which a task did not fit on any worker. */
  add(step: WaitingStep): void {
    if (this.#hold?.step.tasks !== step.tasks) this.#queue.set(step.tasks, step);
  }

  /**
   * Holds capacity for the next step, on the worker with the most free processors that can take its
   * task once only long-running tasks are left there. Returns whether a hold was started.
   * `workersLackingCapacity` returns the workers that could take the step's tasks if they had the
   * capacity.
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
  if (nowMs - sinceMs > HOLD_TIMEOUT_MS) return false;
  const isUsable = worker.listed && !worker.entry.draining && !worker.isEvacuated;
  return isUsable && isIdle(step);
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
