import type { WaitCause } from './obstacle.js';

/** A start after a shorter wait than this found free capacity, in milliseconds: some rounds. */
const PROMPT_START_MS = 200;

/** Causes of a wait that ended tasks remove; a slow store or a silent worker is not among them. */
const CAPACITY_CAUSES: ReadonlySet<WaitCause> = new Set([
  'room',
  'memory',
  'harmed',
  'processors',
  'slack',
]);

/**
 * Tracks since when the jobs of one capacity class and queue priority wait for capacity: in each
 * interval most first starts of jobs had waited for it, or nothing was started although the class
 * was blocked. A single job that fits on no worker is no such wait while other jobs start at once.
 */
export class CapacityWait {
  #sinceMs = Infinity;

  #lateStarts = 0;

  #otherStarts = 0;

  /** Since when jobs have waited for capacity without interruption; Infinity if they do not. */
  get sinceMs(): number {
    return this.#sinceMs;
  }

  /** Records a start, with how long its step had waited and why. */
  started(waitMs: number, cause: WaitCause): void {
    if (waitMs >= PROMPT_START_MS && CAPACITY_CAUSES.has(cause)) this.#lateStarts += 1;
    else this.#otherStarts += 1;
  }

  /** Ends an interval that began at `startMs`; `isBlocked` decides if it had no starts. */
  endInterval(isBlocked: boolean, startMs: number): void {
    const hasStarts = this.#lateStarts + this.#otherStarts > 0;
    const isWaiting = hasStarts ? this.#lateStarts > this.#otherStarts : isBlocked;
    if (!isWaiting) this.#sinceMs = Infinity;
    else if (this.#sinceMs === Infinity) this.#sinceMs = startMs;
    this.#lateStarts = 0;
    this.#otherStarts = 0;
  }
}
