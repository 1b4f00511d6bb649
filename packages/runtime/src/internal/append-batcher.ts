import type { AppendResult, KeyedLog, KeyedWrite } from '../keyed-log.js';

interface Waiting {
  readonly rec: KeyedWrite;
  readonly settle: (result: AppendResult) => void;
}

/** Records in one append at most: more would hold up the first of them. */
const MAX_BATCH = 200;

/**
 * Appends records of callers' requests, several at a time while an append is under way: the store
 * takes one append of a partition after another, so many small ones would queue.
 */
export class AppendBatcher {
  readonly #target: KeyedLog;

  #waiting: Waiting[] = [];

  #isBusy = false;

  constructor(target: KeyedLog) {
    this.#target = target;
  }

  append(rec: KeyedWrite): Promise<AppendResult> {
    return new Promise((resolve) => {
      this.#waiting.push({ rec, settle: resolve });
      if (!this.#isBusy) this.#drain();
    });
  }

  async #drain(): Promise<void> {
    this.#isBusy = true;
    while (this.#waiting.length > 0) {
      const batch = this.#waiting.splice(0, MAX_BATCH);
      const result = await this.#target.append(batch.map(({ rec }) => rec));
      for (const { settle } of batch) settle(result);
    }
    this.#isBusy = false;
  }
}
