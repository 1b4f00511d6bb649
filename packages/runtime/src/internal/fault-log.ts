import type { LogFields, LogLevel, NodeLog } from '../node-log.js';
import type { FaultReason, RecordFault } from '../record-fault.js';
import { steadyMs } from './delay.js';

/** The logs of the store that nodes read records from. */
export type RecordSource = 'work' | 'workers' | 'operator';

/**
 * Maximum number of keys remembered as unusable, some hundred kilobytes. Beyond it the oldest key
 * is dropped, and its next unusable record is logged again.
 */
const MAX_KEYS = 1_000;

/** Maximum number of lines per second, so that a writer of broken records cannot flood the log. */
const MAX_LINES_PER_PERIOD = 20;

const RATE_PERIOD_MS = 1_000;

/** The number of unusable records of a log for one reason. */
export interface FaultCount {
  readonly source: RecordSource;
  readonly reason: FaultReason;
  count: number;
}

/**
 * Logs which records cannot be used: one line when a key becomes unusable or the reason changes,
 * and one line when it becomes valid again. Counts every unusable record, logged or not.
 */
export class FaultLog {
  readonly #log: NodeLog;

  /**
   * The fault of the newest record of each unusable key, ordered by when it was logged, oldest
   * first.
   */
  readonly #faults = new Map<string, string>();

  readonly #counts = new Map<string, FaultCount>();

  #periodMs = -Infinity;

  #lines = 0;

  constructor(log: NodeLog) {
    this.#log = log;
  }

  /** The number of unusable records since the start, by log and reason. */
  get counts(): Iterable<FaultCount> {
    return this.#counts.values();
  }

  /** Counts an unusable record of the key, and logs it if its fault is new. */
  unusable(source: RecordSource, key: string, { reason, field }: RecordFault): void {
    this.#count(source, reason);
    const id = `${source} ${key}`;
    const fault = `${reason} ${field}`;
    if (this.#faults.get(id) === fault) return;
    this.#remember(id, fault);
    this.#logEvent('warn', 'record-unusable', { log: source, key, reason, field });
  }

  /** Clears the fault of the key, whose newest record can be used. */
  usable(source: RecordSource, key: string): void {
    if (!this.#faults.delete(`${source} ${key}`)) return;
    this.#logEvent('info', 'record-usable', { log: source, key });
  }

  /** Clears the fault of a deleted key without a log line. */
  forget(source: RecordSource, key: string): void {
    this.#faults.delete(`${source} ${key}`);
  }

  #remember(id: string, fault: string): void {
    this.#faults.delete(id);
    this.#faults.set(id, fault);
    const [oldest] = this.#faults.keys();
    if (this.#faults.size > MAX_KEYS) this.#faults.delete(oldest!);
  }

  #count(source: RecordSource, reason: FaultReason): void {
    const id = `${source} ${reason}`;
    const known = this.#counts.get(id);
    if (known) known.count += 1;
    else this.#counts.set(id, { source, reason, count: 1 });
  }

  #logEvent(level: LogLevel, event: string, fields: LogFields): void {
    if (this.#isWithinRateLimit()) this.#log.emit(level, event, fields);
  }

  #isWithinRateLimit(): boolean {
    const nowMs = steadyMs();
    if (nowMs - this.#periodMs >= RATE_PERIOD_MS) {
      this.#periodMs = nowMs;
      this.#lines = 0;
    }
    this.#lines += 1;
    return this.#lines <= MAX_LINES_PER_PERIOD;
  }
}
