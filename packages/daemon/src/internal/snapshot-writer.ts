import { randomUUID } from 'node:crypto';
import type { PlatformLog } from '@redwingcrank/ports';
import { splitSnapshot } from '@redwingcrank/decisions';
import type { EventLog } from './event-log.js';
import { sleep } from './sleep.js';

/** The state of a stream, as its reader has folded it. */
export interface SnapshotSource {
  /** Returns the complete state, or undefined while records are missing. */
  state(): { readonly offset: number } | undefined;
  /** The offset where the newest complete snapshot in the stream ended; -1 before the first. */
  readonly snapshotOffset: number;
  /** Start time of the newest read that reached the end, in ms of `performance.now()`. */
  readonly lastReadStartedAt: number;
}

export interface SnapshotWriterOptions {
  readonly log: PlatformLog;
  readonly events: EventLog;
  readonly stream: string;
  readonly source: SnapshotSource;
  /** How long the log keeps a record, in milliseconds. */
  readonly retentionMs: number;
  /** Returns whether this node may write snapshots at present. */
  readonly mayWrite: () => boolean;
  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  readonly random: () => number;
}

/** A snapshot is due after a quarter of the retention: three writes may fail before it expires. */
const INTERVAL_SHARE = 1 / 4;

/** Jitter, so that one writer writes and the others see its snapshot before they are due. */
const JITTER_SHARE = 1 / 8;

const CHECKS_PER_RETENTION = 40;

/**
 * Writes snapshots of a stream's state to the stream itself, before its records expire. If a writer
 * dies half-way, readers ignore its incomplete snapshot, and another node writes the next one.
 */
export class SnapshotWriter {
  readonly #options: SnapshotWriterOptions;

  #stopped = false;

  #lastSnapshotOffset = -1;

  #dueAt: number;

  constructor(options: SnapshotWriterOptions) {
    this.#options = options;
    this.#dueAt = performance.now() + this.#jitterMs();
  }

  async start(): Promise<void> {
    while (!this.#stopped) {
      await sleep(this.#options.retentionMs / CHECKS_PER_RETENTION);
      if (!this.#stopped && this.#isDue()) await this.#write();
    }
  }

  stop(): void {
    this.#stopped = true;
  }

  #isDue(): boolean {
    const { source, mayWrite, retentionMs } = this.#options;
    const now = performance.now();
    if (source.snapshotOffset !== this.#lastSnapshotOffset) {
      this.#lastSnapshotOffset = source.snapshotOffset;
      this.#scheduleNext();
    }
    // A node that has not read for long would write a state that is older than the oldest kept
    // record: no reader could start from it, and other nodes would postpone their own snapshots.
    const upToDate = now - source.lastReadStartedAt < retentionMs * INTERVAL_SHARE;
    return upToDate && now >= this.#dueAt && mayWrite();
  }

  async #write(): Promise<void> {
    const { log, events, stream, source } = this.#options;
    const state = source.state();
    if (!state) return;
    try {
      let parts = 0;
      for (const part of splitSnapshot(randomUUID(), state)) {
        await log.append(stream, part);
        parts += 1;
      }
      this.#scheduleNext();
      events.emit('info', 'snapshot-written', { stream, upTo: state.offset, parts });
    } catch (err) {
      const reason = err instanceof Error ? err.message : String(err);
      events.emit('warn', 'snapshot-failed', { stream, reason });
    }
  }

  #scheduleNext(): void {
    const intervalMs = this.#options.retentionMs * INTERVAL_SHARE;
    this.#dueAt = performance.now() + intervalMs + this.#jitterMs();
  }

  #jitterMs(): number {
    return this.#options.random() * this.#options.retentionMs * JITTER_SHARE;
  }
}
