import { LEASE_MS, surelyOverMs } from './timing.js';
import type { LeaderRecord } from './work-records.js';

/**
 * Until when workers may hold leases that scheduling nodes before the present one have given, from
 * what their records say. A node that takes the role over waits so long before it starts elsewhere
 * what may still run on a worker that it cannot ask.
 *
 * Without the records' word each change of the scheduling node would begin the wait anew, also for
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

  /** When any record of the present term was last read. */
  #wordMs = -Infinity;

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

  /** Some record of the present scheduling node was read: it has renewed leases since. */
  wordRead(nowMs: number): void {
    this.#wordMs = nowMs;
  }

  /** The scheduling node's record of itself was read: the same node's as before, or the next one's. */
  recordRead(rec: LeaderRecord, nowMs: number): void {
    if (this.#present?.epoch === rec.epoch) {
      this.#silent = this.#earliest(rec, nowMs);
    } else {
      this.#replaced(rec, nowMs);
      this.#silent = endsOf(rec, nowMs);
    }
    this.#present = rec;
    this.#wordMs = nowMs;
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

  #replaced(next: LeaderRecord, nowMs: number): void {
    const before = this.#present;
    if (!before || next.epoch !== before.epoch + 1) {
      // Of terms that were never read only the next one's record can tell.
      this.#generalEndMs = Math.max(this.allEndMs, nowMs + next.formerMs);
      this.#namedEndMs = new Map();
      return;
    }
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
    const endMs = this.#wordMs + surelyOverMs(leasesMs);
    if (node !== this.#node || this.#claims.has(nonce)) return endMs;
    // An earlier life of this node has renewed nothing since this one began.
    return Math.min(endMs, this.#startedMs + surelyOverMs(LEASE_MS));
  }
}

function endsOf({ silent }: LeaderRecord, nowMs: number): Map<string, number> {
  return new Map(Object.entries(silent).map(([worker, ms]) => [worker, nowMs + ms]));
}
