import type { TaskProgress } from '../job-progress.js';
import type { Obstacle, WaitCause } from './obstacle.js';

/** The least time between two checks of why a step waits, in milliseconds. */
const RECHECK_INTERVAL_MS = 500;

/** The wait of a step that has tasks to start. */
interface StepWait {
  readonly sinceMs: number;
  cause: WaitCause;
  checkedMs: number;
}

/** Tracks how long steps have had tasks to start, and why these could not be placed. */
export class StepWaits {
  readonly #waits = new WeakMap<readonly TaskProgress[], StepWait>();

  /** Records that the step is waiting in this round. Returns whether it was not waiting before. */
  waiting(tasks: readonly TaskProgress[], nowMs: number): boolean {
    if (this.#waits.has(tasks)) return false;
    this.#waits.set(tasks, { sinceMs: nowMs, cause: 'none', checkedMs: -Infinity });
    return true;
  }

  /** Records that the round reached its limits before it tried the step. */
  skipped(tasks: readonly TaskProgress[]): void {
    const wait = this.#waits.get(tasks);
    if (wait?.cause === 'none') wait.cause = 'limits';
  }

  /** Records that a task of the step fits on no worker. */
  unplaced(tasks: readonly TaskProgress[], findObstacle: () => Obstacle, nowMs: number): void {
    const wait = this.#waits.get(tasks);
    if (!wait || nowMs - wait.checkedMs < RECHECK_INTERVAL_MS) return;
    wait.cause = findObstacle();
    wait.checkedMs = nowMs;
  }

  /** Records that the step leaves its room to jobs in time. */
  yielded(tasks: readonly TaskProgress[]): void {
    const wait = this.#waits.get(tasks);
    if (wait) wait.cause = 'yields';
  }

  /** Records that tasks of the step wait for the rack of their data. */
  awaitsRack(tasks: readonly TaskProgress[]): void {
    const wait = this.#waits.get(tasks);
    if (wait) wait.cause = 'rack';
  }

  /** Records that all tasks of the step have been placed. */
  placed(tasks: readonly TaskProgress[]): void {
    this.#waits.delete(tasks);
  }

  /**
   * Returns how long the step has had tasks to start, in milliseconds, and the latest known cause
   * of the wait.
   */
  of(tasks: readonly TaskProgress[], nowMs: number): { waitMs: number; keptBy: WaitCause } {
    const wait = this.#waits.get(tasks);
    return { waitMs: Math.round(nowMs - (wait?.sinceMs ?? nowMs)), keptBy: wait?.cause ?? 'none' };
  }
}
