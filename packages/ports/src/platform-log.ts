import type { LogPage } from '@redwingcrank/protocol';

/** A read gives at most so many records; fewer mean that it came to the end of the stream. */
export const LOG_PAGE_LIMIT = 500;

/**
 * The platform's append-only log. A record may stand on it although the append threw: its answer
 * can be lost after the effect. Writers give each record an id and look for it before they
 * append again.
 */
export abstract class PlatformLog {
  /**
   * Appends one record.
   *
   * @returns The record's offset.
   * @throws PlatformError (401) where no answer came in time; the record may be on the log.
   */
  abstract append(stream: string, record: unknown): Promise<number>;

  /**
   * Reads from an offset, waiting up to `waitMs` for a first record. A page of fewer than
   * {@link LOG_PAGE_LIMIT} records holds all that stood on the log when the read was started.
   *
   * @param signal - Ends the wait early.
   * @throws PlatformError (401) where no answer came in time.
   */
  abstract read(
    stream: string,
    from: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<LogPage>;
}
