import type { WorkerEntry, WorkerState } from '@redwingcrank/jobs';
import type { FormerLeases } from './former-leases.js';
import type { LeaderWriter } from './leader-writer.js';
import { CONFIRMED_LEASE_MS, COMPACT_RECORD_MAX_SILENT, MAX_SILENT_NAMED } from './timing.js';
import type { LeaderRecord } from './work-records.js';

/** A worker that does not answer, and when all leases there are over. */
export type SilentWorker = Pick<WorkerState, 'leaseEndMs'> & {
  readonly entry: Pick<WorkerEntry, 'id'>;
};

/**
 * How long leases may last that this term gives, and what its records say of it to later nodes.
 * What is allowed here never ends later than those take it to: a worker is named as silent before
 * they count on it, and gets its next lease only after a record without its name is stored.
 */
export class TermLeases {
  readonly #claim: LeaderRecord;

  readonly #writer: Pick<LeaderWriter, 'confirmedMs'>;

  readonly #former: FormerLeases;

  /** How long leases may last by the newest record that is stored. */
  #storedMs: number;

  /** The same by the one that was written last. */
  #writtenMs: number;

  /** Until then the term's records say no more than its claim. */
  #isTelling = false;

  #number = 0;

  /** Workers that are named in the record to be written next, by when their leases are over. */
  #silent: ReadonlyMap<string, number> = new Map();

  /** Workers that a record names which is stored, or may be. */
  #named: ReadonlySet<string> = new Set();

  #written: ReadonlySet<string> = new Set();

  /** For whom the role is given up. */
  successor: string | undefined;

  constructor(
    claim: LeaderRecord,
    writer: Pick<LeaderWriter, 'confirmedMs'>,
    former: FormerLeases,
  ) {
    this.#claim = claim;
    this.#writer = writer;
    this.#former = former;
    this.#storedMs = claim.leasesMs;
    this.#writtenMs = claim.leasesMs;
  }

  /** Whether the record is small enough to go with each append. */
  get isCompact(): boolean {
    return this.#silent.size <= COMPACT_RECORD_MAX_SILENT;
  }

  /** How long from now a lease on the worker may last, in milliseconds; 0 or less: none. */
  limitMs(worker: string, nowMs: number): number {
    if (this.#named.has(worker)) return 0;
    return this.#writer.confirmedMs + this.#storedMs - nowMs;
  }

  /**
   * Takes down which workers are silent now; `isComplete` says that no others may be. True if later
   * nodes should be told: where other workers are silent than before, and for the first time when
   * each worker on which something runs has answered or is known to be silent.
   */
  updateSilent(workers: Iterable<SilentWorker>, isComplete: boolean): boolean {
    if (!this.#isTelling && !isComplete) return false;
    const silent = new Map<string, number>();
    for (const { entry, leaseEndMs } of workers) {
      if (silent.size < MAX_SILENT_NAMED) silent.set(entry.id, leaseEndMs);
    }
    this.#silent = silent;
    const isFirst = !this.#isTelling;
    this.#isTelling = true;
    const hasOther = [...silent.keys()].some((worker) => !this.#written.has(worker));
    return isFirst || hasOther || silent.size !== this.#written.size;
  }

  /** The record of this node, which gives the role up with it if it `resigns`. */
  record(resigns: boolean, nowMs: number): LeaderRecord {
    const silent = Object.fromEntries(
      [...this.#silent].map(([worker, endMs]) => [worker, Math.max(0, Math.ceil(endMs - nowMs))]),
    );
    this.#written = new Set(this.#silent.keys());
    this.#named = new Set([...this.#named, ...this.#written]);
    this.#number += 1;
    if (this.#isTelling) this.#writtenMs = CONFIRMED_LEASE_MS;
    return {
      ...this.#claim,
      resigned: resigns,
      leasesMs: this.#writtenMs,
      formerMs: Math.max(0, Math.ceil(this.#former.allEndMs - nowMs)),
      silent,
      number: this.#number,
      ...(resigns && this.successor !== undefined ? { successor: this.successor } : {}),
    };
  }

  /** The newest record is stored: workers that it does not name may get leases again. */
  recordStored(): void {
    this.#named = this.#written;
    this.#storedMs = this.#writtenMs;
  }
}
