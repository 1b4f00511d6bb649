import type { Subscription } from 'rxjs';
import { Subject, concatMap, from, lastValueFrom, share, takeUntil } from 'rxjs';
import type { EventLog } from './event-log.js';

/**
 * A unit of concurrency: it owns its sockets and state, and other units send it messages instead of
 * changing its state. Messages are handled one after another.
 *
 * Lifecycle: construct, `start`, any number of `post`, `stop`.
 */
export abstract class Task<M> {
  readonly #inbox = new Subject<M>();

  readonly #name: string;

  protected readonly events: EventLog;

  readonly #finishing = new Subject<void>();

  #subscription: Subscription | undefined;

  #handled: Promise<unknown> = Promise.resolve();

  constructor(name: string, events: EventLog) {
    this.#name = name;
    this.events = events;
  }

  start(): void {
    const handled$ = this.#inbox.pipe(
      takeUntil(this.#finishing),
      concatMap((message) => from(this.#handleSafely(message))),
      share(),
    );
    this.#handled = lastValueFrom(handled$, { defaultValue: undefined });
    this.#subscription = handled$.subscribe();
  }

  /** Adds a message to the inbox; it is handled after those posted before it. */
  post(message: M): void {
    this.#inbox.next(message);
  }

  /** Accepts no more messages, and resolves once all accepted messages are handled. */
  async finish(): Promise<void> {
    this.#finishing.next();
    await this.#handled;
  }

  stop(): void {
    this.#subscription?.unsubscribe();
  }

  protected abstract handle(message: M): Promise<void>;

  /** Handles a message and logs its failure, so that a failed message does not stop the task. */
  async #handleSafely(message: M): Promise<void> {
    try {
      await this.handle(message);
    } catch (err) {
      const reason = err instanceof Error ? err.message : String(err);
      this.events.emit('error', 'task-failed', { task: this.#name, reason });
    }
  }
}
