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

/** An empty log that can be lost, and notes how long each read may wait. */
class LosableLog extends KeyedLog {
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

test('the log tells how old the view was when it was lost and regained', async () => {
  // For 600 ms the store cannot be read. Whoever looks into a caller's complaint needs to know from
  // the log how old the view was by which the node answered: from that alone, when the records
  // were written tells what it could know. The first read after it asks for no wait at the store,
  // as the view would stay old for as long.
  const told = new Map<string, LogFields>();
  const log = new NodeLog('n1', 'silent');
  log.observe((event, fields) => told.set(event, fields));
  const source = new LosableLog();
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
  const lostAgeMs = told.get('log-lost')?.ageMs as number;
  const regainedAgeMs = told.get('log-regained')?.ageMs as number;
  assert.ok(lostAgeMs < 200, `${lostAgeMs} ms`);
  assert.ok(regainedAgeMs >= 600 && regainedAgeMs < 1_000, `${regainedAgeMs} ms`);
  const waitsMs = source.waitsMs.slice(before + 1);
  assert.equal(waitsMs.indexOf(400), waitsMs.lastIndexOf(0) + 1, `${waitsMs}`);
});

/** A log that forgot its history and answers with older pages for a while. */
class ForgetfulLog extends KeyedLog {
  /** Where the log ends, and from where on it has its records. */
  end = 2;

  first = 0;

  /** The pages of newest records to come; the last one is given again. */
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

/** Follows a forgetful log until the test ends; `told` are the values that were told, in order. */
function followForgetful(
  source: ForgetfulLog,
  t: TestContext,
): { follower: KeyedFollower; told: string[] } {
  const log = new NodeLog('n1', 'silent');
  const follower = new KeyedFollower(source, log, { name: 'workers', waitMs: 0, gapMs: 20 });
  const told: string[] = [];
  follower.messages$.subscribe((message) => {
    if (message.kind === 'record') told.push(message.rec.value ?? '');
  });
  const running = follower.run();
  t.after(async () => {
    follower.stop();
    await running;
  });
  return { follower, told };
}

test('a page that is older than what the log was known to hold is not taken', async (t) => {
  // The store drops the history of the workers' entries, and a worker says just then that it leaves. The
  // page of newest entries that the node is given is seconds old: by it the worker stays, and the view
  // passed for as new as the question.
  const source = new ForgetfulLog();
  const { follower, told } = followForgetful(source, t);
  await pause(100);
  const old = source.pages[0]!;
  const leaving = { records: [{ key: 'w1', value: 'leaves' }], hasMore: false, end: 5 };
  source.pages = [old, { ...old, end: 4 }, leaving];
  Object.assign(source, { end: 5, first: 5 });
  const forgotMs = steadyMs();
  await pause(250);
  assert.ok(follower.completeAsOfMs < forgotMs + 20, 'an old page passes for fresh');
  await pause(500);
  assert.deepEqual(told, ['ready', 'leaves']);
  assert.ok(follower.completeAsOfMs > forgotMs);
});

test('a page counts as complete only once the log was read from its end', async (t) => {
  // The same for a node that has read nothing before: nothing tells it that its first page is old but
  // that the log has no records from there on any more.
  const source = new ForgetfulLog();
  source.pages.push({ records: [{ key: 'w1', value: 'leaves' }], hasMore: false, end: 5 });
  Object.assign(source, { end: 5, first: 5 });
  const { follower, told } = followForgetful(source, t);
  let freshAfter: string[] | undefined;
  const looking = setInterval(() => {
    if (follower.completeAsOfMs > -Infinity) freshAfter ??= [...told];
  }, 1);
  await pause(500);
  clearInterval(looking);
  assert.deepEqual(freshAfter, ['ready', 'leaves']);
});

test('an answer from before what was read does not make the view fresh', async (t) => {
  // A part of the store that is behind answers that nothing was written, and knows less than the node.
  const source = new ForgetfulLog();
  const { follower } = followForgetful(source, t);
  await pause(100);
  source.end = 1;
  const behindMs = steadyMs();
  await pause(300);
  const { completeAsOfMs, isLost } = follower;
  source.end = 2;
  await pause(300);
  assert.ok(completeAsOfMs < behindMs + 20 && isLost, `${completeAsOfMs - behindMs} ms`);
  assert.ok(follower.completeAsOfMs > behindMs + 300);
});
