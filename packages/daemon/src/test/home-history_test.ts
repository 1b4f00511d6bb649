import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { LogPage } from '@redwingcrank/protocol';
import { PlatformLog } from '@redwingcrank/ports';
import { registerIncarnation } from '../internal/home-history.js';

/** A log that already has records, and may have lost the oldest. */
class ListLog extends PlatformLog {
  readonly #values: string[];

  readonly #expired: number;

  constructor(values: readonly string[], expired = 0) {
    super();
    this.#values = [...values];
    this.#expired = expired;
  }

  override append(_stream: string, record: unknown): Promise<number> {
    this.#values.push((record as { incarnation: string }).incarnation);
    return Promise.resolve(this.#values.length - 1);
  }

  override read(_stream: string, from: number): Promise<LogPage> {
    const start = Math.max(from, this.#expired);
    const entries = this.#values
      .slice(start, start + 2)
      .map((incarnation, i) => ({ offset: start + i, value: { incarnation } }));
    return Promise.resolve({ entries, first: this.#expired, next: start + entries.length });
  }
}

test('a process learns who had its name before', async () => {
  // Taking a memory for complete that lacks a process in between would run its keys again.
  assert.deepEqual(await registerIncarnation(new ListLog([]), 'n', 'c'), { type: 'nobody' });
  const known = { type: 'known', incarnation: 'b' };
  assert.deepEqual(await registerIncarnation(new ListLog(['a', 'b']), 'n', 'c'), known);
  // The append of `a` was cut off, repeated, and its first copy came when `b` had come and gone.
  assert.deepEqual(await registerIncarnation(new ListLog(['a', 'b', 'a']), 'n', 'c'), known);
  // Its own answer was lost, so its record is there twice.
  assert.deepEqual(await registerIncarnation(new ListLog(['a', 'b', 'c']), 'n', 'c'), known);
  // The oldest records expired: a predecessor may have run keys until a moment ago.
  assert.deepEqual(await registerIncarnation(new ListLog(['a'], 1), 'n', 'c'), { type: 'unknown' });
});
