import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { AppendResult, KeyedWrite } from '../keyed-log.js';
import { AppendBatcher } from '../internal/append-batcher.js';
import { StaticLog } from './static-log.js';
import { pause } from './wait.js';

/** The limits of the store, in bytes. */
const RECORD_BYTES = 262_144;

const REQUEST_BYTES = 2_097_152;

/** A log with the limits of the store. */
class LimitedLog extends StaticLog {
  rejectedCount = 0;

  override async append(records: readonly KeyedWrite[]): Promise<AppendResult> {
    await pause(5);
    const sizes = records.map(({ value = '' }) => value.length);
    const total = sizes.reduce((sum, size) => sum + size, 0);
    if (total > REQUEST_BYTES || Math.max(...sizes) > RECORD_BYTES) {
      this.rejectedCount += 1;
      return { outcome: 'rejected', reason: 'status 413' };
    }
    return super.append(records);
  }
}

test('large records that arrive together are appended in requests that the store accepts', async () => {
  // Guards against callers who are refused, again and again, because others submit large jobs as well.
  const log = new LimitedLog();
  const batcher = new AppendBatcher(log);
  const appends = Array.from({ length: 30 }, (_, i) =>
    batcher.append({ key: `j/${i}`, value: 'x'.repeat(250_000) }),
  );
  for (const { result } of appends) assert.equal((await result).outcome, 'appended');
  assert.equal(log.rejectedCount, 0);
});

test('a record that the store rejects does not take the others of its batch with it', async () => {
  const log = new LimitedLog();
  const batcher = new AppendBatcher(log);
  const sizes = [1, 1, 1, RECORD_BYTES + 1, 1, 1];
  const appends = sizes.map((size, i) =>
    batcher.append({ key: `j/${i}`, value: 'x'.repeat(size) }),
  );
  const outcomes = await Promise.all(appends.map(async ({ result }) => (await result).outcome));
  assert.deepEqual(
    outcomes,
    sizes.map((size) => (size > RECORD_BYTES ? 'rejected' : 'appended')),
  );
});
