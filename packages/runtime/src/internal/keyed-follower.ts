import { Subject } from 'rxjs';
import type { KeyedLog, KeyedRecord } from '../keyed-log.js';
import { RecordsExpiredError, StoreUnavailableError } from '../keyed-log.js';
import type { NodeLog } from '../node-log.js';
import { Pause, steadyMs } from './delay.js';

/** A follower's message: its view starts anew, one record of it, or it has caught up. */
export type FollowerMessage =
  | { readonly kind: 'reset' }
  | { readonly kind: 'record'; readonly rec: KeyedRecord }
  | { readonly kind: 'caught-up' };

export interface FollowerSettings {
  readonly name: string;
  /** How long a read may wait at the store for a record, in milliseconds. */
  readonly waitMs: number;
  /** The pause between reads, in milliseconds: each costs processor time and a call. */
  readonly gapMs: number;
}

/** Reads whose time counts for what is usual: some seconds of them. */
const RECENT_READS = 4;

/** What a view may be older beyond the time of its reads, in milliseconds. */
const AGE_MARGIN_MS = 100;

/** The shortest pause after a read, in milliseconds. */
const MIN_GAP_MS = 25;

/** The pause after a failed read, in milliseconds: short, as an outage may end at any moment. */
const RETRY_MS = 150;

/**
 * Follows a keyed log: the newest record of each key first, then every record as it comes. When
 * records it needs have expired, it starts anew; nothing it was told before is then valid.
 */
export class KeyedFollower {
  readonly #source: KeyedLog;

  readonly #log: NodeLog;

  readonly #settings: FollowerSettings;

  readonly #stopping = new AbortController();

  #gapMs: number;

  readonly #gap = new Pause();

  #next: number | undefined;

  /** How often the view was given up for a new one. */
  #reloads = 0;

  #freshMs = -Infinity;

  #isLoaded = false;

  /** The furthest that the log was known to reach. */
  #knownEnd = 0;

  #isLost = false;

  /** What the newest reads took beyond their wait at the store, in milliseconds. */
  readonly #tookMs: number[] = [];

  readonly messages$ = new Subject<FollowerMessage>();

  /** Tells when reads begin to fail. */
  readonly lost$ = new Subject<void>();

  constructor(source: KeyedLog, log: NodeLog, settings: FollowerSettings) {
    this.#source = source;
    this.#log = log;
    this.#settings = settings;
    this.#gapMs = settings.gapMs;
  }

  /** When the view was last known to be complete, on the steady clock. */
  get completeAsOfMs(): number {
    return this.#freshMs;
  }

  /** Whether the log has been read to its end at least once. */
  get isLoaded(): boolean {
    return this.#isLoaded;
  }

  /** Whether the newest read has failed. */
  get isLost(): boolean {
    return this.#isLost;
  }

  /**
   * How old the view becomes where nothing is written, while reads are answered as lately: when the
   * next one is, the newest that is known is from the wait of the one before.
   */
  get expectedAgeMs(): number {
    const { waitMs } = this.#settings;
    return this.#gapMs + waitMs + 2 * this.recentReadMs + AGE_MARGIN_MS;
  }

  /** What a read takes that does not wait for a record, in milliseconds: the slowest of the newest. */
  get recentReadMs(): number {
    return Math.max(0, ...this.#tookMs);
  }

  /** Where the view ends in the log; undefined before it is loaded. */
  get next(): number | undefined {
    return this.#next;
  }

  /** Follows until stopped. */
  async run(): Promise<void> {
    while (!this.#stopping.signal.aborted) {
      await this.#guarded();
    }
  }

  /** Ends the present pause. */
  endPause(): void {
    this.#gap.end();
  }

  /** Starts anew with the newest record of each key. */
  reload(): void {
    this.#reloads += 1;
    this.#next = undefined;
    this.#freshMs = -Infinity;
    this.#isLoaded = false;
    this.endPause();
  }

  /** From now on, how long to pause between reads, in milliseconds. */
  setGap(gapMs: number): void {
    this.#gapMs = gapMs;
    this.endPause();
  }

  stop(): void {
    this.#stopping.abort();
    this.#gap.end();
  }

  async #guarded(): Promise<void> {
    try {
      const before = this.#freshMs;
      if (this.#next === undefined) await this.#load();
      else await this.#read(this.#next);
      this.#regained(before);
      await this.#pause(this.#restMs());
    } catch (err) {
      if (err instanceof RecordsExpiredError) this.#expired(err);
      this.#lost(err);
      await this.#pause(RETRY_MS);
    }
  }

  #expired({ first }: RecordsExpiredError): void {
    this.#next = undefined;
    this.#knownEnd = Math.max(this.#knownEnd, first);
  }

