import { STARVED_RANK } from './idle-jobs.js';
import type { WaitingStep } from './waiting-steps.js';

/**
 * Whose turn it is where rounds end before every waiting step was tried. By urgency alone, steps
 * that find no place would take the time of every round, and others for which there is room would
 * never be tried. So a step that found none stands behind those that were not tried since. Lasting
 * tasks that were at work before are few, and keep their place, as do the turns of overdue jobs:
 * behind a steady stream of new steps these would never come.
 */
export class StepRotation {
  readonly #tried = new Set<string>();

  /** Steps of the round that others may follow only once these had their turn. */
  #untriedCount = 0;

  /** The steps, most urgent first, in the order of their turns. */
  inOrder(steps: readonly WaitingStep[]): readonly WaitingStep[] {
    const isFirst = (step: WaitingStep): boolean =>
      step.rank <= STARVED_RANK || !this.#tried.has(keyOf(step));
    const first = this.#tried.size > 0 ? steps.filter(isFirst) : steps;
    this.#untriedCount = first.length;
    if (first.length === steps.length) return steps;
    return [...first, ...steps.filter((step) => !isFirst(step))];
  }

  /**
   * The round ran out of time after so many steps, of which some found no place. Returns whether
   * any is left that was not tried.
   */
  cutShort(count: number, unplaced: readonly WaitingStep[]): boolean {
    if (count >= this.#untriedCount) {
      this.#tried.clear();
      return false;
    }
    for (const step of unplaced) this.#tried.add(keyOf(step));
    return true;
  }

  /** Every step had its turn, or the time was spent on starts. */
  restart(): void {
    this.#tried.clear();
  }
}

function keyOf({ ref }: WaitingStep): string {
  return `${ref.jobId}.${ref.occurrence}.${ref.step}`;
}
