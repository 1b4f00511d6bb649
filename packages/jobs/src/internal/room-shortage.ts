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
 * The pools in which a job that could end in time found too little unreserved capacity recently. A new
 * long-running task would hold for minutes what such jobs wait for, so none is started there meanwhile.
 */
export class RoomShortage {
  readonly #foundMs = new Map<string, number>();

  /** Records that a job in time found no worker of the pool with room for it. */
  found(pool: string, nowMs: number): void {
    this.#foundMs.set(pool, nowMs);
  }

  /** Returns whether new long-running tasks that have waited for this time must wait on. */
  mustYield(pool: string, waitMs: number, nowMs: number): boolean {
    const foundMs = this.#foundMs.get(pool) ?? -Infinity;
    return waitMs < MAX_YIELD_MS && nowMs - foundMs < SHORTAGE_MS;
  }
}
