import { randomInt } from 'node:crypto';
import {
  SMALL_NODE_CLAIM_DELAY_MS,
  CLAIM_SPREAD_MS,
  LARGE_CLAIM_SPREAD_MS,
  LEADER_WRITE_INTERVAL_MS,
} from './timing.js';
import type { LeaderRecord } from './work-records.js';

/** A node that is not told its processor time counts as this small, in cores. */
const UNTOLD_CORES = 0.25;

/** Until a record tells of sizes the largest node is taken to have so many cores. */
const USUAL_CORES = 1;

/** A node is much smaller than one that has more than so many times its processor time. */
const MUCH = 2;

/** A leader's records come no further apart than this with a quick store, in milliseconds. */
const USUAL_GAP_MS = LEADER_WRITE_INTERVAL_MS + 50;

/** What a node sees of the role when it is free. */
export interface LeadershipVacancy {
  readonly leader: LeaderRecord | undefined;
  /** How far apart the leader's records came lately, in milliseconds. */
  readonly leaderGapMs: number;
  /** Whether a claim of this node was left without an answer, and may be stored yet. */
  readonly hasClaimed: boolean;
}

/**
 * How long a node waits with its claim when the scheduling role is free: much smaller nodes than the
 * largest that is known leave it to that one's kind, and claim only when none of them has.
 *
 * A small node takes many seconds to reach hundreds of workers and to decide for all jobs. It is
 * taken for dead meanwhile, and as most nodes are small, the first claim is most often another small
 * one's: leases end before any of them has renewed them. Where no larger node has ever been seen
 * nobody waits. What is known of the largest goes from one leader's record to the next, so a node
 * that has just started knows it too.
 */
export class ClaimOrder {
  readonly cores: number;

  #largestCores: number;

  /** Whether the present leader's record tells sizes. */
  #isTold = false;

  /** Of a node with this processor time, in cores, if the platform tells it. */
  constructor(cores: number | undefined) {
    this.cores = cores ?? UNTOLD_CORES;
    this.#largestCores = this.cores;
  }

  /** The largest node of which any record told, or this one, in cores. */
  get largestCores(): number {
    return this.#largestCores;
  }

  /** Whether much larger nodes are to claim before this one. */
  get yieldsToLarger(): boolean {
    const largest = this.#isTold ? this.#largestCores : Math.max(this.#largestCores, USUAL_CORES);
    return this.isMuchSmaller(largest);
  }

  /** Whether a node of so many cores should rather schedule than this one. */
  isMuchSmaller(cores: number): boolean {
    return this.cores * MUCH < cores;
  }

  /** Whether this node should rather schedule than one of so many cores. */
  isMuchLarger(cores: number): boolean {
    return cores * MUCH < this.cores;
  }

  leaderSeen({ cores = 0, largestCores = 0 }: LeaderRecord): void {
    this.#isTold = cores > 0;
    this.#largestCores = Math.max(this.#largestCores, cores, largestCores);
  }

  /** How long to wait before a claim, in milliseconds; drawn anew each time. */
  waitMs({ leader, leaderGapMs, hasClaimed }: LeadershipVacancy): number {
    if (!this.yieldsToLarger || hasClaimed) {
      // Large nodes are few, and each draw beyond theirs would hold up the small ones.
      const isLarge = this.cores * MUCH >= USUAL_CORES;
      return randomInt(isLarge ? LARGE_CLAIM_SPREAD_MS : CLAIM_SPREAD_MS);
    }
    // At the first start the larger ones may start a little later. A store that was slower with the
    // leader's records by some time is so with reading the last one and with storing a claim.
    const slowMs = leader ? 2 * Math.max(0, leaderGapMs - USUAL_GAP_MS) : SMALL_NODE_CLAIM_DELAY_MS;
    return (
      SMALL_NODE_CLAIM_DELAY_MS +
      Math.min(slowMs, SMALL_NODE_CLAIM_DELAY_MS) +
      randomInt(CLAIM_SPREAD_MS)
    );
  }
}
