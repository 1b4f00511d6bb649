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

/** Where the newest state came from; `none` before there is any. */
export type StreamSource = 'none' | 'log' | 'peer';

/** Reads one stream into a fold, from the log and, where that cannot be had, from peers. */
export abstract class StreamTask<
  S extends { readonly offset: number },
  V,
> extends Task<StreamMessage> {
  readonly #follower: StreamFollower;

  readonly #stream: string;

  protected readonly reader: StreamReader<S, V>;

  #source: StreamSource = 'none';

  /** Whether the state is as new as the log or a peer could make it at least once. */
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

  /** False while records are missing: the state is old, and nothing may be decided on it. */
  get complete(): boolean {
    return this.reader.complete;
  }

  /** Where the newest whole snapshot on the stream ended; -1 before the first. */
  get snapshotOffset(): number {
    return this.reader.snapshotOffset;
  }

  /** The state for a snapshot or a peer, or undefined where there is none to rely on. */
  state(): S | undefined {
    return this.reader.state();
  }

  /** Takes over a peer's state where it is newer than this one. */
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

  /** Called for each record that was folded. */
  protected abstract onFolded(verdict: V, offset: number): void;

  /** Called after the state was put in place as a whole. */
  protected abstract onRestored(): void;

  /** Called when all is folded that stood on the log when a read was started. */
  protected onReadToEnd(_startedAt: number): void {}

  protected override async handle(message: StreamMessage): Promise<void> {
    switch (message.type) {
      case 'entry':
        this.#take(message.entry);
        break;
      case 'lost':
        this.#lost(message.lost);
        break;
      case 'adopt':
        this.#adopt(message.state, message.peer);
        break;
      default:
        this.#end(message.startedAt);
    }
  }

  #take(entry: LogEntry): void {
    const wasComplete = this.complete;
    const verdicts = this.reader.take(entry);
    if (!wasComplete && this.complete) {
      this.events.emit('info', 'snapshot-taken', { stream: this.#stream, offset: entry.offset });
      this.onRestored();
    }
    verdicts.forEach((verdict) => this.onFolded(verdict, entry.offset));
  }

  #lost({ from, first }: LostRecords): void {
    if (!this.reader.lost(first)) return;
    this.events.emit('warn', 'records-lost', { code: 403, stream: this.#stream, from, first });
  }

  #adopt(state: unknown, peer: string): void {
    if (!this.reader.adopt(state)) return;
    this.#source = 'peer';
    this.events.emit('info', 'state-from-peer', { stream: this.#stream, peer });
    this.onRestored();
    this.#catchUp();
  }

  #end(startedAt: number): void {
    // A node that has reached the end without a whole state knows nothing it could act on.
    if (!this.complete) return;
    this.#source = 'log';
    this.onReadToEnd(startedAt);
    this.#catchUp();
  }

  #catchUp(): void {
    if (!this.caughtUp$.value) this.caughtUp$.next(true);
  }
}
