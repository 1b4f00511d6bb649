import type { TaskProgress } from '../job-progress.js';
import type { WorkerRun } from './worker-run.js';

/** Returns when a run began, as far as this leader knows. A start may wait before it is sent. */
export function beganMsOf({ startedMs, sendCompletedMs }: WorkerRun, nowMs: number): number {
  return Math.max(startedMs, Math.min(sendCompletedMs, nowMs));
}

/**
 * Records how long the tasks of `speculative` steps took that ended under this leader. The tasks of
 * one occurrence of a step are named by their list, and its durations are dropped with it.
 */
export class StepDurations {
  readonly #durationsMs = new WeakMap<readonly TaskProgress[], number[]>();

  /** Records that a run of one of these tasks has ended successfully. */
  ended(tasks: readonly TaskProgress[], run: WorkerRun, nowMs: number): void {
    if (!run.spec.speculative) return;
    const durationsMs = this.#durationsMs.get(tasks) ?? [];
    this.#durationsMs.set(tasks, durationsMs);
    durationsMs.push(nowMs - beganMsOf(run, nowMs));
  }

  /** Returns the median of the known durations of these tasks; undefined if none is known. */
  medianMs(tasks: readonly TaskProgress[]): number | undefined {
    const sorted = this.#durationsMs.get(tasks)?.sort((a, b) => a - b);
    return sorted?.[Math.floor(sorted.length / 2)];
  }
}
