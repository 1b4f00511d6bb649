import type { AppendResult, KeyedLog, KeyedWrite } from '../keyed-log.js';

interface QueuedAppend {
  readonly rec: KeyedWrite;
  readonly settle: (result: AppendResult) => void;
}

/** A record that was queued to be appended. */
export interface BatchedAppend {
  readonly result: Promise<AppendResult>;
  /** Withdraws the record; returns false if it has been sent or was withdrawn before. */
  withdraw(): boolean;
}

/**
 * Maximum number of records in one append: larger batches would delay the first of their records.
 */
const MAX_BATCH = 200;

/** Maximum size of the records in one append, in bytes, well below the limit of the store. */
const MAX_BATCH_BYTES = 1024 * 1024;

/**
 * Appends records of callers' requests, batching those that arrive while an append is in flight:
 * the store processes the appends of a partition one after another, so many small ones would queue.
 * If the store rejects a batch, its records are appended in smaller ones: each belongs to a caller of
 * its own.
 */
export class AppendBatcher {
  readonly #target: KeyedLog;

  readonly #waiting = new Set<QueuedAppend>();

  #isBusy = false;

  constructor(target: KeyedLog) {
    this.#target = target;
  }

  append(rec: KeyedWrite): BatchedAppend {
    let settle: (result: AppendResult) => void = () => {};
    const result = new Promise<AppendResult>((resolve) => {
      settle = resolve;
    });
    const waiting = { rec, settle };
    this.#waiting.add(waiting);
    if (!this.#isBusy) this.#drain();
    return { result, withdraw: () => this.#waiting.delete(waiting) };
  }

  async #drain(): Promise<void> {
    this.#isBusy = true;
    while (this.#waiting.size > 0) {
      const batch = this.#nextBatch();
      for (const waiting of batch) this.#waiting.delete(waiting);
      await this.#send(batch);
    }
    this.#isBusy = false;
  }

  /** Returns the records of the next append, at least one. */
  #nextBatch(): QueuedAppend[] {
    const batch: QueuedAppend[] = [];
    let bytes = 0;
    for (const waiting of this.#waiting) {
      const { key, value = '' } = waiting.rec;
      bytes += Buffer.byteLength(key) + Buffer.byteLength(value);
      if (batch.length === MAX_BATCH || (batch.length > 0 && bytes > MAX_BATCH_BYTES)) break;
      batch.push(waiting);
    }
    return batch;
  }

  async #send(batch: readonly QueuedAppend[]): Promise<void> {
    const result = await this.#target.append(batch.map(({ rec }) => rec));
    if (result.outcome === 'rejected' && batch.length > 1) {
      const middle = Math.ceil(batch.length / 2);
      await this.#send(batch.slice(0, middle));
      await this.#send(batch.slice(middle));
      return;
    }
    for (const { settle } of batch) settle(result);
  }
}
