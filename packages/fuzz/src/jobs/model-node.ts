import type { LeaderRecord } from '@redwingcrank/runtime/leases';
import {
  CLAIM_LEASE_MS,
  CONFIRMED_LEASE_MS,
  FormerLeases,
  withClockDrift,
} from '@redwingcrank/runtime/leases';

/** An entry of the work log: a leader's record, or undefined for any other entry of a leader. */
export type LogEntry = LeaderRecord | undefined;

/** Models a node as a candidate for leadership: it reads the log and claims leadership. */
export class ModelNode {
  readonly name: string;

  #former: FormerLeases;

  #currentRecord: LeaderRecord | undefined;

  #isFrozen = false;

  /** The newest record of a leader that the node has not read because it was frozen. */
  #unreadRecord: LeaderRecord | undefined;

  constructor(name: string, nowMs: number) {
    this.name = name;
    this.#former = new FormerLeases(name, nowMs);
  }

  /** The leases granted by earlier leaders, as far as the node knows them. */
  get former(): FormerLeases {
    return this.#former;
  }

  /** Restarts the process, which reads only the newest record. */
  restart(nowMs: number): void {
    this.#former = new FormerLeases(this.name, nowMs);
    if (this.#currentRecord) this.#former.recordRead(this.#currentRecord, nowMs);
  }

  freeze(): void {
    this.#isFrozen = true;
  }

  /** Ends the freeze. Entries not read meanwhile have expired; the newest record is read instead. */
  wake(nowMs: number): void {
    if (!this.#isFrozen) return;
    this.#isFrozen = false;
    this.#former.viewReset();
    const newest = this.#unreadRecord ?? this.#currentRecord;
    this.#unreadRecord = undefined;
    if (newest) this.#recordRead(newest, nowMs);
  }

  read(entry: LogEntry, nowMs: number): void {
    if (this.#isFrozen) this.#unreadRecord = entry ?? this.#unreadRecord;
    else if (entry) this.#recordRead(entry, nowMs);
    else this.#former.heartbeatRead(nowMs);
  }

  #recordRead(rec: LeaderRecord, nowMs: number): void {
    this.#currentRecord = rec;
    this.#former.recordRead(rec, nowMs);
  }

  /** Returns a claim as a real node makes it; it may be stored seconds after it was sent. */
  claim(nowMs: number): LeaderRecord {
    const epoch = (this.#currentRecord?.epoch ?? 0) + 1;
    const leasesMs = Math.max(this.#currentRecord?.leasesMs ?? 0, CONFIRMED_LEASE_MS);
    const rec = {
      epoch,
      node: this.name,
      nonce: `${epoch}`,
      resigned: false,
      leasesMs: CLAIM_LEASE_MS,
      formerMs: Math.max(withClockDrift(leasesMs), this.#former.allEndMs - nowMs),
      silent: {},
      number: 0,
    };
    this.#former.claiming(rec.nonce);
    return rec;
  }
}
