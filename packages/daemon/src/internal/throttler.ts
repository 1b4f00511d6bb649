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

/** Limits the burst of a new holder, which does not know the shares and sends all of them. */
const CALLS_PER_SWEEP = 50;

/**
 * Throttles batch tasks to the shares that the policy decided. A holder sends each share once,
 * including the full share; otherwise tasks that the previous holder throttled would stay so.
 */
export class Throttler {
  readonly #options: ThrottlerOptions;

  #sentShares = new Map<string, number>();

  #sweptAt = -Infinity;

  constructor(options: ThrottlerOptions) {
    this.#options = options;
  }

  /** Sends changed shares to workers. Only the holder may call this. */
  sweep(now: number): void {
    if (now - this.#sweptAt < SWEEP_MS) return;
    this.#sweptAt = now;
    const sentShares = new Map<string, number>();
    let calls = 0;
    for (const task of this.#options.fold.tasks.values()) {
      if (task.kind === 'job' && task.state === 'running') {
        const key = `${task.taskId}#${task.attempt}`;
        const share = this.#options.colocation.shareOf(task);
        const known = this.#sentShares.get(key);
        if (known !== undefined) sentShares.set(key, known);
        if (known !== share && calls < CALLS_PER_SWEEP) {
          calls += 1;
          sentShares.set(key, share);
          this.#send(task, key, share);
        }
      }
    }
    this.#sentShares = sentShares;
  }

  /** Forgets the sent shares, since another node holds the data centre and may change them. */
  forget(): void {
    this.#sentShares.clear();
  }

  async #send(task: TaskState, key: string, share: number): Promise<void> {
    const { taskId, attempt, hostId } = task;
    const { fold, workers, events } = this.#options;
    const address = fold.hosts.get(hostId)?.address;
    if (address === undefined) return;
    try {
      await workers.throttle(address, { taskId, attempt, share });
      if (share < 1) events.emit('info', 'attempt-throttled', { task: taskId, attempt, share });
    } catch {
      // The call may have taken effect; it is idempotent, so the next sweep repeats it.
      this.#sentShares.delete(key);
    }
  }
}
