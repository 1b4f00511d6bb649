import type {
  AppendResult,
  KeyedRecord,
  KeyedWrite,
  NewestPage,
  ReadResult,
} from '../keyed-log.js';
import { KeyedLog } from '../keyed-log.js';
import { steadyMs } from '../internal/delay.js';
import { pause } from './wait.js';

/** A log in memory whose reads can be blocked. */
export class MemoryLog extends KeyedLog {
  readonly records: KeyedRecord[] = [];

  /** Whether reads are left without an answer. */
  isBlocked = false;

  override async append(records: readonly KeyedWrite[]): Promise<AppendResult> {
    this.records.push(...records);
    return { outcome: 'appended', reason: '' };
  }

  override async read(from: number, waitMs: number): Promise<ReadResult> {
    const endMs = steadyMs() + waitMs;
    while (this.isBlocked || (this.records.length <= from && steadyMs() < endMs)) await pause(5);
    const end = this.records.length;
    return { records: this.records.slice(from), next: end, end, asOfMs: steadyMs() };
  }

  override async newest(_after = ''): Promise<NewestPage> {
    while (this.isBlocked) await pause(5);
    const newest = new Map(this.records.map((rec) => [rec.key, rec]));
    const records = [...newest.values()].filter(({ value }) => value !== undefined);
    return { records, hasMore: false, end: this.records.length };
  }
}
