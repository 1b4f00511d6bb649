import type { InterferenceWeights } from '@redwingcrank/jobs';
import { isFinal } from '@redwingcrank/jobs';
import type { KeyedLog, KeyedWrite } from '../keyed-log.js';
import { steadyMs } from './delay.js';
import { cancelKey, encodeLearned, jobKey, learnedKey, progressKey } from './work-records.js';
import type { WorkTable } from './work-table.js';

/**
 * The records of a job are deleted this long after its final state need no longer be kept, in
 * milliseconds.
 */
const DELETE_DELAY_MS = 30_000;

/** Interval of scans for jobs to delete, in milliseconds. */
const DELETE_INTERVAL_MS = 5_000;

/** Maximum number of jobs deleted in one append, some tens of kilobytes. */
const MAX_DELETED = 500;

/**
 * Interval of storing what was learned about images, in milliseconds; it changes over many seconds.
 */
const LEARNED_INTERVAL_MS = 3_000;

/** Produces the periodic writes of the leader apart from its decisions. */
export class Housekeeping {
  readonly #table: WorkTable;

  readonly #jobLog: KeyedLog;

  readonly #keepStateMs: number;

  readonly #maxRecordBytes: number;

  #isDeletingJobs = false;

  #nextLearnedMs = steadyMs() + LEARNED_INTERVAL_MS;

  #nextDeletionMs = steadyMs() + DELETE_INTERVAL_MS;

  /**
   * `keepStateMs`: how long the final state of a job must be kept; `maxRecordBytes`: the maximum size of
   * the value of a record.
   */
  constructor(table: WorkTable, jobLog: KeyedLog, keepStateMs: number, maxRecordBytes: number) {
    this.#maxRecordBytes = maxRecordBytes;
    this.#table = table;
    this.#jobLog = jobLog;
    this.#keepStateMs = keepStateMs;
  }

  /** Returns the record of what was learned about images when it is due. */
  learnedWrites(weights: InterferenceWeights): KeyedWrite[] {
    if (steadyMs() < this.#nextLearnedMs) return [];
    this.#nextLearnedMs = steadyMs() + LEARNED_INTERVAL_MS;
    return [{ key: learnedKey(), value: encodeLearned(weights, this.#maxRecordBytes) }];
  }

  /**
   * Returns deletions of the progress of deleted jobs, and starts to delete jobs whose state need
   * no longer be kept. The job itself, in the callers' log, is deleted first: if its progress were
   * deleted before it, the job would look new and would run again.
   */
  progressDeletions(): KeyedWrite[] {
    if (steadyMs() < this.#nextDeletionMs) return [];
    this.#nextDeletionMs = steadyMs() + DELETE_INTERVAL_MS;
    this.#deleteJobs();
    return [...this.#table.orphanedProgress].map((id) => ({
      key: progressKey(id),
      value: undefined,
    }));
  }

  /**
   * Rounds do not wait for this append. Jobs that the store does not delete now are deleted in a
   * later scan.
   */
  async #deleteJobs(): Promise<void> {
    const writes = [...this.#expiredJobs()].slice(0, MAX_DELETED).flatMap((id) => [
      { key: cancelKey(id), value: undefined },
      { key: jobKey(id), value: undefined },
    ]);
    if (this.#isDeletingJobs || writes.length === 0) return;
    this.#isDeletingJobs = true;
    await this.#jobLog.append(writes);
    this.#isDeletingJobs = false;
  }

  *#expiredJobs(): Generator<string> {
    const beforeMs = Date.now() - this.#keepStateMs - DELETE_DELAY_MS;
    for (const { spec, state, endedMs } of this.#table.jobs.values()) {
      if (isFinal(state) && endedMs < beforeMs) yield spec.id;
    }
  }
}
