import type { AppendResult, KeyedWrite, NewestPage, ReadResult } from '../keyed-log.js';
import { KeyedLog } from '../keyed-log.js';
import { steadyMs } from '../internal/delay.js';
import { pause } from './wait.js';

/** A log with a fixed set of records: it accepts every append, but reads never return new records. */
export class StaticLog extends KeyedLog {
  readonly #records: NewestPage['records'];

  /** All appended records. */
  readonly writes: KeyedWrite[] = [];

  constructor(records: NewestPage['records'] = []) {
    super();
    this.#records = records;
  }

  override async append(records: readonly KeyedWrite[]): Promise<AppendResult> {
    this.writes.push(...records);
    return { outcome: 'appended', reason: '' };
  }

  override async read(from: number, waitMs: number): Promise<ReadResult> {
    await pause(waitMs);
    return { records: [], next: from, end: from, asOfMs: steadyMs() };
  }

  override async newest(): Promise<NewestPage> {
    return { records: this.#records, hasMore: false, end: 0 };
  }
}
