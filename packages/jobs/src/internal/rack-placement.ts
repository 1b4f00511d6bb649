import type { RackPreference } from './rack-preference.js';
import type { Candidates } from './round-candidates.js';
import type { StepOutcome } from './step-outcome.js';
import type { WaitingStep } from './waiting-steps.js';
import { isWaiting } from './waiting-steps.js';

/** The round in which a step is placed. */
export interface RackPlacement {
  readonly racks: RackPreference;
  /** Returns for how long the step has had tasks to start, in milliseconds. */
  readonly waitMs: () => number;
  /** Returns the candidates for the step in a rack, or in its whole pool. */
  readonly candidatesIn: (rack?: string) => Candidates;
  /** Places as many of a step's tasks as fit on the candidates. */
  readonly place: (step: WaitingStep, candidates: Candidates) => StepOutcome;
  /** Whether the round may start further tasks. */
  readonly hasStarts: () => boolean;
  readonly nowMs: number;
}

/**
 * Places the tasks of a step, on the rack of their data first. Of those that do not fit there, some
 * wait for the rack, and the others are placed on any rack (see `RackPreference`).
 */
export function placeByRack(
  step: WaitingStep,
  { racks, waitMs, candidatesIn, place, hasStarts, nowMs }: RackPlacement,
): StepOutcome {
  if (!racks.triesRackFirst(step)) return place(step, candidatesIn());
  const isWhole = step.maxTasks === Infinity;
  const inRack = candidatesIn(step.spec.dataRack);
  const outcome = place(step, inRack);
  if (outcome === 'placed' && isWhole) racks.placed(step);
  if (outcome !== 'placeless') return outcome;
  const count = racks.elsewhereCount(step, waitMs(), inRack.canOpenFor(step.spec), nowMs);
  if (count === 0) return 'awaits-rack';
  if (!hasStarts()) return 'cut-short';
  const maxTasks = Math.min(step.maxTasks, count);
  const elsewhere = place({ ...step, maxTasks }, candidatesIn());
  const isRestWaiting = isWhole && elsewhere === 'placed' && step.tasks.some(isWaiting);
  return isRestWaiting ? 'awaits-rack' : elsewhere;
}
