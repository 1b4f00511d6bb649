import type { TaskProgress } from '../job-progress.js';
import { escapeText } from './packed-text.js';

/** Bytes that a started task takes in a record beside the name of its worker and its checkpoint. */
const STARTED_BYTES = 8;

/** Bytes by which the entry of a started task may grow without a further start. */
const GROWTH_BYTES = 16;

/**
 * How much of its record a job uses. What a task adds to it is reserved before the task is bound for the
 * first time, with what its entry may grow by until the task has ended. So a job whose tasks do not fit
 * into one record together runs them in parts. A task that was started has its entry, and may use what
 * is reserved for growth when it is bound again. Checkpoints are not reserved: a record that lacks the
 * room has none.
 */
export class RecordRoom {
  /** The size of the record without checkpoints, with the bindings since it was written. */
  #bytes = 0;

  /** The number of started tasks that have not ended, as of the latest record. */
  #startedCount = 0;

  /** Whether the record lists no started task, so that it will not have more room later. */
  get isEmpty(): boolean {
    return this.#startedCount === 0;
  }

  /** Records the size of the newest record, without checkpoints, and how many tasks it lists as started. */
  written(bytes: number, startedCount: number): void {
    this.#bytes = bytes;
    this.#startedCount = startedCount;
  }

  /** Returns whether the tasks can be bound to these workers within a record of `maxBytes`. */
  holds(bindings: Iterable<readonly [TaskProgress, string]>, maxBytes: number): boolean {
    let bytes = this.#bytes;
    let hasNewEntry = false;
    for (const [task, worker] of bindings) {
      bytes += addedBytes(task, worker);
      hasNewEntry ||= addsEntry(task);
    }
    const growthBytes = hasNewEntry ? this.#startedCount * GROWTH_BYTES : 0;
    return bytes + growthBytes <= maxBytes;
  }

  /** Reserves the room of a binding that is about to be made. */
  reserve(task: TaskProgress, worker: string): void {
    this.#bytes += addedBytes(task, worker);
  }
}

/** Whether a binding adds an entry: of a task that was never started, or of a second run. */
function addsEntry({ phase, run }: TaskProgress): boolean {
  return phase === 'bound' || run === 0;
}

/** Returns how many bytes a binding of the task adds to the record. */
function addedBytes(task: TaskProgress, worker: string): number {
  const bytes = escapeText(worker).length;
  if (addsEntry(task)) return STARTED_BYTES + GROWTH_BYTES + bytes;
  return Math.max(0, bytes - escapeText(task.worker).length);
}
