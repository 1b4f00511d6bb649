import type { InterferenceWeights } from '@redwingcrank/jobs';
import { isFinal } from '@redwingcrank/jobs';
import type { KeyedLog, KeyedWrite } from '../keyed-log.js';
import { steadyMs } from './delay.js';
import { cancelKey, encodeLearned, jobKey, learnedKey, progressKey } from './work-records.js';
import type { WorkTable } from './work-table.js';

/** A job's records are deleted this long after its state may be forgotten, in milliseconds. */
const FORGET_SLACK_MS = 30_000;

/** How often jobs to forget are looked for, in milliseconds. */
const FORGET_EVERY_MS = 5_000;

/** Jobs that are deleted in one append at most: some tens of kilobytes. */
const MAX_DELETED = 500;

/** How often what was learned of images is stored, in milliseconds: it changes over many seconds. */
const LEARNED_EVERY_MS = 3_000;

/** What a scheduling node writes now and then beside its decisions. */
export class Housekeeping {
  readonly #table: WorkTable;

  readonly #jobLog: KeyedLog;

  readonly #keepStateMs: number;

  #isDeletingJobs = false;

  #learnedMs = steadyMs() + LEARNED_EVERY_MS;

  #forgetMs = steadyMs() + FORGET_EVERY_MS;

  /** `keepStateMs`: for how long the final state of a job must be known. */
  constructor(table: WorkTable, jobLog: KeyedLog, keepStateMs: number) {
    this.#table = table;
    this.#jobLog = jobLog;
    this.#keepStateMs = keepStateMs;
  }

  /** The record of what was learned of images, where it is due. */
  learnedWrites(weights: InterferenceWeights): KeyedWrite[] {
    if (steadyMs() < this.#learnedMs) return [];
    this.#learnedMs = steadyMs() + LEARNED_EVERY_MS;
    return [{ key: learnedKey(), value: encodeLearned(weights) }];
  }

  /**
   * Deletions of the progress of jobs that are deleted. Those of jobs whose state may be forgotten
   * begin with it, in the callers' log: progress that went before its job would leave that as a new
   * one, and it would run again.
   */
  progressDeletions(): KeyedWrite[] {
    if (steadyMs() < this.#forgetMs) return [];
    this.#forgetMs = steadyMs() + FORGET_EVERY_MS;
    this.#deleteJobs();
    return [...this.#table.orphanedProgress].map((id) => ({
      key: progressKey(id),
      value: undefined,
    }));
  }

  /** Rounds do not wait for it. What the store does not take is deleted another time. */
  async #deleteJobs(): Promise<void> {
    const writes = [...this.#forgettable()].slice(0, MAX_DELETED).flatMap((id) => [
      { key: cancelKey(id), value: undefined },
      { key: jobKey(id), value: undefined },
    ]);
    if (this.#isDeletingJobs || writes.length === 0) return;
    this.#isDeletingJobs = true;
    await this.#jobLog.append(writes);
    this.#isDeletingJobs = false;
  }

  *#forgettable(): Generator<string> {
    const beforeMs = Date.now() - this.#keepStateMs - FORGET_SLACK_MS;
    for (const { spec, state, endedMs } of this.#table.jobs.values()) {
      if (isFinal(state) && endedMs < beforeMs) yield spec.id;
    }
  }
}
