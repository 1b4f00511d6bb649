import type { LeaderRecord } from '@redwingcrank/runtime/leases';
import {
  CLAIM_LEASE_MS,
  CONFIRMED_LEASE_MS,
  FormerLeases,
  withClockDrift,
} from '@redwingcrank/runtime/leases';

/** What a node reads of the work log that tells of leases; undefined for any other leader's word. */
export type LogEntry = LeaderRecord | undefined;

/** A node as far as it may take the scheduling role: it reads the log and claims. */
export class ModelNode {
  readonly name: string;

  #former: FormerLeases;

  #present: LeaderRecord | undefined;

  #isFrozen = false;

  /** The newest record of a leader in the log, where it has not read it: it was frozen then. */
  #missed: LeaderRecord | undefined;

  constructor(name: string, nowMs: number) {
    this.name = name;
    this.#former = new FormerLeases(name, nowMs);
  }

  /** What it knows of leases that earlier leaders have given. */
  get former(): FormerLeases {
    return this.#former;
  }

  /** The process starts anew and reads the newest record alone. */
  restart(nowMs: number): void {
    this.#former = new FormerLeases(this.name, nowMs);
    if (this.#present) this.#former.recordRead(this.#present, nowMs);
  }

  freeze(): void {
    this.#isFrozen = true;
  }

  /** What it has not read meanwhile has expired: it reads the newest record of each key. */
  wake(nowMs: number): void {
    if (!this.#isFrozen) return;
    this.#isFrozen = false;
    this.#former.viewReset();
    const newest = this.#missed ?? this.#present;
    this.#missed = undefined;
    if (newest) this.#recordRead(newest, nowMs);
  }

  read(entry: LogEntry, nowMs: number): void {
    if (this.#isFrozen) this.#missed = entry ?? this.#missed;
    else if (entry) this.#recordRead(entry, nowMs);
    else this.#former.heartbeatRead(nowMs);
  }

  #recordRead(rec: LeaderRecord, nowMs: number): void {
    this.#present = rec;
    this.#former.recordRead(rec, nowMs);
  }

  /** A claim as the nodes make it: it may be stored seconds after it was sent. */
  claim(nowMs: number): LeaderRecord {
    const epoch = (this.#present?.epoch ?? 0) + 1;
    const leasesMs = Math.max(this.#present?.leasesMs ?? 0, CONFIRMED_LEASE_MS);
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
