import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import type { AppendResult, NewestPage, ReadResult } from '../keyed-log.js';
import { KeyedLog, StoreUnavailableError } from '../keyed-log.js';
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
