import assert from 'node:assert/strict';
import { test } from 'node:test';
import { encodeLeader, leaderKey } from '../internal/work-records.js';
import { leaderRecord } from './leader-record.js';
import { VirtualFleet, VirtualTime } from './virtual-fleet.js';

/** Longer than it takes until a node claims after the leader has become silent, in milliseconds. */
const TAKEOVER_MS = 8_000;

/** Longer than a rate is kept that no leader measures again, in milliseconds. */
const FORGOTTEN_MS = 25_000;

test('a claim and the records after it state the start rate of the former leader, in proportion to its size', async (t) => {
  // Guards against nodes that accept all jobs until a new leader has found that it is overloaded.
  const fleet = new VirtualFleet(new VirtualTime(t));
  const former = leaderRecord({ node: 'gone', cores: 0.5, largestCores: 0.5, startsPerSecond: 40 });
  fleet.store.put(leaderKey(), encodeLeader(former));
  fleet.add('n1', 0.25);
  assert.ok(await fleet.time.advanceUntil(() => fleet.store.leader?.node === 'n1', TAKEOVER_MS));
  assert.deepEqual([fleet.store.leader?.number, fleet.store.leader?.startsPerSecond], [0, 20]);
  await fleet.time.advance(1_000);
  assert.ok(fleet.store.leader!.number > 0);
  assert.equal(fleet.store.leader?.startsPerSecond, 20);
  await fleet.time.advance(FORGOTTEN_MS);
  assert.equal(fleet.store.leader?.startsPerSecond, undefined);
  await fleet.stop();
});
