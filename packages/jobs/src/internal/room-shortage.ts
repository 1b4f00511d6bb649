import type { QueuePolicy } from '../job.js';

/**
 * How long a pool counts as short of room after a job in time found none, in milliseconds: such jobs
 * come one after another, and the room for the next one must not be given away between two.
 */
const SHORTAGE_MS = 1_000;

/**
 * The longest time for which new long-running tasks leave their room to jobs in time, in milliseconds:
 * as long as a job may be idle on full workers.
 */
const MAX_YIELD_MS = 10_000;

/**
 * Where jobs that could end in time found too little unreserved capacity recently. A new long-running
 * task would hold for minutes what such jobs wait for, so none of a queue that is not more urgent is
 * started in their pool meanwhile.
 */
export class RoomShortage {
  /** When a job last found no room, by pool and queue priority. */
  readonly #foundMs = new Map<string, Map<number, number>>();

  /** Records that a job in time found no worker of the pool with room for it. */
  found({ pool, priority }: QueuePolicy, nowMs: number): void {
    const byPriority = this.#foundMs.get(pool) ?? new Map<number, number>();
    this.#foundMs.set(pool, byPriority);
    byPriority.set(priority, nowMs);
  }

  /** Returns whether new long-running tasks that have waited for this time must wait on. */
  mustYield({ pool, priority }: QueuePolicy, waitMs: number, nowMs: number): boolean {
    if (waitMs >= MAX_YIELD_MS) return false;
    for (const [found, foundMs] of this.#foundMs.get(pool) ?? []) {
      if (found <= priority && nowMs - foundMs < SHORTAGE_MS) return true;
    }
    return false;
  }
}
