import { LEASE_MS, withClockDrift } from './timing.js';
import type { LeaderRecord } from './work-records.js';

/**
 * Until when workers may hold leases that scheduling nodes before the present one have given, from
 * what their records say. A node that takes the role over waits so long before it starts elsewhere
 * what may still run on a worker that it cannot ask.
 *
 * Without these records each change of the scheduling node would begin the wait anew, also for
 * a worker that was lost long before: its tasks would be away for as long as the role passes on.
 * All times are on this node's steady clock. A record is read later than it was sent, so every
 * bound errs to the late side.
 */
export class FormerLeases {
  readonly #node: string;

  readonly #startedMs: number;

  /** The nonces of the claims that this life of the node has sent. */
  readonly #claims = new Set<string>();

  #present: LeaderRecord | undefined;

  #isBroken = false;

  /** When any record of the present term was last read. */
  #heardMs = -Infinity;

  /** Of the present term: when the leases of the workers that it names as silent are over. */
  #silent: ReadonlyMap<string, number> = new Map();

  /** When those of former terms are over on workers that no term has named. */
  #generalEndMs = -Infinity;

  /** The same for workers that were named, and have got no lease since. */
  #namedEndMs: ReadonlyMap<string, number> = new Map();

  /** Of the node that keeps this, its name and when it started. */
  constructor(node: string, startedMs: number) {
    this.#node = node;
    this.#startedMs = startedMs;
  }

  /** Workers for which something else holds than for all others. */
  get namedEndMs(): ReadonlyMap<string, number> {
    return this.#namedEndMs;
  }

  /** When all leases of former terms are over, but for those of named workers. */
  get generalEndMs(): number {
    return this.#generalEndMs;
  }

  /** When all of them are over on all workers. */
  get allEndMs(): number {
    return Math.max(this.#generalEndMs, ...this.#namedEndMs.values());
  }

  /** This life of the node is about to claim the role. */
  claiming(nonce: string): void {
    this.#claims.add(nonce);
  }

  /** The log is read anew from its newest records: some between may never be read. */
  viewReset(): void {
    this.#isBroken = true;
  }

  /** Any record of the present scheduling node was read: it may have renewed leases since. */
  heartbeatRead(nowMs: number): void {
    this.#heardMs = nowMs;
  }

  /** The scheduling node's record of itself was read: the same node's as before, or the next one's. */
  recordRead(rec: LeaderRecord, nowMs: number): void {
    const isSameTerm = this.#present?.epoch === rec.epoch;
    if (this.#isBroken || !this.#isNext(rec)) this.#begin(rec, nowMs);
    else if (!isSameTerm) this.#replaced(this.#present!);
    this.#silent = isSameTerm && !this.#isBroken ? this.#earliest(rec, nowMs) : endsOf(rec, nowMs);
    this.#isBroken = false;
    this.#present = rec;
    this.#heardMs = nowMs;
  }

  /** Of two records that name a worker without a break, the earlier bound holds. */
  #earliest(rec: LeaderRecord, nowMs: number): ReadonlyMap<string, number> {
    const ends = endsOf(rec, nowMs);
    for (const [worker, endMs] of ends) {
      const before = this.#silent.get(worker) ?? Infinity;
      if (before < endMs) ends.set(worker, before);
    }
    return ends;
  }

  #isNext({ epoch }: LeaderRecord): boolean {
    const present = this.#present?.epoch;
    return present !== undefined && (epoch === present || epoch === present + 1);
  }

  /** Of terms and records that were never read only this record can tell. */
  #begin(rec: LeaderRecord, nowMs: number): void {
    this.#generalEndMs = Math.max(this.allEndMs, nowMs + rec.formerMs);
    this.#namedEndMs = new Map();
  }

  #replaced(before: LeaderRecord): void {
    const endMs = this.#presentEndMs(before);
    this.#generalEndMs = Math.max(this.#generalEndMs, endMs);
    const named = new Map(this.#silent);
    for (const [worker, namedEndMs] of this.#namedEndMs) {
      // Named by an earlier term and not by this one, which may have reached it.
      if (!named.has(worker)) named.set(worker, Math.max(namedEndMs, endMs));
    }
    this.#namedEndMs = named;
  }

  #presentEndMs({ node, nonce, leasesMs }: LeaderRecord): number {
    const endMs = this.#heardMs + withClockDrift(leasesMs);
    if (node !== this.#node || this.#claims.has(nonce)) return endMs;
    // An earlier life of this node has renewed nothing since this one began.
    return Math.min(endMs, this.#startedMs + withClockDrift(LEASE_MS));
  }
}

function endsOf({ silent }: LeaderRecord, nowMs: number): Map<string, number> {
  return new Map(Object.entries(silent).map(([worker, ms]) => [worker, nowMs + ms]));
}
