import type { KeyedLog } from '../keyed-log.js';
import type { NodeLog } from '../node-log.js';
import { steadyMs } from './delay.js';
import type { HandOver } from './hand-over.js';
import { FAST_READ_MS } from './timing.js';
import type { WorkFollower } from './work-follower.js';
import type { OfferRecord } from './work-records.js';
import { encodeOffer, offerKey } from './work-records.js';

/** Makes the offers of this node to take over from a smaller leader. */
export class OfferSender {
  readonly #workLog: KeyedLog;

  readonly #log: NodeLog;

  readonly #work: WorkFollower;

  readonly #handOver: HandOver;

  readonly #signal: AbortSignal;

  /** `signal`: aborted when this node must not become leader any more. */
  constructor(
    workLog: KeyedLog,
    log: NodeLog,
    work: WorkFollower,
    handOver: HandOver,
    signal: AbortSignal,
  ) {
    this.#workLog = workLog;
    this.#log = log;
    this.#work = work;
    this.#handOver = handOver;
    this.#signal = signal;
  }

  /**
   * Makes an offer if one is due, the store is fast, and this node has read the jobs.
   * `maxViewAgeMs`: the age of a view of the leader's log that is too old for an offer.
   */
  sendWhenDue(maxViewAgeMs: number): void {
    if (!this.#work.hasRecentJobs) return;
    const nowMs = steadyMs();
    const offer = this.#handOver.due(nowMs);
    const { next, completeAsOfMs } = this.#work.workLog;
    if (!offer || next === undefined || nowMs - completeAsOfMs > maxViewAgeMs) return;
    this.#handOver.offerSeen(offer, nowMs);
    this.#send(offer, next).catch((err) => {
      const reason = err instanceof Error ? err.message : String(err);
      this.#log.emit('info', 'offer-put-off', { reason });
    });
  }

  async #send(offer: OfferRecord, next: number): Promise<void> {
    const askedMs = steadyMs();
    await this.#workLog.read(next, 0);
    const tookMs = Math.round(steadyMs() - askedMs);
    if (tookMs > FAST_READ_MS || this.#signal.aborted) {
      this.#log.emit('info', 'offer-put-off', { reason: 'slow-store', tookMs });
      return;
    }
    const write = { key: offerKey(), value: encodeOffer(offer) };
    const { outcome } = await this.#workLog.append([write]);
    this.#log.emit('info', 'offer', { epoch: offer.epoch, cores: offer.cores, outcome });
  }
}
