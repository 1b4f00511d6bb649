import type { JobDelay } from './start-delay.js';

/** The latest time at which a refused caller should return, in milliseconds from its refusal. */
const MAX_RETURN_MS = 10_000;

/**
 * The part of the rate of completion that drains the backlog and is left to returning callers. New
 * jobs take the rest: at the usual load of a pool, all of it would make returning callers delay them.
 */
const RETURN_SHARE = 0.25;

/** The assumed number of nodes that refuse callers, if it is not known. */
const DEFAULT_NODES = 8;

/** How long a refused job is kept, in milliseconds: its caller has returned by then. */
const KEPT_MS = 30_000;

/** The largest number of refused jobs that are kept; the oldest are forgotten first. */
const MAX_KEPT = 10_000;

/** A job that this node has refused. */
interface Refusal {
  readonly firstMs: number;
  readonly latestMs: number;
  /** The work ahead of the job when it was first refused, in core milliseconds. */
  readonly aheadWork: number;
  readonly returnMs: number;
}

/** The decision about a job that is submitted. */
export interface DelayDecision {
  /** In how many milliseconds the caller should return; undefined if the job is accepted. */
  readonly returnInMs: number | undefined;
  /** The delay by which this was decided, in milliseconds. */
  readonly delayMs: number;
  /** How long ago this node first refused the job, in milliseconds; undefined if it has not. */
  readonly sinceRefusalMs: number | undefined;
}

/**
 * Refuses jobs that would start too late to be of use, and gives their callers successive return
 * times, at this node's share of the work that is completed. With equal times all callers
 * would return together and be refused again. A caller that returns at its time finds only the work
 * that was ahead of it at its first refusal, less what was completed since.
 */
export class ReturnSchedule {
  /** Refused jobs by id, the one that was refused longest ago first. */
  readonly #refused = new Map<string, Refusal>();

  /** The next free return time, by capacity class and priority. */
  readonly #nextMs = new Map<string, number>();

  /**
   * Decides about a job. `delay` is undefined if nothing is known to delay it, `nodes` if the number
   * of nodes that refuse callers is not known.
   */
  decide(
    id: string,
    delay: JobDelay | undefined,
    nodes: number | undefined,
    nowMs: number,
  ): DelayDecision {
    this.#forgetOld(nowMs);
    const former = this.#refused.get(id);
    const sinceRefusalMs = former && nowMs - former.firstMs;
    const delayMs = delay ? delayOf(delay, former, nowMs) : 0;
    if (!delay || delayMs <= delay.limitMs)
      return { returnInMs: undefined, delayMs, sinceRefusalMs };
    // A caller that returns as soon as its job is of use would still be late, and the next one later.
    const drainMs = (delayMs - delay.inTimeMs) / RETURN_SHARE;
    const earliestMs = nowMs + Math.min(MAX_RETURN_MS, drainMs);
    let returnMs = earliestMs;
    // A caller that returns early keeps its time.
    if (former && nowMs < former.returnMs) returnMs = former.returnMs;
    if (!former)
      returnMs = this.#nextReturnMs(id, delay, earliestMs, nodes ?? DEFAULT_NODES, nowMs);
    this.#keep(id, {
      firstMs: former?.firstMs ?? nowMs,
      latestMs: nowMs,
      aheadWork: former?.aheadWork ?? delayMs * delay.rate,
      returnMs,
    });
    return { returnInMs: returnMs - nowMs, delayMs, sinceRefusalMs };
  }

  /** Returns the return time of a caller that is refused for the first time. */
  #nextReturnMs(
    id: string,
    { key, work, rate }: JobDelay,
    earliestMs: number,
    nodes: number,
    nowMs: number,
  ): number {
    const slotMs = Math.min(MAX_RETURN_MS, (work * nodes) / (rate * RETURN_SHARE));
    const lastSlotMs = nowMs + MAX_RETURN_MS - slotMs;
    const startMs = Math.min(lastSlotMs, Math.max(earliestMs, this.#nextMs.get(key) ?? 0));
    this.#nextMs.set(key, startMs + slotMs);
    return startMs + slotMs * fractionOf(id);
  }

  #keep(id: string, refusal: Refusal): void {
    this.#refused.delete(id);
    this.#refused.set(id, refusal);
    if (this.#refused.size > MAX_KEPT) this.#refused.delete(this.#refused.keys().next().value!);
  }

  #forgetOld(nowMs: number): void {
    for (const [id, { latestMs }] of this.#refused) {
      if (nowMs - latestMs < KEPT_MS) return;
      this.#refused.delete(id);
    }
  }
}

/**
 * Returns the delay of a job, in milliseconds. From its return time on, a job that was refused before
 * waits at most for what is left of the work that was ahead of it.
 */
function delayOf({ delayMs, rate }: JobDelay, former: Refusal | undefined, nowMs: number): number {
  if (!former || nowMs < former.returnMs) return delayMs;
  return Math.min(delayMs, Math.max(0, former.aheadWork / rate - (nowMs - former.firstMs)));
}

/** Returns a number from 0 to 1 that is evenly spread over the ids. */
function fractionOf(id: string): number {
  // The FNV-1a hash also spreads ids that differ in one digit.
  let hash = 2_166_136_261;
  for (let i = 0; i < id.length; i += 1)
    hash = Math.imul(hash ^ id.charCodeAt(i), 16_777_619) >>> 0;
  return hash / 2 ** 32;
}
