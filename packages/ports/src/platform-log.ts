import type { LogPage } from '@redwingcrank/protocol';

/** The maximum number of records in a read. A shorter page reached the end of the stream. */
export const LOG_PAGE_LIMIT = 500;

/**
 * The platform's append-only log. A record may be on the log although its append threw, because the
 * answer can be lost after the record was written. Writers give each record an id and check the log
 * for it before they retry the append.
 */
export abstract class PlatformLog {
  /**
   * Appends one record.
   *
   * @returns The record's offset.
   * @throws PlatformError (401) if no answer arrives in time. The record may be on the log.
   */
  abstract append(stream: string, record: unknown): Promise<number>;

  /**
   * Reads from an offset, waiting up to `waitMs` for a first record. A page of fewer than
   * {@link LOG_PAGE_LIMIT} records holds all records that were on the log when the read started.
   *
   * @param signal - Ends the wait early.
   * @throws PlatformError (401) if no answer arrives in time.
   */
  abstract read(
    stream: string,
    from: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<LogPage>;
}
