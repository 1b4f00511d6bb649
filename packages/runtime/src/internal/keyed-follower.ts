import { Subject } from 'rxjs';
import type { KeyedLog, KeyedRecord } from '../keyed-log.js';
import { RecordsExpiredError, StoreUnavailableError } from '../keyed-log.js';
import type { NodeLog } from '../node-log.js';
import { Pause, steadyMs } from './delay.js';

/** A message of a follower: its view is reset, a record was read, or the view has caught up. */
export type FollowerMessage =
  | { readonly kind: 'reset' }
  | { readonly kind: 'record'; readonly rec: KeyedRecord }
  | { readonly kind: 'caught-up' };

export interface FollowerSettings {
  readonly name: string;
  /** How long a read waits at the store for a record, in milliseconds. */
  readonly waitMs: number;
  /** The pause between reads, in milliseconds: each read costs processor time and a call. */
  readonly gapMs: number;
}

/** The number of reads, over some seconds, whose duration counts as recent. */
const RECENT_READS = 4;

/** Margin on the expected age of a view beyond the time of its reads, in milliseconds. */
const AGE_MARGIN_MS = 100;

/** The shortest pause after a read, in milliseconds. */
const MIN_GAP_MS = 25;

/** The pause after a failed read, in milliseconds: short, as an outage may end at any time. */
const RETRY_MS = 150;

/**
 * Follows a keyed log: emits the newest record of each key first, then every record as it is
 * written. When records that it needs have expired, it starts over with a `reset`, which
 * invalidates all earlier messages.
 */
export class KeyedFollower {
  readonly #source: KeyedLog;

  readonly #log: NodeLog;

  readonly #settings: FollowerSettings;

  readonly #stopping = new AbortController();

  #gapMs: number;

  readonly #gap = new Pause();

  #next: number | undefined;

  /** How many times the view was discarded by `reload`. */
  #reloads = 0;

  #completeAsOfMs = -Infinity;

  #isLoaded = false;

  /** The highest end of the log that is known. */
  #knownEnd = 0;

  #isLost = false;

  #isFirstPause = true;

  /** The durations of the latest reads without their wait at the store, in milliseconds. */
  readonly #recentReadsMs: number[] = [];

  readonly messages$ = new Subject<FollowerMessage>();

  /** Emits when reads start to fail. */
  readonly lost$ = new Subject<void>();

  constructor(source: KeyedLog, log: NodeLog, settings: FollowerSettings) {
    this.#source = source;
    this.#log = log;
    this.#settings = settings;
    this.#gapMs = settings.gapMs;
  }

  /** When the view was last known to be complete, on the steady clock. */
  get completeAsOfMs(): number {
    return this.#completeAsOfMs;
  }

  /** Whether the log has been read to its end at least once. */
  get isLoaded(): boolean {
    return this.#isLoaded;
  }

  /** Whether the latest read has failed. */
  get isLost(): boolean {
    return this.#isLost;
  }

  /**
   * The age that the view reaches when nothing is written and reads take as long as recently. Just
   * before a read is answered, the view dates from the wait of the previous read at the store.
   */
  get expectedAgeMs(): number {
    const { waitMs } = this.#settings;
    return this.#gapMs + waitMs + 2 * this.recentReadMs + AGE_MARGIN_MS;
  }

  /**
   * The duration of a read that does not wait for a record, in milliseconds: the slowest of the
   * latest reads.
   */
  get recentReadMs(): number {
    return Math.max(0, ...this.#recentReadsMs);
  }

  /**
   * The offset of the log up to which the view is complete; undefined before the view is loaded.
   */
  get next(): number | undefined {
    return this.#next;
  }

  /** Follows until stopped. */
  async run(): Promise<void> {
    while (!this.#stopping.signal.aborted) {
      await this.#readOnce();
    }
  }

  /** Ends the current pause. */
  endPause(): void {
    this.#gap.end();
  }

  /** Starts over with the newest record of each key. */
  reload(): void {
    this.#reloads += 1;
    this.#next = undefined;
    this.#completeAsOfMs = -Infinity;
    this.#isLoaded = false;
    this.endPause();
  }

  /** Sets the pause between reads, in milliseconds. */
  setGap(gapMs: number): void {
    this.#gapMs = gapMs;
    this.endPause();
  }

  stop(): void {
    this.#stopping.abort();
    this.#gap.end();
  }

  async #readOnce(): Promise<void> {
    try {
      const beforeMs = this.#completeAsOfMs;
      if (this.#next === undefined) await this.#load();
      else await this.#read(this.#next);
      this.#markRegained(beforeMs);
      await this.#pause(this.#pauseMs());
    } catch (err) {
      if (err instanceof RecordsExpiredError) this.#recordsExpired(err);
      this.#markLost(err);
      await this.#pause(RETRY_MS);
    }
  }

  #recordsExpired({ first }: RecordsExpiredError): void {
    this.#next = undefined;
    this.#knownEnd = Math.max(this.#knownEnd, first);
  }

