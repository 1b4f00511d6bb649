import type { WorkerClient } from '@redwingcrank/ports';
import type { Colocation, ControlFold, TaskState } from '@redwingcrank/decisions';
import type { EventLog } from './event-log.js';

export interface ThrottlerOptions {
  readonly fold: ControlFold;
  readonly colocation: Pick<Colocation, 'shareOf'>;
  readonly workers: Pick<WorkerClient, 'throttle'>;
  readonly events: Pick<EventLog, 'emit'>;
}

const SWEEP_MS = 1_000;

/** A new holder does not know what the last one throttled; it finds out in bounded steps. */
const CALLS_PER_SWEEP = 50;

/**
 * Holds batch tasks to the shares that were decided. A holder says each share once, also the full
 * one: what the holder before it had throttled would otherwise stay so for good.
 */
export class Throttler {
  readonly #options: ThrottlerOptions;

  #told = new Map<string, number>();

  #sweptAt = -Infinity;

  constructor(options: ThrottlerOptions) {
    this.#options = options;
  }

  /** Tells workers of shares that changed; for the holder only. */
  sweep(now: number): void {
    if (now - this.#sweptAt < SWEEP_MS) return;
    this.#sweptAt = now;
    const told = new Map<string, number>();
    let calls = 0;
    for (const task of this.#options.fold.tasks.values()) {
      if (task.kind === 'job' && task.state === 'running') {
        const key = `${task.taskId}#${task.attempt}`;
        const share = this.#options.colocation.shareOf(task);
        const known = this.#told.get(key);
        if (known !== undefined) told.set(key, known);
        if (known !== share && calls < CALLS_PER_SWEEP) {
          calls += 1;
          told.set(key, share);
          this.#tell(task, key, share);
        }
      }
    }
    this.#told = told;
  }

  /** Another node holds the data centre now: what workers were told is no longer known here. */
  forget(): void {
    this.#told.clear();
  }

  async #tell(task: TaskState, key: string, share: number): Promise<void> {
    const { taskId, attempt, hostId } = task;
    const { fold, workers, events } = this.#options;
    const address = fold.hosts.get(hostId)?.address;
    if (address === undefined) return;
    try {
      await workers.throttle(address, { taskId, attempt, share });
      if (share < 1) events.emit('info', 'attempt-throttled', { task: taskId, attempt, share });
    } catch {
      // The call may have taken effect or not; it is idempotent, so the next sweep repeats it.
      this.#told.delete(key);
    }
  }
}
