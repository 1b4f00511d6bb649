import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { LogPage } from '@redwingcrank/protocol';
import { PlatformLog } from '@redwingcrank/ports';
import { registerIncarnation } from '../internal/home-history.js';

/** A log that already has records, of which the oldest may have expired. */
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

test('a process finds the process that had its name before', async () => {
  // With a memory that misses a process in between, that process's keys would run again.
  assert.deepEqual(await registerIncarnation(new ListLog([]), 'n', 'c'), { type: 'nobody' });
  const known = { type: 'known', incarnation: 'b' };
  assert.deepEqual(await registerIncarnation(new ListLog(['a', 'b']), 'n', 'c'), known);
  // `a` repeated its append after a lost answer, and one copy arrived after `b` had ended.
  assert.deepEqual(await registerIncarnation(new ListLog(['a', 'b', 'a']), 'n', 'c'), known);
  // The answer to its own append was lost, so its record is in the log twice.
  assert.deepEqual(await registerIncarnation(new ListLog(['a', 'b', 'c']), 'n', 'c'), known);
  // The oldest records have expired: a predecessor may have run keys until shortly before.
  assert.deepEqual(await registerIncarnation(new ListLog(['a'], 1), 'n', 'c'), { type: 'unknown' });
});