  /**
   * Loads the newest record of each key. The view counts as complete with the first read from there
   * on: a store that has just dropped its history may answer with a page that is seconds old, and
   * one that does not reach as far as the log did is not taken. From an older page than that, which
   * a node that has read nothing before cannot know, the next read finds the records expired.
   */
  async #load(): Promise<void> {
    const reloads = this.#reloads;
    let page = await this.#source.newest('');
    const { end } = page;
    this.#checkEnd(end);
    // Until all pages are there, what is missing says nothing.
    this.#freshMs = -Infinity;
    this.#isLoaded = false;
    this.messages$.next({ kind: 'reset' });
    let { records } = page;
    this.#tell(records);
    while (page.hasMore) {
      page = await this.#source.newest(records.at(-1)!.key);
      records = page.records;
      this.#tell(records);
    }
    if (reloads !== this.#reloads) return;
    // Read on from the first page's end: what changed while the pages came is read again.
    this.#next = end;
    this.#isLoaded = true;
    this.messages$.next({ kind: 'caught-up' });
  }

  /** @throws StoreUnavailableError where the log was known to reach further. */
  #checkEnd(end: number): void {
    if (end < this.#knownEnd) {
      throw new StoreUnavailableError(`an answer from when the log ended at ${end}`);
    }
    this.#knownEnd = end;
  }

  async #read(from: number): Promise<void> {
    // After an outage the store is asked at once: a wait there would keep the view old for longer.
    const waitMs = this.#isLost || this.#freshMs === -Infinity ? 0 : this.#settings.waitMs;
    const reloads = this.#reloads;
    const sentMs = steadyMs();
    const { records, next, end, asOfMs } = await this.#source.read(from, waitMs);
    if (reloads !== this.#reloads) return;
    this.#checkEnd(end);
    this.#took(steadyMs() - sentMs - (records.length > 0 ? 0 : waitMs));
    this.#tell(records);
    this.#next = next;
    if (next >= end) {
      this.#freshMs = Math.max(this.#freshMs, asOfMs);
      this.messages$.next({ kind: 'caught-up' });
    }
  }

  #took(ms: number): void {
    this.#tookMs.push(ms);
    if (this.#tookMs.length > RECENT_READS) this.#tookMs.shift();
  }

  #tell(records: readonly KeyedRecord[]): void {
    for (const rec of records) this.messages$.next({ kind: 'record', rec });
  }

  #lost(err: unknown): void {
    if (this.#isLost || this.#stopping.signal.aborted) return;
    this.#isLost = true;
    const reason = err instanceof Error ? err.message : String(err);
    this.#log.emit('warn', 'log-lost', {
      log: this.#settings.name,
      reason,
      ageMs: ageMs(this.#freshMs),
    });
    this.lost$.next();
  }

  /** The view was known to be complete then; it is again now. */
  #regained(beforeMs: number): void {
    if (!this.#isLost) return;
    this.#isLost = false;
    this.#log.emit('info', 'log-regained', {
      log: this.#settings.name,
      next: this.#next,
      ageMs: ageMs(beforeMs),
    });
  }

  /**
   * How long to pause after a read: until the view is as old as a pause is long. A whole pause after
   * each answer of a slow store lets the view grow so old that the node says it is not ready.
   */
  #restMs(): number {
    const oldMs = steadyMs() - this.#freshMs;
    if (this.#freshMs === -Infinity) return 0;
    return Math.max(Math.min(MIN_GAP_MS, this.#gapMs), this.#gapMs - oldMs);
  }

  async #pause(ms: number): Promise<void> {
    if (ms === 0 || this.#stopping.signal.aborted) return;
    await this.#gap.wait(ms);
  }
}

/** How old a view is, in whole milliseconds; undefined where there is none yet. */
function ageMs(freshMs: number): number | undefined {
  return freshMs === -Infinity ? undefined : Math.round(steadyMs() - freshMs);
}
