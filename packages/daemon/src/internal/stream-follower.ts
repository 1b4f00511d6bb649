import { Subject } from 'rxjs';
import type { LogEntry } from '@redwingcrank/protocol';
import type { PlatformLog } from '@redwingcrank/ports';
import { LOG_PAGE_LIMIT } from '@redwingcrank/ports';
import { Backoff } from './backoff.js';
import { sleep } from './sleep.js';

/**
 * How long a read waits at the log for the first new record. A silent connection is detected after
 * this time plus the log client's own limit: a longer wait would detect it later, a shorter one
 * would cost more reads of an idle stream.
 */
const LONG_POLL_MS = 1_000;

/** Records that expired before this reader reached them. */
export interface LostRecords {
  /** The offset to be read next. */
  readonly from: number;
  /** The oldest offset the log still has. */
  readonly first: number;
}

/**
 * Follows one stream of the platform's log from its first record.
 *
 * Lifecycle: construct, subscribe, `run`, `stop`.
 */
export class StreamFollower {
  readonly #log: PlatformLog;

  readonly #stream: string;

  readonly #abort = new AbortController();

  readonly #backoff = new Backoff();

  #next = 0;

  #lastReadStartedAt = -Infinity;

  /** Records in log order. */
  readonly entries$ = new Subject<LogEntry>();

  /** Emits a gap before the entries that follow it. */
  readonly lost$ = new Subject<LostRecords>();

  /** Emits true after each read that reached the end, false after each failed read. */
  readonly reachedEnd$ = new Subject<boolean>();

  constructor(log: PlatformLog, stream: string) {
    this.#log = log;
    this.#stream = stream;
  }

  /**
   * Start time of the newest successful read that reached the end of the stream, in milliseconds of
   * `performance.now()`; -Infinity before the first. All records that were in the log at that time
   * have been emitted. The start counts, not the answer: a delayed answer does not include records
   * that were appended in the meantime.
   */
  get lastReadStartedAt(): number {
    return this.#lastReadStartedAt;
  }

  /** Reads the stream until `stop`. */
  async run(): Promise<void> {
    // The first reads must not wait, because a node is ready only once it has caught up.
    let waitMs = 0;
    while (!this.#abort.signal.aborted) {
      const read = await this.#readOnce(waitMs);
      if (read === 'failed') await sleep(this.#backoff.next());
      waitMs = read === 'end' ? LONG_POLL_MS : 0;
    }
  }

  stop(): void {
    this.#abort.abort();
  }

  async #readOnce(waitMs: number): Promise<'end' | 'more' | 'failed'> {
    const { signal } = this.#abort;
    const startedAt = performance.now();
    try {
      const page = await this.#log.read(this.#stream, this.#next, waitMs, signal);
      this.#backoff.reset();
      // Records expired before they were read. If the rest were folded as if nothing were missing,
      // this node's state would differ from that of all others.
      if (page.first > this.#next) this.lost$.next({ from: this.#next, first: page.first });
      page.entries.forEach((entry) => this.entries$.next(entry));
      this.#next = page.next;
      if (page.entries.length >= LOG_PAGE_LIMIT) return 'more';
      this.#lastReadStartedAt = startedAt;
      this.reachedEnd$.next(true);
      return 'end';
    } catch {
      if (!signal.aborted) this.reachedEnd$.next(false);
      return 'failed';
    }
  }
}
