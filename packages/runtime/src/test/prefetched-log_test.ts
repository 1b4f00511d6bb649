import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PrefetchedLog } from '../internal/prefetched-log.js';
import type { NewestPage } from '../keyed-log.js';
import { StoreUnavailableError } from '../keyed-log.js';
import { StaticLog } from './static-log.js';

/** A log that counts the requests for pages, and fails the first one if `failsFirst` is set. */
class CountingLog extends StaticLog {
  requestCount = 0;

  failsFirst = false;

  override async newest(): Promise<NewestPage> {
    this.requestCount += 1;
    if (this.failsFirst && this.requestCount === 1) throw new StoreUnavailableError('timeout');
    return { records: [], hasMore: false, end: this.requestCount };
  }
}

test('the first page is requested at once and returned only once', async () => {
  // Guards against a new leader that waits for a slow store before it knows any worker.
  const source = new CountingLog();
  const log = new PrefetchedLog(source);
  assert.equal(source.requestCount, 1);
  assert.equal((await log.newest('')).end, 1);
  assert.equal(source.requestCount, 1);
  // A view that is reloaded must not start from the prefetched page.
  assert.equal((await log.newest('')).end, 2);
});

test('a first page that could not be read is requested again', async () => {
  const source = new CountingLog();
  source.failsFirst = true;
  const log = new PrefetchedLog(source);
  await assert.rejects(log.newest(''), StoreUnavailableError);
  assert.equal((await log.newest('')).end, 2);
});
