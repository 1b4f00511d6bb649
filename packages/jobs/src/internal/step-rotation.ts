import { STARVED_RANK } from './idle-jobs.js';
import type { WaitingStep } from './waiting-steps.js';

/**
 * Orders waiting steps so that each is tried even if rounds end before all of them were. By urgency
 * alone, steps that fit on no worker would use the time of every round, and others for which there
 * is capacity would never be tried. Therefore a step that did not fit comes after all steps that
 * have not been tried since. Two kinds of steps keep their place: long-running tasks that were
 * running before, which are few, and priority starts of starved jobs, which would never be reached
 * behind a steady stream of new steps.
 */
export class StepRotation {
  readonly #tried = new Set<string>();

  /**
   * Once this many steps of the round have been tried, every step has been tried since the last
   * restart.
   */
  #untriedCount = 0;

  /** Returns the steps, which are sorted by urgency, in the order in which the round tries them. */
  inOrder(steps: readonly WaitingStep[]): readonly WaitingStep[] {
    const isFirst = (step: WaitingStep): boolean =>
      step.rank <= STARVED_RANK || !this.#tried.has(keyOf(step));
    const first = this.#tried.size > 0 ? steps.filter(isFirst) : steps;
    this.#untriedCount = first.length;
    if (first.length === steps.length) return steps;
    return [...first, ...steps.filter((step) => !isFirst(step))];
  }

  /**
   * Records that the round ran out of time after `count` steps, of which the `unplaced` ones fit on
   * no worker. Returns whether any step has not been tried yet.
   */
  cutShort(count: number, unplaced: readonly WaitingStep[]): boolean {
    if (count >= this.#untriedCount) {
      this.#tried.clear();
      return false;
    }
    for (const step of unplaced) this.#tried.add(keyOf(step));
    return true;
  }

  /** Restarts the rotation: every step has been tried, or the round has used up its starts. */
  restart(): void {
    this.#tried.clear();
  }
}

function keyOf({ ref }: WaitingStep): string {
  return `${ref.jobId}.${ref.occurrence}.${ref.step}`;
}
