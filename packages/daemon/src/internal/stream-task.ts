import { BehaviorSubject } from 'rxjs';
import type { LogEntry } from '@redwingcrank/protocol';
import type { PlatformLog } from '@redwingcrank/ports';
import type { StreamReader } from '@redwingcrank/decisions';
import type { EventLog } from './event-log.js';
import type { LostRecords } from './stream-follower.js';
import { StreamFollower } from './stream-follower.js';
import { Task } from './task.js';

export type StreamMessage =
  | { readonly type: 'entry'; readonly entry: LogEntry }
  | { readonly type: 'lost'; readonly lost: LostRecords }
  | { readonly type: 'end'; readonly startedAt: number }
  | { readonly type: 'adopt'; readonly state: unknown; readonly peer: string };

/** The origin of the newest state; `none` before the first. */
export type StreamSource = 'none' | 'log' | 'peer';

/** Reads one stream into a fold, from the log or, if the log cannot provide it, from peers. */
export abstract class StreamTask<
  S extends { readonly offset: number },
  V,
> extends Task<StreamMessage> {
  readonly #follower: StreamFollower;

  readonly #stream: string;

  protected readonly reader: StreamReader<S, V>;

  #source: StreamSource = 'none';

  /** Whether the state has caught up with the log or a peer at least once. */
  readonly caughtUp$ = new BehaviorSubject(false);

  constructor(log: PlatformLog, stream: string, reader: StreamReader<S, V>, events: EventLog) {
    super(stream, events);
    this.#stream = stream;
    this.#follower = new StreamFollower(log, stream);
    this.reader = reader;
  }

  /** See {@link StreamFollower.lastReadStartedAt}. */
  get lastReadStartedAt(): number {
    return this.#follower.lastReadStartedAt;
  }

  get source(): StreamSource {
    return this.#source;
  }

  /** False while records are missing: the state is outdated, and no decision may be based on it. */
  get complete(): boolean {
    return this.reader.complete;
  }

  /** The offset where the newest complete snapshot in the stream ended; -1 before the first. */
  get snapshotOffset(): number {
    return this.reader.snapshotOffset;
  }

  /** Returns the state for a snapshot or a peer, or undefined while it is incomplete. */
  state(): S | undefined {
    return this.reader.state();
  }

  /** Adopts a peer's state if it is newer than this one. */
  adopt(state: unknown, peer: string): void {
    this.post({ type: 'adopt', state, peer });
  }

  override start(): void {
    super.start();
    this.#follower.entries$.subscribe((entry) => this.post({ type: 'entry', entry }));
    this.#follower.lost$.subscribe((lost) => this.post({ type: 'lost', lost }));
    this.#follower.reachedEnd$.subscribe((reached) => {
      if (reached) this.post({ type: 'end', startedAt: this.#follower.lastReadStartedAt });
    });
    this.#follower.run();
  }

  override stop(): void {
    this.#follower.stop();
    super.stop();
  }

  /** Called for each folded record. */
  protected abstract onFolded(verdict: V, offset: number): void;

  /** Called after the complete state was replaced. */
  protected abstract onRestored(): void;

  /** Called when all records are folded that were in the log when the read was started. */
  protected onReadToEnd(_startedAt: number): void {}

  protected override async handle(message: StreamMessage): Promise<void> {
    switch (message.type) {
      case 'entry':
        this.#foldEntry(message.entry);
        break;
      case 'lost':
        this.#reportLost(message.lost);
        break;
      case 'adopt':
        this.#adopt(message.state, message.peer);
        break;
      default:
        this.#reachEnd(message.startedAt);
    }
  }

  #foldEntry(entry: LogEntry): void {
    const wasComplete = this.complete;
    const verdicts = this.reader.take(entry);
    if (!wasComplete && this.complete) {
      this.events.emit('info', 'snapshot-taken', { stream: this.#stream, offset: entry.offset });
      this.onRestored();
    }
    verdicts.forEach((verdict) => this.onFolded(verdict, entry.offset));
  }

  #reportLost({ from, first }: LostRecords): void {
    if (!this.reader.lost(first)) return;
    this.events.emit('warn', 'records-lost', { code: 403, stream: this.#stream, from, first });
  }

  #adopt(state: unknown, peer: string): void {
    if (!this.reader.adopt(state)) return;
    this.#source = 'peer';
    this.events.emit('info', 'state-from-peer', { stream: this.#stream, peer });
    this.onRestored();
    this.#markCaughtUp();
  }

  #reachEnd(startedAt: number): void {
    // A node that has reached the end without a complete state must not act on it.
    if (!this.complete) return;
    this.#source = 'log';
    this.onReadToEnd(startedAt);
    this.#markCaughtUp();
  }

  #markCaughtUp(): void {
    if (!this.caughtUp$.value) this.caughtUp$.next(true);
  }
}
