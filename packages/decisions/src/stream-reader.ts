import type { z } from 'zod';
import type { LogEntry } from '@redwingcrank/protocol';
import { snapshotPartSchema } from '@redwingcrank/protocol';
import type { CompleteSnapshot } from './snapshot-parts.js';
import { SnapshotCollector } from './snapshot-parts.js';
import type { StreamFold } from './stream-fold.js';

/**
 * Reads one stream into a fold, even if the log no longer contains the start of the stream.
 *
 * Invariant: while `complete`, the fold is in the state that results from folding every record of
 * the stream up to its offset. After a gap, nothing is folded until there is a state of a known
 * offset (a snapshot in the log, or the state of a peer) and every record after that offset. A
 * record that was folded on top of an older state could take effect on this node and on no other.
 */
export class StreamReader<S extends { readonly offset: number }, V> {
  readonly #fold: StreamFold<S, V>;

  readonly #schema: z.ZodType<S>;

  readonly #collector = new SnapshotCollector();

  /** The records read since a gap; undefined if there is no gap. */
  #pending: LogEntry[] | undefined;

  #pendingFrom = 0;

  #snapshotOffset = -1;

  constructor(fold: StreamFold<S, V>, schema: z.ZodType<S>) {
    this.#fold = fold;
    this.#schema = schema;
  }

  /** Whether the fold includes all records up to its offset; otherwise no decisions are made. */
  get complete(): boolean {
    return this.#pending === undefined;
  }

  /** The offset of the last part of the newest complete snapshot; -1 before the first. */
  get snapshotOffset(): number {
    return this.#snapshotOffset;
  }

  /** Returns the state for a snapshot or a peer; undefined if it is incomplete or empty. */
  state(): S | undefined {
    return this.complete && this.#fold.offset >= 0 ? this.#fold.toSnapshot() : undefined;
  }

  /**
   * Handles the expiry of the records before `first`.
   *
   * @returns Whether this reader has not read all of them.
   */
  lost(first: number): boolean {
    if (this.complete && first <= this.#fold.offset + 1) return false;
    this.#pending = [];
    this.#pendingFrom = first;
    return true;
  }

  /**
   * Handles the next record of the stream.
   *
   * @returns The result of each record that was folded.
   */
  take(entry: LogEntry): V[] {
    const snapshot = this.#collect(entry);
    if (!this.#pending) return this.#foldEntry(entry);
    this.#pending.push(entry);
    return snapshot ? this.#recover(snapshot) : [];
  }

  /**
   * Adopts the state of another reader.
   *
   * @returns Whether it was adopted; not if it is older, or if records after it are missing.
   */
  adopt(input: unknown): boolean {
    const reading = this.#schema.safeParse(input);
    if (!reading.success) return false;
    if (this.complete && reading.data.offset <= this.#fold.offset) return false;
    return this.#restore(reading.data) !== undefined;
  }

  #collect({ offset, value }: LogEntry): CompleteSnapshot | undefined {
    const part = snapshotPartSchema.safeParse(value);
    const complete = part.success ? this.#collector.take(part.data) : undefined;
    if (complete) this.#snapshotOffset = offset;
    return complete;
  }

  #foldEntry({ offset, value }: LogEntry): V[] {
    // An adopted state already includes the records up to its offset.
    if (offset <= this.#fold.offset) return [];
    if (!snapshotPartSchema.safeParse(value).success) return [this.#fold.apply(offset, value)];
    this.#fold.skip(offset);
    return [];
  }

  #recover({ upTo, text }: CompleteSnapshot): V[] {
    const reading = this.#schema.safeParse(parseJson(text));
    if (!reading.success || reading.data.offset !== upTo) return [];
    return this.#restore(reading.data) ?? [];
  }

  #restore(state: S): V[] | undefined {
    // A record between the state and the oldest pending record may have changed what is in force.
    if (this.#pending && state.offset < this.#pendingFrom - 1) return undefined;
    if (!this.#fold.mayRestore(state)) return undefined;
    this.#fold.restore(state);
    const pending = this.#pending ?? [];
    this.#pending = undefined;
    return pending.flatMap((entry) => this.#foldEntry(entry));
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
