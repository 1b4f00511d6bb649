import { randomInt } from 'node:crypto';
import type { ClaimOrder } from './claim-order.js';
import {
  HAND_OVER_MIN_TERM_MS,
  HAND_OVER_BACKOFF_MS,
  OFFER_INTERVAL_MS,
  OFFER_SPREAD_MS,
  SUCCESSOR_PRIORITY_MS,
  UNREAD_HAND_OVER_INTERVAL_MS,
  UNREAD_TERM_MS,
} from './timing.js';
import type { LeaderRecord, OfferRecord } from './work-records.js';

/**
 * Decides when leadership passes from a small leader to a much larger live node: the larger node
 * offers to take over, and the leader resigns in its favour.
 *
 * A small leader with hundreds of workers and thousands of jobs is unresponsive for seconds, and
 * leases expire that it should have renewed. Only the larger node knows that it is alive and can
 * read the store, so it makes the offer. The size at least doubles with each hand-over, so
 * leadership never goes back and forth. A leader that has not yet contacted all workers keeps its
 * leadership: after two changes in a row, leases would expire before any leader renews them.
 */
export class HandOver {
  readonly #node: string;

  readonly #order: ClaimOrder;

  #leader: LeaderRecord | undefined;

  /** When this node first saw the current leader, on the steady clock. */
  #leaderSinceMs = -Infinity;

  /** The earliest time of the next offer of this node. */
  #nextOfferMs = Infinity;

  /** No offer is accepted before this time. */
  #acceptFromMs = -Infinity;

  /** When a leader last resigned in favour of a successor, on the steady clock. */
  #lastHandOverMs = -Infinity;

  /** How many times the named successor did not take over. */
  #missedCount = 0;

  /** The epoch in which this node has handed over leadership. */
  #handedOverEpoch: number | undefined;

  constructor(node: string, order: ClaimOrder) {
    this.#node = node;
    this.#order = order;
  }

  /**
   * Processes a leader record. Returns true if the previous leader had named a successor and
   * another node became leader.
   */
  leaderSeen(leader: LeaderRecord, nowMs: number): boolean {
    const before = this.#leader;
    this.#leader = leader;
    if (leader.resigned && leader.successor !== undefined) this.#lastHandOverMs = nowMs;
    if (before?.epoch === leader.epoch) return false;
    this.#leaderSinceMs = nowMs;
    this.#nextOfferMs = nowMs + HAND_OVER_MIN_TERM_MS + randomInt(OFFER_SPREAD_MS);
    const isMissed = before?.successor !== undefined && before.successor !== leader.node;
    if (isMissed) {
      this.#missedCount += 1;
      this.#acceptFromMs = nowMs + this.#missedCount * HAND_OVER_BACKOFF_MS;
    }
    return isMissed;
  }

  /**
   * Called when any node offers to take over from the current leader: one offer at a time is
   * enough.
   */
  offerSeen({ epoch }: OfferRecord, nowMs: number): void {
    if (epoch !== this.#leader?.epoch) return;
    this.#nextOfferMs = Math.max(
      this.#nextOfferMs,
      nowMs + OFFER_INTERVAL_MS + randomInt(OFFER_SPREAD_MS),
    );
  }

  /** Returns the offer that this node should make now, if any. */
  due(nowMs: number): OfferRecord | undefined {
    if (!this.#leader || this.#leader.resigned || nowMs < this.#nextOfferMs) return undefined;
    const { node, epoch, cores } = this.#leader;
    if (node === this.#node || !cores || !this.#order.isMuchLarger(cores)) return undefined;
    return { node: this.#node, epoch, cores: this.#order.cores };
  }

  /**
   * Whether this node, as leader, resigns in favour of the node that makes the offer. Any client
   * may have written the offer. An offer of a node that does not exist leaves leadership vacant for
   * a moment, so no offer is accepted for a while after a hand-over that failed.
   */
  isAccepted({ node, epoch, cores }: OfferRecord, nowMs: number): boolean {
    const isLargerNode = node !== this.#node && this.#order.isMuchSmaller(cores);
    if (!isLargerNode || epoch !== this.#leader?.epoch || epoch === this.#handedOverEpoch)
      return false;
    return nowMs - this.#leaderSinceMs >= HAND_OVER_MIN_TERM_MS && nowMs >= this.#acceptFromMs;
  }

  /**
   * Whether this node, as leader, resigns in favour of its standby as it has not read the callers'
   * jobs for the given time. The standby had read them when it connected to the leader.
   */
  isDueForUnreadJobs(epoch: number, unreadMs: number, nowMs: number): boolean {
    const wasRecent = nowMs - this.#lastHandOverMs < UNREAD_HAND_OVER_INTERVAL_MS;
    return unreadMs >= UNREAD_TERM_MS && !wasRecent && epoch !== this.#handedOverEpoch;
  }

  /** Called when this node, as leader, hands over leadership. */
  handedOver(epoch: number): void {
    this.#handedOverEpoch = epoch;
  }

  /**
   * Whether this incarnation of the node has resigned although the record still shows it as leader:
   * its last record is stored but not yet read.
   */
  hasHandedOver({ epoch }: LeaderRecord): boolean {
    return epoch === this.#handedOverEpoch;
  }

  isSuccessor({ resigned, successor }: LeaderRecord): boolean {
    return resigned && successor === this.#node;
  }

  /** Returns until when other nodes leave the claim to the successor that the leader has named. */
  successorPriorityEndMs({ successor }: LeaderRecord, seenMs: number): number {
    const isOther = successor !== undefined && successor !== this.#node;
    return isOther ? seenMs + SUCCESSOR_PRIORITY_MS : -Infinity;
  }
}
