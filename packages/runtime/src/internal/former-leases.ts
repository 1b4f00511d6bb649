import { CONFIRMED_LEASE_MS, LEASE_MS, withClockDrift } from './timing.js';
import type { LeaderRecord } from './work-records.js';

/**
 * Tracks until when workers may hold leases from leaders before the current one, as stated in the
 * records of those leaders. A node that takes over leadership waits this long before it restarts
 * tasks that may still run on a worker that it cannot contact.
 *
 * Without these records the wait would start over at each change of leader, even for a worker that
 * was lost long before, and its tasks would stay down while leadership keeps changing. All times
 * are on this node's steady clock. A record is read later than it was sent, so all bounds err on
 * the late side.
 */
export class FormerLeases {
  readonly #node: string;

  readonly #startedMs: number;

  /** The nonces of the claims that this incarnation of the node has sent. */
  readonly #claims = new Set<string>();

  #current: LeaderRecord | undefined;

  #isViewReset = false;

  /** When any record of the current term was last read. */
  #lastReadMs = -Infinity;

  /** For the current term: when leases expire on the workers that it lists as silent. */
  #silent: ReadonlyMap<string, number> = new Map();

  /** When leases of former terms expire on workers that no term has listed as silent. */
  #generalEndMs = -Infinity;

  /**
   * When leases of former terms expire on workers that were listed as silent and have got no lease
   * since.
   */
  #namedEndMs: ReadonlyMap<string, number> = new Map();

  /** Creates the tracker for the node with this name, which started at `startedMs`. */
  constructor(node: string, startedMs: number) {
    this.#node = node;
    this.#startedMs = startedMs;
  }

  /** When leases of former terms expire on workers that have a bound of their own, by worker. */
  get namedEndMs(): ReadonlyMap<string, number> {
    return this.#namedEndMs;
  }

  /** When leases of former terms expire on all workers that are not in `namedEndMs`. */
  get generalEndMs(): number {
    return this.#generalEndMs;
  }

  /** When leases of former terms expire on all workers. */
  get allEndMs(): number {
    return Math.max(this.#generalEndMs, ...this.#namedEndMs.values());
  }

  /** Called before this incarnation of the node claims leadership with this nonce. */
  claiming(nonce: string): void {
    this.#claims.add(nonce);
  }

  /**
   * Called when the log is read again from its newest records: records in between may never be
   * read.
   */
  viewReset(): void {
    this.#isViewReset = true;
  }

  /** Called when any record of the current leader was read: it may have renewed leases since. */
  heartbeatRead(nowMs: number): void {
    this.#lastReadMs = nowMs;
  }

  /** Called when a leader record was read, of the same term as before or of a later one. */
  recordRead(rec: LeaderRecord, nowMs: number): void {
    const isSameTerm = this.#current?.epoch === rec.epoch;
    if (this.#isViewReset || !this.#isSameOrNextTerm(rec)) this.#startOver(rec, nowMs);
    else if (!isSameTerm) this.#termEnded(this.#current!);
    this.#silent =
      isSameTerm && !this.#isViewReset ? this.#earliest(rec, nowMs) : endsOf(rec, nowMs);
    this.#isViewReset = false;
    this.#current = rec;
    this.#lastReadMs = nowMs;
  }

  /**
   * Returns when leases expire on the workers that the record lists as silent. For workers that the
   * previous record listed as well, the earlier bound applies.
   */
  #earliest(rec: LeaderRecord, nowMs: number): ReadonlyMap<string, number> {
    const ends = endsOf(rec, nowMs);
    for (const [worker, endMs] of ends) {
      const before = this.#silent.get(worker) ?? Infinity;
      if (before < endMs) ends.set(worker, before);
    }
    return ends;
  }

  #isSameOrNextTerm({ epoch }: LeaderRecord): boolean {
    const known = this.#current?.epoch;
    return known !== undefined && (epoch === known || epoch === known + 1);
  }

  /**
   * Starts over from this record, as it is the only information about terms and records that were
   * never read.
   */
  #startOver(rec: LeaderRecord, nowMs: number): void {
    this.#generalEndMs = Math.max(this.allEndMs, nowMs + rec.formerMs);
    this.#namedEndMs = new Map();
  }

  #termEnded(before: LeaderRecord): void {
    const endMs = this.#currentEndMs(before);
    this.#generalEndMs = Math.max(this.#generalEndMs, endMs);
    const named = new Map(this.#silent);
    for (const [worker, namedEndMs] of this.#namedEndMs) {
      // Listed by an earlier term but not by this one, which may have contacted the worker.
      if (!named.has(worker)) named.set(worker, Math.max(namedEndMs, endMs));
    }
    this.#namedEndMs = named;
  }

  #currentEndMs({ node, nonce, leasesMs, delegates }: LeaderRecord): number {
    const endMs = this.#lastReadMs + withClockDrift(leasesMs);
    if (node !== this.#node || this.#claims.has(nonce)) return endMs;
    // An earlier incarnation of this node has renewed nothing since this one started, but its
    // delegates may have: until a time that it had granted before.
    const longestMs = delegates ? CONFIRMED_LEASE_MS : LEASE_MS;
    return Math.min(endMs, this.#startedMs + withClockDrift(longestMs));
  }
}

function endsOf({ silent }: LeaderRecord, nowMs: number): Map<string, number> {
  return new Map(Object.entries(silent).map(([worker, ms]) => [worker, nowMs + ms]));
}
