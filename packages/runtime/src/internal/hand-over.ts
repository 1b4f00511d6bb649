import { randomInt } from 'node:crypto';
import type { ClaimOrder } from './claim-order.js';
import {
  HAND_OVER_MIN_TERM_MS,
  HAND_OVER_BACKOFF_MS,
  OFFER_INTERVAL_MS,
  OFFER_SPREAD_MS,
  SUCCESSOR_PRIORITY_MS,
} from './timing.js';
import type { LeaderRecord, OfferRecord } from './work-records.js';

/**
 * Decides when the scheduling role passes from a small leader to a much larger node that lives: the
 * larger one offers to take it, and the leader resigns in its favour.
 *
 * A small leader with hundreds of workers and thousands of jobs is deaf for seconds, and leases end
 * that it should have renewed. Only the larger node knows that it lives and reads the store, so it
 * is the one to speak. Sizes at least double with each hand-over, so the role never goes back and
 * forth, and a leader that has not yet reached all workers keeps it: after two changes in a row
 * leases would end before anybody renews them.
 */
export class HandOver {
  readonly #node: string;

  readonly #order: ClaimOrder;

  #leader: LeaderRecord | undefined;

  /** When this node first saw the present leader, on the steady clock. */
  #sinceMs = -Infinity;

  /** No offer of this node before this time. */
  #offerMs = Infinity;

  /** No offer is heeded before this time. */
  #heedMs = -Infinity;

  /** How often the role was given to a node that did not take it. */
  #misses = 0;

  /** The epoch in which this node has given the role to another one. */
  #givenEpoch: number | undefined;

  constructor(node: string, order: ClaimOrder) {
    this.#node = node;
    this.#order = order;
  }

  /** True if the leader before had named a successor and this is another node. */
  leaderSeen(leader: LeaderRecord, nowMs: number): boolean {
    const before = this.#leader;
    this.#leader = leader;
    if (before?.epoch === leader.epoch) return false;
    this.#sinceMs = nowMs;
    this.#offerMs = nowMs + HAND_OVER_MIN_TERM_MS + randomInt(OFFER_SPREAD_MS);
    const isMissed = before?.successor !== undefined && before.successor !== leader.node;
    if (isMissed) {
      this.#misses += 1;
      this.#heedMs = nowMs + this.#misses * HAND_OVER_BACKOFF_MS;
    }
    return isMissed;
  }

  /** Any node offers to take the present leader's role: one offer at a time is enough. */
  offerSeen({ epoch }: OfferRecord, nowMs: number): void {
    if (epoch !== this.#leader?.epoch) return;
    this.#offerMs = Math.max(this.#offerMs, nowMs + OFFER_INTERVAL_MS + randomInt(OFFER_SPREAD_MS));
  }

  /** The offer that this node should make now. */
  due(nowMs: number): OfferRecord | undefined {
    if (!this.#leader || this.#leader.resigned || nowMs < this.#offerMs) return undefined;
    const { node, epoch, cores } = this.#leader;
    if (node === this.#node || !cores || !this.#order.isMuchLarger(cores)) return undefined;
    return { node: this.#node, epoch, cores: this.#order.cores };
  }

  /**
   * Whether this node, which leads, resigns in favour of the one that offers. An offer can be
   * anybody's record. One of a node that does not exist leaves the role free for a moment, so after
   * one that came to nothing none is heeded for a while.
   */
  isAccepted({ node, epoch, cores }: OfferRecord, nowMs: number): boolean {
    const isFit = node !== this.#node && this.#order.isMuchSmaller(cores);
    if (!isFit || epoch !== this.#leader?.epoch || epoch === this.#givenEpoch) return false;
    return nowMs - this.#sinceMs >= HAND_OVER_MIN_TERM_MS && nowMs >= this.#heedMs;
  }

  /** This node, which leads, gives the role to another one. */
  handedOver(epoch: number): void {
    this.#givenEpoch = epoch;
  }

  /**
   * Whether this life of the node has given the role up that the record still shows as its own: its
   * last record is stored, and not yet read.
   */
  hasHandedOver({ epoch }: LeaderRecord): boolean {
    return epoch === this.#givenEpoch;
  }

  isSuccessor({ resigned, successor }: LeaderRecord): boolean {
    return resigned && successor === this.#node;
  }

  /** Until when others leave the claim to the successor that the leader has named. */
  successorPriorityEndMs({ successor }: LeaderRecord, seenMs: number): number {
    const isOther = successor !== undefined && successor !== this.#node;
    return isOther ? seenMs + SUCCESSOR_PRIORITY_MS : -Infinity;
  }
}
