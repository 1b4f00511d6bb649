import type { TaskProgress } from '../job-progress.js';
import type { Obstacle, WaitCause } from './obstacle.js';

/** The least time between two checks of why a step waits, in milliseconds. */
const RECHECK_INTERVAL_MS = 500;

/**
 * How long the result of the latest attempt to place a step counts, in milliseconds. Where the rounds
 * are slower than this, the leader keeps the step waiting.
 */
const ATTEMPT_LIFETIME_MS = 1_000;

/** The wait of a step that has tasks to start. */
interface StepWait {
  readonly sinceMs: number;
  cause: WaitCause;
  checkedMs: number;
  /** When a round last found no worker for a task of the step. */
  unplacedMs: number;
}

/** Tracks how long steps have had tasks to start, and why these could not be placed. */
export class StepWaits {
  readonly #waits = new WeakMap<readonly TaskProgress[], StepWait>();

  /** Records that the step is waiting in this round. Returns whether it was not waiting before. */
  waiting(tasks: readonly TaskProgress[], nowMs: number): boolean {
    if (this.#waits.has(tasks)) return false;
    this.#waits.set(tasks, {
      sinceMs: nowMs,
      cause: 'none',
      checkedMs: -Infinity,
      unplacedMs: -Infinity,
    });
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
    if (!wait) return;
    wait.unplacedMs = nowMs;
    if (nowMs - wait.checkedMs < RECHECK_INTERVAL_MS) return;
    wait.cause = findObstacle();
    wait.checkedMs = nowMs;
  }

  /** Records that the step leaves its room to jobs in time. */
  yielded(tasks: readonly TaskProgress[], nowMs: number): void {
    const wait = this.#waits.get(tasks);
    if (wait) Object.assign(wait, { cause: 'yields', unplacedMs: nowMs });
  }

  /** Records that tasks of the step wait for the rack of their data. */
  awaitsRack(tasks: readonly TaskProgress[], nowMs: number): void {
    const wait = this.#waits.get(tasks);
    if (wait) Object.assign(wait, { cause: 'rack', unplacedMs: nowMs });
  }

  /** Records that the record of the job has no room for another started task. */
  recordFull(tasks: readonly TaskProgress[], nowMs: number): void {
    const wait = this.#waits.get(tasks);
    if (wait) Object.assign(wait, { cause: 'record', unplacedMs: nowMs });
  }

  /** Records that the limits ended the round while there were workers for the step. */
  cutShort(tasks: readonly TaskProgress[]): void {
    const wait = this.#waits.get(tasks);
    if (wait) wait.unplacedMs = -Infinity;
  }

  /** Returns whether recent rounds have found no worker for the step, and not just left it out. */
  isUnplaced(tasks: readonly TaskProgress[], nowMs: number): boolean {
    const wait = this.#waits.get(tasks);
    return wait !== undefined && nowMs - wait.unplacedMs <= ATTEMPT_LIFETIME_MS;
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
