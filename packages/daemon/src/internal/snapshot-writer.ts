import { randomUUID } from 'node:crypto';
import type { PlatformLog } from '@redwingcrank/ports';
import { splitSnapshot } from '@redwingcrank/decisions';
import type { EventLog } from './event-log.js';
import { sleep } from './sleep.js';

/** The stream as its reader knows it. */
export interface SnapshotSource {
  /** The whole state, or undefined where records are missing. */
  state(): { readonly offset: number } | undefined;
  /** Where the newest whole snapshot on the stream ended; -1 before the first. */
  readonly snapshotOffset: number;
  /** When the newest read that came to the end was started, in `performance.now()`. */
  readonly lastReadStartedAt: number;
}

export interface SnapshotWriterOptions {
  readonly log: PlatformLog;
  readonly events: EventLog;
  readonly stream: string;
  readonly source: SnapshotSource;
  /** How long the log keeps a record, in milliseconds. */
  readonly retentionMs: number;
  /** Whether this node is one that writes at present. */
  readonly mayWrite: () => boolean;
  /** Draws from 0 up to 1. */
  readonly random: () => number;
}

/** A snapshot is due after a quarter of the retention: three writes may fail before it expires. */
const INTERVAL_SHARE = 1 / 4;

/** Spreads the writers, so that one writes and the others see it before their own turn. */
const JITTER_SHARE = 1 / 8;

const LOOKS_PER_RETENTION = 40;

/**
 * Writes the state of a stream to the stream again before its records expire. A writer that dies
 * half-way leaves a snapshot that no reader takes, and another one writes the next.
 */
export class SnapshotWriter {
  readonly #options: SnapshotWriterOptions;

  #stopped = false;

  #seenOffset = -1;

  #dueAt: number;

  constructor(options: SnapshotWriterOptions) {
    this.#options = options;
    this.#dueAt = performance.now() + this.#jitterMs();
  }

  async start(): Promise<void> {
    while (!this.#stopped) {
      await sleep(this.#options.retentionMs / LOOKS_PER_RETENTION);
      if (!this.#stopped && this.#due()) await this.#write();
    }
  }

  stop(): void {
    this.#stopped = true;
  }

  #due(): boolean {
    const { source, mayWrite, retentionMs } = this.#options;
    const now = performance.now();
    if (source.snapshotOffset !== this.#seenOffset) {
      this.#seenOffset = source.snapshotOffset;
      this.#postpone();
    }
    // A node that has not read for long would write a state behind records that have expired: no
    // reader could start from it, and it would keep the others from writing a good one.
    const fresh = now - source.lastReadStartedAt < retentionMs * INTERVAL_SHARE;
    return fresh && now >= this.#dueAt && mayWrite();
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
      this.#postpone();
      events.emit('info', 'snapshot-written', { stream, upTo: state.offset, parts });
    } catch (err) {
      const reason = err instanceof Error ? err.message : String(err);
      events.emit('warn', 'snapshot-failed', { stream, reason });
    }
  }

  #postpone(): void {
    const intervalMs = this.#options.retentionMs * INTERVAL_SHARE;
    this.#dueAt = performance.now() + intervalMs + this.#jitterMs();
  }

  #jitterMs(): number {
    return this.#options.random() * this.#options.retentionMs * JITTER_SHARE;
  }
}
