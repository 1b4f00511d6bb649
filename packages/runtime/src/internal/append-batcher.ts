import type { AppendResult, KeyedLog, KeyedWrite } from '../keyed-log.js';

interface Waiting {
  readonly rec: KeyedWrite;
  readonly settle: (result: AppendResult) => void;
}

/** A record that was handed in to be appended. */
export interface BatchedAppend {
  readonly result: Promise<AppendResult>;
  /** Takes the record back; false where it has been sent, or was taken back before. */
  withdraw(): boolean;
}

/** Records in one append at most: more would hold up the first of them. */
const MAX_BATCH = 200;

/**
 * Appends records of callers' requests, several at a time while an append is under way: the store
 * takes one append of a partition after another, so many small ones would queue.
 */
export class AppendBatcher {
  readonly #target: KeyedLog;

  readonly #waiting = new Set<Waiting>();

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
