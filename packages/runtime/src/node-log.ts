import { write } from 'node:fs';
import logfmt from 'logfmt';
import loglevel from 'loglevel';

export type LogFields = Record<string, string | number | boolean | undefined>;

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/**
 * Maximum size of the lines that wait to be written, in bytes. This bounds the memory of the log
 * when its reader has stopped reading; further lines are dropped and counted.
 */
const MAX_WAITING_BYTES = 512 * 1024;

const STDOUT = 1;

/**
 * Maximum size of one write, in bytes: a pipe accepts a write of this size whole or not at all, so
 * that a reader never gets a part of a line.
 */
const MAX_WRITE_BYTES = 4 * 1024;

const NEWLINE = 0x0a;

/**
 * Interval of retries of a write to a full pipe, in milliseconds: without retries its lines would
 * be lost silently.
 */
const FULL_PIPE_RETRY_MS = 10;

/** The numeric levels of the log library. */
const LEVELS: Readonly<Record<LogLevel, number>> = { debug: 1, info: 2, warn: 3, error: 4 };

/**
 * The structured log of a process: one line of key=value pairs for each decision. A direct write to
 * a pipe would block the process while its reader is stalled, and with it the renewal of leases.
 * Therefore lines are queued, written from a worker thread, and dropped beyond a bound.
 */
export class NodeLog {
  readonly #node: string;

  readonly #logger = loglevel.getLogger('redwingcrank');

  #waiting: string[] = [];

  #waitingBytes = 0;

  #isWriting = false;

  #dropped = 0;

  #observer: ((event: string, fields: LogFields) => void) | undefined;

  constructor(node: string, level: loglevel.LogLevelDesc = 'info') {
    this.#node = node;
    this.#logger.methodFactory = () => (line: string) => this.#enqueue(line);
    this.#logger.setLevel(level, false);
  }

  /** The number of lines dropped since the start. */
  get dropped(): number {
    return this.#dropped;
  }

  /**
   * Calls the observer for every event from now on, including events below the level that is
   * written.
   */
  observe(observer: (event: string, fields: LogFields) => void): void {
    this.#observer = observer;
  }

  /** Writes one line for an event, whose name is in kebab-case. */
  emit(level: LogLevel, event: string, fields: LogFields = {}): void {
    this.#observer?.(event, fields);
    if (LEVELS[level] < this.#logger.getLevel()) return;
    const at = new Date().toISOString();
    const line = logfmt.stringify({ at, level, node: this.#node, event, ...fields });
    this.#logger[level](line.includes('\n') ? line.replaceAll('\n', '\\n') : line);
  }

  #enqueue(line: string): void {
    if (this.#waitingBytes + line.length > MAX_WAITING_BYTES) {
      this.#dropped += 1;
      return;
    }
    this.#waiting.push(line);
    this.#waitingBytes += line.length;
    if (!this.#isWriting) this.#flush();
  }

  #flush(): void {
    this.#isWriting = true;
    const lines = this.#waiting;
    this.#waiting = [];
    this.#waitingBytes = 0;
    setImmediate(() => this.#write(Buffer.from(`${lines.join('\n')}\n`)));
  }

  #write(data: Buffer): void {
    write(STDOUT, data, 0, completeLinesLength(data), (err, written) => {
      if (err?.code === 'EAGAIN') setTimeout(() => this.#write(data), FULL_PIPE_RETRY_MS);
      else if (err) this.#dropLines(data);
      else if (written < data.length) this.#write(data.subarray(written));
      else this.#writeNext();
    });
  }

  /**
   * Drops lines that cannot be written. A closed standard output does not end the process: it
   * continues without a log.
   */
  #dropLines(data: Buffer): void {
    this.#dropped += data.toString().split('\n').length - 1;
    this.#writeNext();
  }

  #writeNext(): void {
    if (this.#waiting.length > 0) this.#flush();
    else this.#isWriting = false;
  }
}

/**
 * Returns the length of the complete lines that fit into one write. A line that is too long for one
 * is written in parts.
 */
function completeLinesLength(data: Buffer): number {
  if (data.length <= MAX_WRITE_BYTES) return data.length;
  const end = data.lastIndexOf(NEWLINE, MAX_WRITE_BYTES - 1) + 1;
  return end > 0 ? end : MAX_WRITE_BYTES;
}
