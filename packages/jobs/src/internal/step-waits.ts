import type { TaskProgress } from '../job-progress.js';
import type { Obstacle, WaitCause } from './obstacle.js';

/** What keeps a step waiting is looked up no more often than this, in milliseconds. */
const RECHECK_INTERVAL_MS = 500;

/** The wait of a step that has tasks to start. */
interface StepWait {
  readonly sinceMs: number;
  cause: WaitCause;
  checkedMs: number;
}

/** How long steps have had tasks to start, and what kept these from workers. */
export class StepWaits {
  readonly #waits = new WeakMap<readonly TaskProgress[], StepWait>();

  /** The step is among those that wait in this round. */
  waiting(tasks: readonly TaskProgress[], nowMs: number): void {
    if (this.#waits.has(tasks)) return;
    this.#waits.set(tasks, { sinceMs: nowMs, cause: 'none', checkedMs: -Infinity });
  }

  /** The limits of the round left it no turn. */
  skipped(tasks: readonly TaskProgress[]): void {
    const wait = this.#waits.get(tasks);
    if (wait?.cause === 'none') wait.cause = 'limits';
  }

  /** A task of it found no place. */
  unplaced(tasks: readonly TaskProgress[], findObstacle: () => Obstacle, nowMs: number): void {
    const wait = this.#waits.get(tasks);
    if (!wait || nowMs - wait.checkedMs < RECHECK_INTERVAL_MS) return;
    wait.cause = findObstacle();
    wait.checkedMs = nowMs;
  }

  /** All of its tasks have places. */
  placed(tasks: readonly TaskProgress[]): void {
    this.#waits.delete(tasks);
  }

  /** How long the step has had tasks to start, in milliseconds, and what kept them last. */
  of(tasks: readonly TaskProgress[], nowMs: number): { waitMs: number; keptBy: WaitCause } {
    const wait = this.#waits.get(tasks);
    return { waitMs: Math.round(nowMs - (wait?.sinceMs ?? nowMs)), keptBy: wait?.cause ?? 'none' };
  }
}
