import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PrefetchedLog } from '../internal/prefetched-log.js';
import type { NewestPage } from '../keyed-log.js';
import { StoreUnavailableError } from '../keyed-log.js';
import { StaticLog } from './static-log.js';

/** Counts the pages that are asked for, and fails the first if it is to. */
class CountedLog extends StaticLog {
  asked = 0;

  failsFirst = false;

  override async newest(): Promise<NewestPage> {
    this.asked += 1;
    if (this.failsFirst && this.asked === 1) throw new StoreUnavailableError('timeout');
    return { records: [], hasMore: false, end: this.asked };
  }
}

test('the first page is asked for at once and given out once', async () => {
  // Guards against a new scheduling node that waits for a slow store before it knows any worker.
  const source = new CountedLog();
  const log = new PrefetchedLog(source);
  assert.equal(source.asked, 1);
  assert.equal((await log.newest('')).end, 1);
  assert.equal(source.asked, 1);
  // A view that is loaded anew must not begin with the page from before.
  assert.equal((await log.newest('')).end, 2);
});

test('a first page that could not be read is asked for again', async () => {
  const source = new CountedLog();
  source.failsFirst = true;
  const log = new PrefetchedLog(source);
  await assert.rejects(log.newest(''), StoreUnavailableError);
  assert.equal((await log.newest('')).end, 2);
});
