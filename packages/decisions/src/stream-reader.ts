import type { z } from 'zod';
import type { LogEntry } from '@redwingcrank/protocol';
import { snapshotPartSchema } from '@redwingcrank/protocol';
import type { CompleteSnapshot } from './snapshot-parts.js';
import { SnapshotCollector } from './snapshot-parts.js';
import type { StreamFold } from './stream-fold.js';

/**
 * Reads one stream into a fold, also where the log no longer has the stream's beginning.
 *
 * Invariant: while `complete`, the fold is in the state that reading every record of the stream
 * up to its offset gives. After a gap nothing is folded until a state of a known offset is there
 * (a snapshot on the log, or a peer's state) and every record after that offset is at hand. A
 * record that was folded on top of an older state could come into force here and nowhere else.
 */
export class StreamReader<S extends { readonly offset: number }, V> {
  readonly #fold: StreamFold<S, V>;

  readonly #schema: z.ZodType<S>;

  readonly #collector = new SnapshotCollector();

  /** The records read since a gap; undefined while nothing is missing. */
  #held: LogEntry[] | undefined;

  #heldFrom = 0;

  #snapshotOffset = -1;

  constructor(fold: StreamFold<S, V>, schema: z.ZodType<S>) {
    this.#fold = fold;
    this.#schema = schema;
  }

  /** Whether the fold lacks nothing of what was read. No decision is made while it does. */
  get complete(): boolean {
    return this.#held === undefined;
  }

  /** Where the newest whole snapshot ended; -1 before the first. */
  get snapshotOffset(): number {
    return this.#snapshotOffset;
  }

  /** The state for a snapshot or a peer; undefined while something is missing or nothing is there. */
  state(): S | undefined {
    return this.complete && this.#fold.offset >= 0 ? this.#fold.toSnapshot() : undefined;
  }

  /**
   * Takes note that the records before `first` have expired.
   *
   * @returns Whether any of them is missing here.
   */
  lost(first: number): boolean {
    if (this.complete && first <= this.#fold.offset + 1) return false;
    this.#held = [];
    this.#heldFrom = first;
    return true;
  }

  /**
   * Takes the next record of the stream.
   *
   * @returns What became of each record that was folded.
   */
  take(entry: LogEntry): V[] {
    const snapshot = this.#collect(entry);
    if (!this.#held) return this.#foldIn(entry);
    this.#held.push(entry);
    return snapshot ? this.#recover(snapshot) : [];
  }

  /**
   * Takes over a state that another reader reached.
   *
   * @returns Whether it was taken; not where it is older, or where records after it are missing.
   */
  adopt(input: unknown): boolean {
    const reading = this.#schema.safeParse(input);
    if (!reading.success) return false;
    if (this.complete && reading.data.offset <= this.#fold.offset) return false;
    return this.#restore(reading.data) !== undefined;
  }

  #collect({ offset, value }: LogEntry): CompleteSnapshot | undefined {
    const part = snapshotPartSchema.safeParse(value);
    const whole = part.success ? this.#collector.take(part.data) : undefined;
    if (whole) this.#snapshotOffset = offset;
    return whole;
  }

  #foldIn({ offset, value }: LogEntry): V[] {
    // A state that was taken over already holds the records up to its offset.
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
    // A record between the state and the oldest one held may have changed what is in force.
    if (this.#held && state.offset < this.#heldFrom - 1) return undefined;
    if (!this.#fold.mayRestore(state)) return undefined;
    this.#fold.restore(state);
    const later = this.#held ?? [];
    this.#held = undefined;
    return later.flatMap((entry) => this.#foldIn(entry));
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
