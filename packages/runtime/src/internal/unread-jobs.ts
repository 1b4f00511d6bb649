import { unstartedTasksOf } from '@redwingcrank/jobs';
import type { KeyedLog, KeyedRecord } from '../keyed-log.js';
import { decodeJob } from './job-record.js';
import { parseKey } from './work-records.js';
import type { UnstartedJob } from './work-table.js';

interface UnreadJob extends UnstartedJob {
  /** The offset of its newest record. */
  readonly offset: number;
}

/**
 * The jobs in the callers' log that this node's view does not contain yet. The view is up to a second
 * old, in which all nodes together may accept more jobs than a slow leader starts in ten.
 */
export class UnreadJobs {
  readonly #target: KeyedLog;

  /** By id. */
  readonly #jobs = new Map<string, UnreadJob>();

  /** The offset of the log up to which it was read here. */
  #next = 0;

  constructor(target: KeyedLog) {
    this.#target = target;
  }

  /** Yields how many tasks of the jobs from this offset on the leader has yet to start. */
  *unstarted(viewNext: number): Generator<UnstartedJob> {
    for (const [id, job] of this.#jobs) {
      if (job.offset < viewNext) this.#jobs.delete(id);
      else yield job;
    }
  }

  /**
   * Reads to the end of the log from the offset up to which the view is complete, and returns that
   * end.
   *
   * @throws StoreUnavailableError, RecordsExpiredError
   */
  async read(viewNext: number): Promise<number> {
    let from = Math.max(this.#next, viewNext);
    for (;;) {
      const { records, next, end } = await this.#target.read(from, 0);
      for (const [i, rec] of records.entries()) this.#apply(rec, from + i);
      this.#next = Math.max(this.#next, next);
      if (next >= end || next === from) return next;
      from = next;
    }
  }

  #apply({ key, value }: KeyedRecord, offset: number): void {
    const { kind, id = '' } = parseKey(key) ?? {};
    if (kind !== 'job') return;
    const decoded = value === undefined ? undefined : decodeJob(id, value);
    const spec = decoded && 'value' in decoded ? decoded.value : undefined;
    const unstarted = spec ? unstartedTasksOf(spec) : { unstartedTasks: 0, readyTasks: 0 };
    this.#jobs.set(id, { offset, queue: spec?.queue ?? '', ...unstarted });
  }
}
