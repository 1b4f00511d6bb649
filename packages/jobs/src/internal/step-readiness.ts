import type { StepSpec } from '../job.js';
import type { Occurrence, TaskProgress } from '../job-progress.js';

/**
 * Tells which steps of an occurrence can begin. A task that is done stays done, so each look goes on
 * where the one before has stopped: a job may name thousands of earlier steps of thousands of tasks, and
 * every round looks at all of its steps.
 */
export class StepReadiness {
  readonly #steps: readonly (readonly TaskProgress[])[];

  /** For each step: how many of the steps that it waits for are known to be done. */
  readonly #metCounts = new Map<number, number>();

  /** For each step: how many of its first tasks are known to be done. */
  readonly #doneCounts = new Map<number, number>();

  constructor({ steps }: Occurrence) {
    this.#steps = steps;
  }

  /** Returns whether all steps that a step waits for are done. */
  isReady(step: number, { after }: StepSpec): boolean {
    let met = this.#metCounts.get(step) ?? 0;
    if (met === after.length) return true;
    while (met < after.length && this.#isDone(after[met]!)) met += 1;
    this.#metCounts.set(step, met);
    return met === after.length;
  }

  #isDone(step: number): boolean {
    const tasks = this.#steps[step]!;
    let done = this.#doneCounts.get(step) ?? 0;
    if (done === tasks.length) return true;
    while (tasks[done]?.phase === 'done') done += 1;
    this.#doneCounts.set(step, done);
    return done === tasks.length;
  }
}
