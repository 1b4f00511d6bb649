import { Subject } from 'rxjs';
import type { LogEntry } from '@redwingcrank/protocol';
import type { PlatformLog } from '@redwingcrank/ports';
import { LOG_PAGE_LIMIT } from '@redwingcrank/ports';
import { Backoff } from './backoff.js';
import { sleep } from './sleep.js';

/**
 * How long a read waits at the log for a first new record. A connection that went silent is found
 * after this and the log client's own limit; a longer wait would find it later, a shorter one
 * costs more reads of a quiet stream.
 */
const LONG_POLL_MS = 1_000;

/** Records that expired before this reader came to them. */
export interface LostRecords {
  /** The offset that was to be read next. */
  readonly from: number;
  /** The oldest offset the log still has. */
  readonly first: number;
}

/**
 * Follows one stream of the platform's log from its first record on.
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

  /** Fires before the entries that follow the gap. */
  readonly lost$ = new Subject<LostRecords>();

  /** True after each read that came to the end, false after each that failed. */
  readonly reachedEnd$ = new Subject<boolean>();

  constructor(log: PlatformLog, stream: string) {
    this.#log = log;
    this.#stream = stream;
  }

  /**
   * When the newest successful read that came to the end of the stream was started, in
   * milliseconds of `performance.now()`; -Infinity before the first. What stood on the log at
   * that moment has been handed out. The start counts, not the answer: an answer that was under
   * way for long says nothing of what was appended meanwhile.
   */
  get lastReadStartedAt(): number {
    return this.#lastReadStartedAt;
  }

  /** Runs until `stop`. */
  async run(): Promise<void> {
    // The first reads must not wait: a node is ready only when it has caught up.
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
      // Retention outran this reader. Were the rest folded as if nothing were missing, this node
      // alone would hold a state that no other has.
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
