import type { PressWeights } from '@redwingcrank/jobs';
import { isFinal } from '@redwingcrank/jobs';
import type { KeyedWrite } from '../keyed-log.js';
import { steadyMs } from './delay.js';
import { cancelKey, encodeLearned, jobKey, learnedKey, progressKey } from './work-records.js';
import type { WorkTable } from './work-table.js';

/** A job's records are deleted this long after its state may be forgotten, in milliseconds. */
const FORGET_SLACK_MS = 30_000;

/** How often jobs to forget are looked for, in milliseconds. */
const FORGET_EVERY_MS = 5_000;

/** How often what was learned of images is stored, in milliseconds: it changes over many seconds. */
const LEARNED_EVERY_MS = 3_000;

/** What a scheduling node writes now and then beside its decisions. */
export class Housekeeping {
  readonly #table: WorkTable;

  readonly #keepStateMs: number;

  #learnedMs = steadyMs() + LEARNED_EVERY_MS;

  #forgetMs = steadyMs() + FORGET_EVERY_MS;

  /** `keepStateMs`: for how long the final state of a job must be known. */
  constructor(table: WorkTable, keepStateMs: number) {
    this.#table = table;
    this.#keepStateMs = keepStateMs;
  }

  /** The record of what was learned of images, where it is due. */
  learned(weights: PressWeights): KeyedWrite[] {
    if (steadyMs() < this.#learnedMs) return [];
    this.#learnedMs = steadyMs() + LEARNED_EVERY_MS;
    return [{ key: learnedKey(), value: encodeLearned(weights) }];
  }

  /** Deletions of the records of jobs whose state may be forgotten. */
  forgotten(): KeyedWrite[] {
    if (steadyMs() < this.#forgetMs) return [];
    this.#forgetMs = steadyMs() + FORGET_EVERY_MS;
    const beforeMs = Date.now() - this.#keepStateMs - FORGET_SLACK_MS;
    const writes: KeyedWrite[] = [];
    for (const { spec, state, endedMs } of this.#table.jobs.values()) {
      if (isFinal(state) && endedMs < beforeMs) {
        for (const key of [progressKey, cancelKey, jobKey]) {
          writes.push({ key: key(spec.id), value: undefined });
        }
      }
    }
    return writes;
  }
}
