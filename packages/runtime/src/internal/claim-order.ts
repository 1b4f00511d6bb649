import { randomInt } from 'node:crypto';
import {
  SMALL_NODE_CLAIM_DELAY_MS,
  CLAIM_SPREAD_MS,
  LARGE_CLAIM_SPREAD_MS,
  LEADER_WRITE_INTERVAL_MS,
} from './timing.js';
import type { LeaderRecord } from './work-records.js';

/** Assumed processor time of a node whose platform does not report it, in cores. */
const DEFAULT_CORES = 0.25;

/** Assumed processor time of the largest node until a record reports sizes, in cores. */
const ASSUMED_LARGEST_CORES = 1;

/**
 * A node is much larger than another one if it has more than this many times its processor time.
 */
const MUCH_LARGER_FACTOR = 2;

/** Longest gap between the records of a leader when the store is fast, in milliseconds. */
const EXPECTED_GAP_MS = LEADER_WRITE_INTERVAL_MS + 50;

/** What a node knows about vacant leadership. */
export interface LeadershipVacancy {
  readonly leader: LeaderRecord | undefined;
  /** The recent time between records of the leader, in milliseconds. */
  readonly leaderGapMs: number;
  /** Whether a claim of this node got no answer and may still be stored. */
  readonly hasClaimed: boolean;
}

/**
 * Determines how long a node waits before it claims vacant leadership. Nodes that are much smaller
 * than the largest known node let the larger nodes claim first.
 *
 * A small node takes many seconds to contact hundreds of workers and to make decisions for all
 * jobs. Meanwhile it is considered dead, and as most nodes are small, the next claim is usually
 * from another small node, so that leases expire before any of them has renewed them. A node does
 * not defer if no larger node has ever been seen. Each leader's record passes on the size of the
 * largest known node, so a node that has just started knows it too.
 */
export class ClaimOrder {
  readonly cores: number;

  #largestCores: number;

  /** Whether the current leader's record reports sizes. */
  #hasReportedSizes = false;

  /**
   * Creates the order for a node with this processor time, in cores; undefined if the platform does
   * not report it.
   */
  constructor(cores: number | undefined) {
    this.cores = cores ?? DEFAULT_CORES;
    this.#largestCores = this.cores;
  }

  /** The size of the largest node that any record has reported, or of this node, in cores. */
  get largestCores(): number {
    return this.#largestCores;
  }

  /** Whether much larger nodes should claim before this one. */
  get yieldsToLarger(): boolean {
    const largest = this.#hasReportedSizes
      ? this.#largestCores
      : Math.max(this.#largestCores, ASSUMED_LARGEST_CORES);
    return this.isMuchSmaller(largest);
  }

  /** Whether a node with this many cores is preferred as leader over this one. */
  isMuchSmaller(cores: number): boolean {
    return this.cores * MUCH_LARGER_FACTOR < cores;
  }

  /** Whether this node is preferred as leader over one with this many cores. */
  isMuchLarger(cores: number): boolean {
    return cores * MUCH_LARGER_FACTOR < this.cores;
  }

  leaderSeen({ cores = 0, largestCores = 0 }: LeaderRecord): void {
    this.#hasReportedSizes = cores > 0;
    this.#largestCores = Math.max(this.#largestCores, cores, largestCores);
  }

  /** Returns how long to wait before a claim, in milliseconds; randomized on each call. */
  waitMs({ leader, leaderGapMs, hasClaimed }: LeadershipVacancy): number {
    if (!this.yieldsToLarger || hasClaimed) {
      // Large nodes are few. A longer spread for them would delay the small nodes.
      const isLarge = this.cores * MUCH_LARGER_FACTOR >= ASSUMED_LARGEST_CORES;
      return randomInt(isLarge ? LARGE_CLAIM_SPREAD_MS : CLAIM_SPREAD_MS);
    }
    // When the nodes start for the first time, larger nodes may start a little later. If the store
    // delays the leader's records, it delays reading the last record and storing a claim as well.
    const storeDelayMs = leader
      ? 2 * Math.max(0, leaderGapMs - EXPECTED_GAP_MS)
      : SMALL_NODE_CLAIM_DELAY_MS;
    return (
      SMALL_NODE_CLAIM_DELAY_MS +
      Math.min(storeDelayMs, SMALL_NODE_CLAIM_DELAY_MS) +
      randomInt(CLAIM_SPREAD_MS)
    );
  }
}
