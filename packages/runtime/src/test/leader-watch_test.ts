import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { VirtualNode } from './virtual-fleet.js';
import { VirtualFleet, VirtualTime } from './virtual-fleet.js';

/** Processor time of large and small nodes, in cores. */
const LARGE = 1.35;
const SMALL = 0.324;

/** Latency of each call to a slow store, and again of its answer, in milliseconds. */
const SLOW_ONE_WAY_MS = 300;

/** Upper bound of the time in which a killed leader is replaced with a fast store, in milliseconds. */
const FAST_STORE_TAKEOVER_MS = 300;

/**
 * The same with the slow store, in milliseconds: for the claim and the read that returns it, each of
 * which may first wait for another call.
 */
const SLOW_STORE_TAKEOVER_MS = 4 * SLOW_ONE_WAY_MS + 400;

/** A silent leader counts as dead after this time without any other evidence, in milliseconds. */
const LEADER_SILENT_MS = 1_100;

/** Number of random seeds that are tried. */
const SEEDS = 12;

/** Starts a large leader, then three large and nine small nodes, all connected to each other. */
async function startFleet(time: VirtualTime, oneWayMs = 5): Promise<[VirtualFleet, VirtualNode]> {
  const fleet = new VirtualFleet(time, true);
  const leader = fleet.add('first', LARGE);
  await time.advanceUntil(() => leader.isLeading, 5_000);
  await fleet.addMany([...Array<number>(3).fill(LARGE), ...Array<number>(9).fill(SMALL)]);
  await time.advance(2_000);
  fleet.store.oneWayMs = oneWayMs;
  await time.advance(4_000 + time.randomInt(500));
  assert.ok(leader.isLeading);
  fleet.store.claimCount = 0;
  return [fleet, leader];
}

/** Waits until a node leads; returns how long that took, in milliseconds. */
async function timeToNextLeader(fleet: VirtualFleet): Promise<number> {
  const { time } = fleet;
  const sinceMs = time.nowMs;
  await time.advanceUntil(() => fleet.leader !== undefined, 10_000);
  return time.nowMs - sinceMs;
}

for (const [store, oneWayMs, maxTakeoverMs] of [
  ['quick', 5, FAST_STORE_TAKEOVER_MS],
  ['slow', SLOW_ONE_WAY_MS, SLOW_STORE_TAKEOVER_MS],
] as const) {
  test(`a killed leader is replaced at once, with a ${store} store`, async (t) => {
    // Guards against leases that expire while the other nodes wait until the leader has been silent for
    // long enough.
    const time = new VirtualTime(t);
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      time.seed(seed);
      const [fleet, leader] = await startFleet(time, oneWayMs);
      leader.kill();
      const tookMs = await timeToNextLeader(fleet);
      assert.ok(tookMs <= maxTakeoverMs, `seed ${seed}: ${tookMs} ms`);
      assert.equal(fleet.leader?.cores, LARGE);
      await time.advance(3_000);
      // The standby that the leader named claims; the others wait until they read its claim.
      assert.equal(fleet.store.claimCount, 1, `seed ${seed}`);
      await fleet.stop();
    }
  });
}

test('the next leader does not wait for the silence timeout when the standby dies with the leader', async (t) => {
  // Guards against nodes that leave the claim to a standby that has ended as well.
  const time = new VirtualTime(t);
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    time.seed(seed);
    const [fleet, leader] = await startFleet(time);
    const standby = fleet.nodes.find(({ name }) => name === fleet.store.leader?.standby)!;
    leader.kill();
    standby.kill();
    const tookMs = await timeToNextLeader(fleet);
    assert.ok(tookMs < LEADER_SILENT_MS, `seed ${seed}: ${tookMs} ms`);
    await fleet.stop();
  }
});

test('a leader that restarts at the same address is recognised as ended', async (t) => {
  // Guards against nodes that take the new process for the one that was leader.
  const time = new VirtualTime(t);
  const [fleet, leader] = await startFleet(time);
  leader.kill();
  fleet.add('first', SMALL);
  const tookMs = await timeToNextLeader(fleet);
  assert.ok(tookMs <= FAST_STORE_TAKEOVER_MS, `${tookMs} ms`);
  await fleet.stop();
});

test('a leader whose connections to other nodes are reset or cut off remains leader', async (t) => {
  // Guards against replacing a live leader because of a network cut, a full accept queue or resets.
  const time = new VirtualTime(t);
  const [fleet, leader] = await startFleet(time);
  leader.peers!.reset();
  await time.advance(3_000);
  leader.peers!.reachability = 'silent';
  leader.peers!.reset();
  await time.advance(10_000);
  assert.ok(leader.isLeading);
  assert.equal(fleet.store.claimCount, 0);
  await fleet.stop();
});

test('a network that refuses connections to live processes causes one change of leader at most', async (t) => {
  // Guards against a leadership that moves from node to node for as long as the network does so.
  const time = new VirtualTime(t);
  const [fleet] = await startFleet(time);
  for (const { peers } of fleet.nodes) {
    peers!.reachability = 'refused';
    peers!.reset();
  }
  await time.advance(30_000);
  assert.ok(fleet.store.claimCount <= 1, `${fleet.store.claimCount} claims`);
  assert.notEqual(fleet.leader, undefined);
  await fleet.stop();
});
