import type { StartDelays } from '@redwingcrank/jobs';
import type { NodeLog } from '../node-log.js';
import type { LeaderRecord } from './work-records.js';

/** Interval of the log lines about one delay, in milliseconds. */
const LOG_INTERVAL_MS = 1_000;

type StartDelayFields = Pick<LeaderRecord, 'startDelayMs' | 'workRates' | 'nodes'>;

/** Logs how long new jobs wait for their first start, and states it in the leader's record. */
export class StartDelayReport {
  readonly #log: NodeLog;

  /** When each delay was last logged. */
  readonly #loggedMs = new Map<string, number>();

  constructor(log: NodeLog) {
    this.#log = log;
  }

  /**
   * Logs the delays, and returns the fields of the record: none without a delay. `nodes` is the
   * number of nodes that answer callers, if it is known.
   */
  fields(delays: StartDelays, nodes: number | undefined, nowMs: number): StartDelayFields {
    const { startDelayMs, workRates } = delays;
    for (const [key, delayMs] of Object.entries(startDelayMs)) {
      if (nowMs - (this.#loggedMs.get(key) ?? -Infinity) >= LOG_INTERVAL_MS) {
        this.#loggedMs.set(key, nowMs);
        this.#emit(key, delayMs, workRates[key]!);
      }
    }
    for (const key of this.#loggedMs.keys()) {
      if (startDelayMs[key] === undefined) {
        this.#loggedMs.delete(key);
        this.#emit(key, 0, 0);
      }
    }
    if (Object.keys(startDelayMs).length === 0) return {};
    return { startDelayMs, workRates, ...(nodes !== undefined && { nodes }) };
  }

  #emit(key: string, delayMs: number, workRate: number): void {
    const split = key.lastIndexOf(' ');
    this.#log.emit('info', 'start-delay', {
      class: key.slice(0, split),
      priority: Number(key.slice(split + 1)),
      delayMs,
      workRate: Math.round(workRate),
    });
  }
}
