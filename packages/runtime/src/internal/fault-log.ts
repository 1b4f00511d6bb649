import type { LogFields, LogLevel, NodeLog } from '../node-log.js';
import type { FaultReason, RecordFault } from '../record-fault.js';
import { steadyMs } from './delay.js';

/** The logs of the store whose records a node reads. */
export type RecordSource = 'work' | 'workers' | 'operator';

/**
 * Keys that are remembered as unusable: some hundred kilobytes at most. Beyond it the oldest is
 * forgotten, and gets one more line with its next record.
 */
const MAX_KEYS = 1_000;

/** Lines written in one second at most, so that a writer of broken records cannot fill the log. */
const MAX_LINES = 20;

const LINES_PERIOD_MS = 1_000;

/** How many records of a log could not be used for one reason. */
export interface FaultCount {
  readonly source: RecordSource;
  readonly reason: FaultReason;
  count: number;
}

/**
 * Tells which records cannot be used: one line when a key turns unusable, or is so for another
 * reason, and one when it is sound again. Every unusable record is counted, whether it gets a line
 * or not.
 */
export class FaultLog {
  readonly #log: NodeLog;

  /** What is wrong with the newest record of a key, the key that was told longest ago first. */
  readonly #faults = new Map<string, string>();

  readonly #counts = new Map<string, FaultCount>();

  #periodMs = -Infinity;

  #lines = 0;

  constructor(log: NodeLog) {
    this.#log = log;
  }

  /** How many records could not be used since the start. */
  get counts(): Iterable<FaultCount> {
    return this.#counts.values();
  }

  /** A record of the key cannot be used. */
  unusable(source: RecordSource, key: string, { reason, field }: RecordFault): void {
    this.#count(source, reason);
    const id = `${source} ${key}`;
    const fault = `${reason} ${field}`;
    if (this.#faults.get(id) === fault) return;
    this.#remember(id, fault);
    this.#tell('warn', 'record-unusable', { log: source, key, reason, field });
  }

  /** A record of the key can be used. */
  usable(source: RecordSource, key: string): void {
    if (!this.#faults.delete(`${source} ${key}`)) return;
    this.#tell('info', 'record-usable', { log: source, key });
  }

  /** The key was deleted. */
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

  #tell(level: LogLevel, event: string, fields: LogFields): void {
    if (this.#mayWrite()) this.#log.emit(level, event, fields);
  }

  #mayWrite(): boolean {
    const nowMs = steadyMs();
    if (nowMs - this.#periodMs >= LINES_PERIOD_MS) {
      this.#periodMs = nowMs;
      this.#lines = 0;
    }
    this.#lines += 1;
    return this.#lines <= MAX_LINES;
  }
}
