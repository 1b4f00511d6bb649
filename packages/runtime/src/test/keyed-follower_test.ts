import assert from 'node:assert/strict';
import type { TestContext } from 'node:test';
import { test } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import type { AppendResult, NewestPage, ReadResult } from '../keyed-log.js';
import { KeyedLog, RecordsExpiredError, StoreUnavailableError } from '../keyed-log.js';
import type { LogFields } from '../node-log.js';
import { NodeLog } from '../node-log.js';
import { KeyedFollower } from '../internal/keyed-follower.js';
import { steadyMs } from '../internal/delay.js';

/** An empty log that can become unavailable, and records how long each read may wait. */
class InterruptibleLog extends KeyedLog {
  isLost = false;

  readonly waitsMs: number[] = [];

  override async append(): Promise<AppendResult> {
    return { outcome: 'appended', reason: '' };
  }

  override async read(from: number, waitMs: number): Promise<ReadResult> {
    this.waitsMs.push(waitMs);
    await pause(5);
    if (this.isLost) throw new StoreUnavailableError('timeout');
    return { records: [], next: from, end: from, asOfMs: steadyMs() };
  }

  override async newest(): Promise<NewestPage> {
    return { records: [], hasMore: false, end: 0 };
  }
}

test('the events log-lost and log-regained give the age of the view', async () => {
  // An operator who examines the complaint of a caller must see in the node's log how old the view was
  // from which the node answered, and so which records it could know. The store cannot be read for
  // 600 ms here. The first reads after that must not wait at the store for records: the view would
  // stay old for as long.
  const logged = new Map<string, LogFields>();
  const log = new NodeLog('n1', 'silent');
  log.observe((event, fields) => logged.set(event, fields));
  const source = new InterruptibleLog();
  const follower = new KeyedFollower(source, log, { name: 'work', waitMs: 400, gapMs: 20 });
  const running = follower.run();
  await pause(100);
  source.isLost = true;
  const before = source.waitsMs.length;
  await pause(600);
  source.isLost = false;
  await pause(300);
  follower.stop();
  await running;
  const lostAgeMs = logged.get('log-lost')?.ageMs as number;
  const regainedAgeMs = logged.get('log-regained')?.ageMs as number;
  assert.ok(lostAgeMs < 200, `${lostAgeMs} ms`);
  assert.ok(regainedAgeMs >= 600 && regainedAgeMs < 1_000, `${regainedAgeMs} ms`);
  const waitsMs = source.waitsMs.slice(before + 1);
  assert.equal(waitsMs.indexOf(400), waitsMs.lastIndexOf(0) + 1, `${waitsMs}`);
});

/** A log that dropped its history and answers with outdated pages for a while. */
class TruncatedLog extends KeyedLog {
  /** The offset at which the log ends. */
  end = 2;

  /** The offset of the first record that can still be read. */
  first = 0;

  /** The next pages of newest records; the last one is returned repeatedly. */
  pages: NewestPage[] = [{ records: [{ key: 'w1', value: 'ready' }], hasMore: false, end: 2 }];

  override async append(): Promise<AppendResult> {
    return { outcome: 'appended', reason: '' };
  }

  override async read(from: number): Promise<ReadResult> {
    const sentMs = steadyMs();
    await pause(5);
    if (from < this.first) throw new RecordsExpiredError('expired', this.first);
    return { records: [], next: from, end: this.end, asOfMs: sentMs };
  }

  override async newest(): Promise<NewestPage> {
    await pause(5);
    const [page] = this.pages.length > 1 ? this.pages.splice(0, 1) : this.pages;
    return page!;
  }
}

/** Follows a log until the test ends; `received` holds the values that were received, in order. */
function followTruncated(
  source: TruncatedLog,
  t: TestContext,
): { follower: KeyedFollower; received: string[] } {
  const log = new NodeLog('n1', 'silent');
  const follower = new KeyedFollower(source, log, { name: 'workers', waitMs: 0, gapMs: 20 });
  const received: string[] = [];
  follower.messages$.subscribe((message) => {
    if (message.kind === 'record') received.push(message.rec.value ?? '');
  });
  const running = follower.run();
  t.after(async () => {
    follower.stop();
    await running;
  });
  return { follower, received };
}

test('a page that ends before the known end of the log is rejected', async (t) => {
  // Guards against an outdated view that counts as up to date. The store drops the history of the
  // workers' entries just when a worker announces that it leaves, and answers with a page of newest
  // entries that is seconds old and still lists the worker as ready.
  const source = new TruncatedLog();
  const { follower, received } = followTruncated(source, t);
  await pause(100);
  const outdatedPage = source.pages[0]!;
  const currentPage = { records: [{ key: 'w1', value: 'leaves' }], hasMore: false, end: 5 };
  source.pages = [outdatedPage, { ...outdatedPage, end: 4 }, currentPage];
  Object.assign(source, { end: 5, first: 5 });
  const truncatedMs = steadyMs();
  await pause(250);
  assert.ok(follower.completeAsOfMs < truncatedMs + 20, 'an outdated page counts as up to date');
  await pause(500);
  assert.deepEqual(received, ['ready', 'leaves']);
  assert.ok(follower.completeAsOfMs > truncatedMs);
});

test('a loaded page counts as complete only after a read that continues from its end', async (t) => {
  // Guards against the same failure on a node that has read nothing before. It can detect that its
  // first page is outdated only when the records after that page have expired.
  const source = new TruncatedLog();
  source.pages.push({ records: [{ key: 'w1', value: 'leaves' }], hasMore: false, end: 5 });
  Object.assign(source, { end: 5, first: 5 });
  const { follower, received } = followTruncated(source, t);
  let receivedWhenComplete: string[] | undefined;
  const polling = setInterval(() => {
    if (follower.completeAsOfMs > -Infinity) receivedWhenComplete ??= [...received];
  }, 1);
  await pause(500);
  clearInterval(polling);
  assert.deepEqual(receivedWhenComplete, ['ready', 'leaves']);
});

test('an answer that ends before the known end of the log does not make the view up to date', async (t) => {
  // Guards against a replica of the store that lags behind the node and answers that nothing was
  // written.
  const source = new TruncatedLog();
  const { follower } = followTruncated(source, t);
  await pause(100);
  source.end = 1;
  const lagStartMs = steadyMs();
  await pause(300);
  const { completeAsOfMs, isLost } = follower;
  source.end = 2;
  await pause(300);
  assert.ok(completeAsOfMs < lagStartMs + 20 && isLost, `${completeAsOfMs - lagStartMs} ms`);
  assert.ok(follower.completeAsOfMs > lagStartMs + 300);
});
