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

/**
 * Appends records of callers' requests, batching those that arrive while an append is in flight:
 * the store processes the appends of a partition one after another, so many small ones would queue.
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
      const batch = [...this.#waiting].slice(0, MAX_BATCH);
      for (const waiting of batch) this.#waiting.delete(waiting);
      const result = await this.#target.append(batch.map(({ rec }) => rec));
      for (const { settle } of batch) settle(result);
    }
    this.#isBusy = false;
  }
}