  /**
   * Loads the newest record of each key. The view counts as complete after the first read that
   * follows. A store that has just dropped its history may answer with a page that is seconds old,
   * so a page that ends before the known end of the log is rejected. A node that has read nothing
   * before cannot detect an old page; its next read finds that the records have expired.
   */
  async #load(): Promise<void> {
    const reloads = this.#reloads;
    let page = await this.#source.newest('');
    const { end } = page;
    this.#checkEnd(end);
    // Until all pages are loaded, a missing record has no meaning.
    this.#completeAsOfMs = -Infinity;
    this.#isLoaded = false;
    this.messages$.next({ kind: 'reset' });
    let { records } = page;
    this.#emitRecords(records);
    while (page.hasMore) {
      page = await this.#source.newest(records.at(-1)!.key);
      records = page.records;
      this.#emitRecords(records);
    }
    if (reloads !== this.#reloads) return;
    // Continue from the end as of the first page, to read again what changed while the pages were
    // loaded.
    this.#next = end;
    this.#isLoaded = true;
    this.messages$.next({ kind: 'caught-up' });
  }

  /** @throws StoreUnavailableError if the log is known to extend beyond this end. */
  #checkEnd(end: number): void {
    if (end < this.#knownEnd) {
      throw new StoreUnavailableError(
        `the store returned an old state of the log, with its end at ${end}`,
      );
    }
    this.#knownEnd = end;
  }

  async #read(from: number): Promise<void> {
    // After an outage, read without waiting: a wait at the store would keep the view out of date
    // for longer.
    const waitMs = this.#isLost || this.#completeAsOfMs === -Infinity ? 0 : this.#settings.waitMs;
    const reloads = this.#reloads;
    const sentMs = steadyMs();
    const { records, next, end, asOfMs } = await this.#source.read(from, waitMs);
    if (reloads !== this.#reloads) return;
    this.#checkEnd(end);
    this.#recordReadTime(steadyMs() - sentMs - (records.length > 0 ? 0 : waitMs));
    this.#emitRecords(records);
    this.#next = next;
    if (next >= end) {
      this.#completeAsOfMs = Math.max(this.#completeAsOfMs, asOfMs);
      this.messages$.next({ kind: 'caught-up' });
    }
  }

  #recordReadTime(ms: number): void {
    this.#recentReadsMs.push(ms);
    if (this.#recentReadsMs.length > RECENT_READS) this.#recentReadsMs.shift();
  }

  #emitRecords(records: readonly KeyedRecord[]): void {
    for (const rec of records) this.messages$.next({ kind: 'record', rec });
  }

  #markLost(err: unknown): void {
    if (this.#isLost || this.#stopping.signal.aborted) return;
    this.#isLost = true;
    const reason = err instanceof Error ? err.message : String(err);
    this.#log.emit('warn', 'log-lost', {
      log: this.#settings.name,
      reason,
      ageMs: ageMs(this.#completeAsOfMs),
    });
    this.lost$.next();
  }

  /**
   * Marks the end of an outage. `beforeMs`: when the view was known to be complete before this
   * read.
   */
  #markRegained(beforeMs: number): void {
    if (!this.#isLost) return;
    this.#isLost = false;
    // How long reads took before the outage tells nothing about the store now.
    this.#recentReadsMs.splice(0, this.#recentReadsMs.length - 1);
    this.#log.emit('info', 'log-regained', {
      log: this.#settings.name,
      next: this.#next,
      ageMs: ageMs(beforeMs),
    });
  }

  /**
   * Returns how long to pause after a read: until the view is as old as a pause is long. With a
   * full pause after each answer of a slow store, the view would become so old that the node
   * reports that it is not ready.
   */
  #pauseMs(): number {
    const viewAgeMs = steadyMs() - this.#completeAsOfMs;
    if (this.#completeAsOfMs === -Infinity) return 0;
    // The second read waits at the store and returns the next record when it is stored. A node that
    // has just started would otherwise count the leases of lost workers, whose remaining time that
    // record states, from the end of a pause.
    if (this.#isFirstPause) {
      this.#isFirstPause = false;
      return 0;
    }
    return Math.max(Math.min(MIN_GAP_MS, this.#gapMs), this.#gapMs - viewAgeMs);
  }

  async #pause(ms: number): Promise<void> {
    if (ms === 0 || this.#stopping.signal.aborted) return;
    await this.#gap.wait(ms);
  }
}

/** Returns the age of a view in whole milliseconds; undefined if it was never complete. */
function ageMs(completeAsOfMs: number): number | undefined {
  return completeAsOfMs === -Infinity ? undefined : Math.round(steadyMs() - completeAsOfMs);
}
