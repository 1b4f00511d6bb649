import assert from 'node:assert/strict';
import { mock, test } from 'node:test';
import type { LogPage } from '@redwingcrank/protocol';
import { PlatformError } from '@redwingcrank/protocol';
import { PlatformLog } from '@redwingcrank/ports';
import { Backoff } from '../internal/backoff.js';
import { StreamFollower } from '../internal/stream-follower.js';

type Answer = LogPage | 'fails' | 'pending';

/** A log that returns the given answers, one for each read, and then stays silent. */
class ScriptedLog extends PlatformLog {
  readonly #answers: Answer[];

  reads = 0;

  constructor(answers: Answer[]) {
    super();
    this.#answers = answers;
  }

  override append(): Promise<number> {
    return Promise.reject(new PlatformError('logUnavailable', 'read-only'));
  }

  override async read(): Promise<LogPage> {
    this.reads += 1;
    const answer = this.#answers.shift() ?? 'pending';
    if (answer === 'fails') throw new PlatformError('logUnavailable', 'down');
    if (answer === 'pending') return new Promise<LogPage>(() => {});
    return answer;
  }
}

const page = (first: number, offsets: number[], next: number): LogPage => ({
  first,
  next,
  entries: offsets.map((offset) => ({ offset, value: offset })),
});

const flushPromises = () => new Promise(setImmediate);

test('records lost to retention are reported before those that follow', async () => {
  // A node is paused for longer than the log keeps records. Its next read starts after the gap;
  // without a report, the node would fold the rest as if nothing were missing.
  const follower = new StreamFollower(new ScriptedLog([page(0, [0], 1), page(7, [7], 8)]), 's');
  const seen: unknown[] = [];
  follower.entries$.subscribe((entry) => seen.push(entry.offset));
  follower.lost$.subscribe((lost) => seen.push(lost));
  follower.run();
  await flushPromises();
  assert.deepEqual(seen, [0, { from: 1, first: 7 }, 7]);
});

test('a read that failed or hangs does not count as the last successful one', async () => {
  // A node may renew leases only up to a time after its newest read. When the log fails and then
  // becomes silent, the time must stay that of the last read with an answer.
  const { timers } = mock;
  timers.enable({ apis: ['setTimeout'] });
  try {
    const log = new ScriptedLog([page(0, [], 0), 'fails', 'pending']);
    const follower = new StreamFollower(log, 's');
    assert.equal(follower.lastReadStartedAt, -Infinity);
    follower.run();
    await flushPromises();
    const startedAt = follower.lastReadStartedAt;
    assert.ok(startedAt <= performance.now() && startedAt > 0);
    timers.tick(1_000);
    await flushPromises();
    assert.equal(log.reads, 3);
    assert.equal(follower.lastReadStartedAt, startedAt);
  } finally {
    timers.reset();
  }
});

test('pauses after failures grow up to one second, with jitter over half of it', () => {
  const pauses = (draw: number) => {
    const backoff = new Backoff(() => draw);
    return Array.from({ length: 8 }, () => backoff.next());
  };
  assert.deepEqual(pauses(0).slice(-1), [500]);
  assert.deepEqual(pauses(1).slice(-1), [1_000]);
  assert.ok((pauses(1)[0] ?? 0) <= 100);
});
