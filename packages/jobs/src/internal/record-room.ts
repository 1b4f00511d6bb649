import type { TaskProgress } from '../job-progress.js';
import { escapeText } from './packed-text.js';

/** Bytes that a started task takes in a record beside the name of its worker and its checkpoint. */
const STARTED_BYTES = 8;

/** Bytes by which the entry of a started task may grow without a further start. */
const GROWTH_BYTES = 16;

/**
 * How much of its record a job uses. What a started task adds is reserved before it is bound, with
 * what the entry may grow by until the task has ended. So a job whose tasks do not fit into one record
 * together runs them in parts. Checkpoints are not reserved: a record that lacks the room has none.
 */
export class RecordRoom {
  #usedBytes = 0;

  /** The number of started tasks that have not ended, as of the latest record. */
  #startedCount = 0;

  /** Whether the record lists no started task, so that it will not have more room later. */
  get isEmpty(): boolean {
    return this.#startedCount === 0;
  }

  /** Records the size of the newest record, without checkpoints, and how many tasks it lists as started. */
  written(bytes: number, startedCount: number): void {
    this.#startedCount = startedCount;
    this.#usedBytes = bytes + startedCount * GROWTH_BYTES;
  }

  /** Returns whether the tasks can be bound to these workers within a record of `maxBytes`. */
  holds(bindings: Iterable<readonly [TaskProgress, string]>, maxBytes: number): boolean {
    let bytes = this.#usedBytes;
    for (const [task, worker] of bindings) bytes += addedBytes(task, worker);
    return bytes <= maxBytes;
  }

  /** Reserves the room of a binding that is about to be made. */
  reserve(task: TaskProgress, worker: string): void {
    this.#usedBytes += addedBytes(task, worker);
  }
}

/** Returns how many bytes a binding of the task adds to the record; a task that was started has an entry. */
function addedBytes(task: TaskProgress, worker: string): number {
  const bytes = escapeText(worker).length;
  if (task.phase === 'bound') return STARTED_BYTES + GROWTH_BYTES + bytes;
  if (task.run > 0) return Math.max(0, bytes - escapeText(task.worker).length);
  return STARTED_BYTES + GROWTH_BYTES + bytes;
}
