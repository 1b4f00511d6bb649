import type { RecordFault } from './record-fault.js';

/** A record to append; without a value it deletes the key. */
export interface KeyedWrite {
  readonly key: string;
  readonly value: string | undefined;
}

/** One record of a log that keeps the newest record of each key. */
export interface KeyedRecord {
  /** As far as it could be read; empty where nothing of it could. */
  readonly key: string;
  /** Absent where the key was deleted. */
  readonly value: string | undefined;
  /** Why the record cannot be read. It neither says anything nor deletes its key. */
  readonly fault?: RecordFault;
}

/**
 * Names a writer. The log refuses a lower epoch than one it has seen, and takes the appends of
 * one epoch in the order of their sequence numbers, a repeated one only once.
 */
export interface WriterStamp {
  readonly writer: string;
  readonly epoch: number;
  readonly sequence: number;
}

export interface AppendOptions {
  readonly stamp?: WriterStamp;
  /** Append only if the log still ends here. */
  readonly at?: number;
  /**
   * Send it no more than once, though its stamp would let the log take a repeat for what it is: by
   * the time of a repeat the reason for the append may be gone.
   */
  readonly isOnce?: boolean;
}

/**
 * What came of an append.
 *
 * - `appended`: it is stored for good.
 * - `fenced`: a higher epoch has written since.
 * - `moved`: the log did not end where it was expected to.
 * - `out-of-sequence`: an append before this one is missing, or was another one.
 * - `refused`: nothing was done; the store is busy or turns this node away.
 * - `unknown`: no answer; it may have been stored, or may yet be.
 */
export type AppendOutcome =
  'appended' | 'fenced' | 'moved' | 'out-of-sequence' | 'refused' | 'unknown';

export interface AppendResult {
  readonly outcome: AppendOutcome;
  /** Why, where it was not appended. */
  readonly reason: string;
}

export interface ReadResult {
  /** Every record of the log, also those that could not be read. */
  readonly records: readonly KeyedRecord[];
  /** Where to read on. */
  readonly next: number;
  /** Where the log ended when it was read. */
  readonly end: number;
  /** Until when nothing is missing here, on the steady clock. */
  readonly asOfMs: number;
}

export interface NewestPage {
  readonly records: readonly KeyedRecord[];
  readonly hasMore: boolean;
  readonly end: number;
}

/** The store could not be read; the message says why. */
export class StoreUnavailableError extends Error {
  override readonly name = 'StoreUnavailableError';
}

/** The records asked for are gone; read the newest of each key instead. */
export class RecordsExpiredError extends Error {
  override readonly name = 'RecordsExpiredError';

  /** From where on the log has its records, as far as the store has told. */
  readonly first: number;

  constructor(message: string, first = 0) {
    super(message);
    this.first = first;
  }
}

/** A log on the platform's store that keeps the newest record of each key for good. */
export abstract class KeyedLog {
  /** Appends all records or none, and never throws for what the store may do. */
  abstract append(records: readonly KeyedWrite[], options?: AppendOptions): Promise<AppendResult>;

  /**
   * Reads from an offset, waiting up to `waitMs` for a record.
   *
   * @throws StoreUnavailableError, RecordsExpiredError
   */
  abstract read(from: number, waitMs: number): Promise<ReadResult>;

  /**
   * The newest record of each key, a page at a time. Pages are not a snapshot.
   *
   * @throws StoreUnavailableError
   */
  abstract newest(after: string): Promise<NewestPage>;
}
