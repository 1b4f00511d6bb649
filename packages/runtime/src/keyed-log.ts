import type { RecordFault } from './record-fault.js';

/** A record to append; without a value it deletes the key. */
export interface KeyedWrite {
  readonly key: string;
  readonly value: string | undefined;
}

/** One record of a log that keeps the newest record of each key. */
export interface KeyedRecord {
  /** The key as far as it could be read; empty if nothing could be read. */
  readonly key: string;
  /** The value; undefined if the key was deleted. */
  readonly value: string | undefined;
  /**
   * Why the record cannot be read. The value of such a record must not be used, and the record does
   * not delete its key.
   */
  readonly fault?: RecordFault;
}

/**
 * Identifies a writer. The log refuses epochs lower than the highest it has seen, accepts the
 * appends of one epoch in the order of their sequence numbers, and stores a repeated append only
 * once.
 */
export interface WriterStamp {
  readonly writer: string;
  readonly epoch: number;
  readonly sequence: number;
}

export interface AppendOptions {
  readonly stamp?: WriterStamp;
  /** Append only if the log still ends at this offset. */
  readonly at?: number;
  /**
   * Send the append at most once, although its stamp would let the log recognize a repeat: the
   * reason for the append may no longer hold when it would be repeated.
   */
  readonly isOnce?: boolean;
}

/**
 * The outcome of an append.
 *
 * - `appended`: the records are stored durably.
 * - `fenced`: a higher epoch has written since.
 * - `moved`: the log did not end at the expected offset.
 * - `out-of-sequence`: the append before this one is missing or was a different one.
 * - `refused`: nothing was done; the store is busy or rejects this node.
 * - `rejected`: nothing was done, and these records will never be accepted together: one of them, or
 *   all of them, are too large or malformed.
 * - `unknown`: there was no answer; the records may have been stored, or may be stored later.
 */
export type AppendOutcome =
  'appended' | 'fenced' | 'moved' | 'out-of-sequence' | 'refused' | 'rejected' | 'unknown';

export interface AppendResult {
  readonly outcome: AppendOutcome;
  /** Why the records were not appended. */
  readonly reason: string;
}

export interface ReadResult {
  /** All records of the log in the range, including unreadable ones. */
  readonly records: readonly KeyedRecord[];
  /** The offset at which to continue reading. */
  readonly next: number;
  /** The end of the log when it was read. */
  readonly end: number;
  /** The time up to which the result is complete, on the steady clock. */
  readonly asOfMs: number;
}

export interface NewestPage {
  readonly records: readonly KeyedRecord[];
  readonly hasMore: boolean;
  readonly end: number;
}

/** Thrown if the store cannot be read; the message states the reason. */
export class StoreUnavailableError extends Error {
  override readonly name = 'StoreUnavailableError';
}

/** Thrown if the requested records have expired; read the newest record of each key instead. */
export class RecordsExpiredError extends Error {
  override readonly name = 'RecordsExpiredError';

  /** The first offset that the log still has, as reported by the store; 0 if unknown. */
  readonly first: number;

  constructor(message: string, first = 0) {
    super(message);
    this.first = first;
  }
}

/** A log on the platform's store that keeps the newest record of each key permanently. */
export abstract class KeyedLog {
  /** Appends all records or none of them. Never throws for a fault of the store. */
  abstract append(records: readonly KeyedWrite[], options?: AppendOptions): Promise<AppendResult>;

  /**
   * Reads from an offset, waiting up to `waitMs` for a record.
   *
   * @throws StoreUnavailableError, RecordsExpiredError
   */
  abstract read(from: number, waitMs: number): Promise<ReadResult>;

  /**
   * Returns the newest record of each key, one page at a time. Pages are not a snapshot.
   *
   * @throws StoreUnavailableError
   */
  abstract newest(after: string): Promise<NewestPage>;
}
