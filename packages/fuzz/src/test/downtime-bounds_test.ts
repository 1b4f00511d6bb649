import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MAX_DOWNTIME_MS, MAX_TAKEOVER_DOWNTIME_MS } from '../jobs/downtime-bounds.js';

/** The documented upper bound of a long-running task's downtime, in milliseconds. */
const GUARANTEED_MS = 9_000;

test('leases are short enough for the guaranteed downtime of long-running tasks', () => {
  // When a worker vanishes, alone or with the leader, its tasks wait until its leases expire: with
  // leases of 10 s a task that watches signals was down for 12 s.
  assert.ok(MAX_DOWNTIME_MS < GUARANTEED_MS, `${MAX_DOWNTIME_MS} ms`);
  assert.ok(MAX_TAKEOVER_DOWNTIME_MS < GUARANTEED_MS, `${MAX_TAKEOVER_DOWNTIME_MS} ms`);
});
