import type { WorkerEntry, WorkerState } from '@redwingcrank/jobs';
import type { FormerLeases } from './former-leases.js';
import type { LeaderWriter } from './leader-writer.js';
import {
  CONFIRMED_LEASE_MS,
  COMPACT_RECORD_MAX_SILENT,
  LEASE_MS,
  MAX_SILENT_NAMED,
  withoutClockDrift,
} from './timing.js';
import type { LeaderRecord } from './work-records.js';

/** A worker that does not answer, and when all leases there expire. */
export type SilentWorker = Pick<WorkerState, 'leaseEndMs'> & {
  readonly entry: Pick<WorkerEntry, 'id'>;
};

/**
 * Determines how long the leases of this term may last, and what its records tell later leaders
 * about them. No lease ends later than these assume: a worker is listed as silent in a record
 * before later leaders rely on it, and gets its next lease only after a record that does not list
 * it is stored.
 */
export class TermLeases {
  readonly #claimRecord: LeaderRecord;

  readonly #writer: Pick<LeaderWriter, 'confirmedMs'>;

  readonly #former: FormerLeases;

  /** How long leases may last according to the newest stored record. */
  #storedMs: number;

  /** How long leases may last according to the latest written record. */
  #writtenMs: number;

  /**
   * Whether all silent workers are known; before that, the records of the term state the same bound
   * as its claim for all workers that they do not list.
   */
  #isComplete = false;

  #number = 0;

  /** When the record was written with which this node resigns; Infinity before that. */
  #resigningMs = Infinity;

  /** When all leases that other nodes may renew have expired. */
  #grantsEndMs = -Infinity;

  /** When leases expire on the workers to be listed as silent in the next record, by worker. */
  #silent: ReadonlyMap<string, number> = new Map();

  /** Workers listed as silent in a record that is stored or may be; they get no lease. */
  #excluded: ReadonlySet<string> = new Set();

  #writtenNames: ReadonlySet<string> = new Set();

  /** The node in whose favour this node resigns. */
  successor: string | undefined;

  constructor(
    claim: LeaderRecord,
    writer: Pick<LeaderWriter, 'confirmedMs'>,
    former: FormerLeases,
  ) {
    this.#claimRecord = claim;
    this.#writer = writer;
    this.#former = former;
    this.#storedMs = claim.leasesMs;
    this.#writtenMs = claim.leasesMs;
  }

  /** Whether the record is small enough to accompany each append. */
  get isCompact(): boolean {
    return this.#silent.size <= COMPACT_RECORD_MAX_SILENT;
  }

  /**
   * Returns how long from now a lease on the worker may last, in milliseconds; 0 or less if no
   * lease may be granted.
   */
  limitMs(worker: string, nowMs: number): number {
    if (this.#excluded.has(worker)) return 0;
    const endMs = this.#writer.confirmedMs + this.#storedMs;
    return Math.min(endMs, this.#resigningMs + LEASE_MS) - nowMs;
  }

  /** Called before a grant is sent: other nodes may renew a lease until `leaseEndMs`. */
  grantSent(leaseEndMs: number): void {
    this.#grantsEndMs = Math.max(this.#grantsEndMs, leaseEndMs);
  }

  /**
   * Sets which workers are silent now; `isComplete` states that no other worker may be. Returns
   * true if a new record should be written: when the set of silent workers has changed, or for the
   * first time when each worker with running tasks has answered or is known to be silent.
   */
  updateSilent(workers: Iterable<SilentWorker>, isComplete: boolean): boolean {
    const silent = new Map<string, number>();
    for (const { entry, leaseEndMs } of workers) {
      if (silent.size < MAX_SILENT_NAMED) silent.set(entry.id, leaseEndMs);
    }
    this.#silent = silent;
    const isFirst = isComplete && !this.#isComplete;
    this.#isComplete ||= isComplete;
    const hasNewSilent = [...silent.keys()].some((worker) => !this.#writtenNames.has(worker));
    return isFirst || hasNewSilent || silent.size !== this.#writtenNames.size;
  }

  /** Returns the next record of this leader; with `isResigning`, it resigns leadership. */
  record(isResigning: boolean, nowMs: number): LeaderRecord {
    const silent = Object.fromEntries(
      [...this.#silent].map(([worker, endMs]) => [worker, Math.max(0, Math.ceil(endMs - nowMs))]),
    );
    this.#writtenNames = new Set(this.#silent.keys());
    this.#excluded = new Set([...this.#excluded, ...this.#writtenNames]);
    this.#number += 1;
    if (this.#isComplete) this.#writtenMs = CONFIRMED_LEASE_MS;
    if (isResigning) {
      // No earlier lease ends later than one that starts now, and none is renewed beyond that, except
      // where other nodes renew it until a time that was granted before.
      this.#resigningMs = Math.min(this.#resigningMs, nowMs);
      const grantsMs = withoutClockDrift(this.#grantsEndMs - nowMs);
      this.#writtenMs = Math.min(this.#writtenMs, Math.max(LEASE_MS, Math.ceil(grantsMs)));
    }
    return {
      ...this.#claimRecord,
      resigned: isResigning,
      leasesMs: this.#writtenMs,
      formerMs: Math.max(0, Math.ceil(this.#former.allEndMs - nowMs)),
      silent,
      number: this.#number,
      ...(isResigning && this.successor !== undefined ? { successor: this.successor } : {}),
    };
  }

  /**
   * Called when the newest record is stored: workers that it does not list may get leases again.
   */
  recordStored(): void {
    this.#excluded = this.#writtenNames;
    this.#storedMs = this.#writtenMs;
  }
}
