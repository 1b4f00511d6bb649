import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { VirtualNode } from './virtual-fleet.js';
import { VirtualFleet, VirtualTime } from './virtual-fleet.js';

/** Processor time of nodes, in cores. */
const LARGE = 1.35;
const SMALL = 0.324;

/** Each call to a slow store takes so long each way, in milliseconds. */
const SLOW_WAY_MS = 300;

/** A killed leader is replaced within this with a quick store, in milliseconds. */
const QUICK_MS = 300;

/** The same with the slow one: the claim, and the read that shows it, each with a wait for its turn. */
const SLOW_MS = 4 * SLOW_WAY_MS + 400;

/** Silence for so long tells of a dead leader where nothing else does, in milliseconds. */
const SILENT_MS = 1_100;

const SEEDS = 12;

/** The leader, three large nodes and nine small ones, all connected. */
async function startFleet(time: VirtualTime, wayMs = 5): Promise<[VirtualFleet, VirtualNode]> {
  const fleet = new VirtualFleet(time, true);
  const leader = fleet.add('first', LARGE);
  await time.advanceUntil(() => leader.isLeading, 5_000);
  await fleet.addMany([...Array<number>(3).fill(LARGE), ...Array<number>(9).fill(SMALL)]);
  await time.advance(2_000);
  fleet.store.oneWayMs = wayMs;
  await time.advance(4_000 + time.randomInt(500));
  assert.ok(leader.isLeading);
  fleet.store.claimCount = 0;
  return [fleet, leader];
}

/** How long no node leads from now on, in milliseconds. */
async function untilLed(fleet: VirtualFleet): Promise<number> {
  const { time } = fleet;
  const sinceMs = time.nowMs;
  await time.advanceUntil(() => fleet.leader !== undefined, 10_000);
  return time.nowMs - sinceMs;
}

for (const [store, wayMs, withinMs] of [
  ['quick', 5, QUICK_MS],
  ['slow', SLOW_WAY_MS, SLOW_MS],
] as const) {
  test(`a killed leader is replaced at once, with a ${store} store`, async (t) => {
    // Guards against leases that end while a follower waits for a silence of the store to last.
    const time = new VirtualTime(t);
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      time.seed(seed);
      const [fleet, leader] = await startFleet(time, wayMs);
      leader.kill();
      const tookMs = await untilLed(fleet);
      assert.ok(tookMs <= withinMs, `seed ${seed}: ${tookMs} ms`);
      assert.equal(fleet.leader?.cores, LARGE);
      await time.advance(3_000);
      // The node that the leader has named claims; others wait until its claim shows.
      assert.equal(fleet.store.claimCount, 1, `seed ${seed}`);
      await fleet.stop();
    }
  });
}

test('where the standby is killed with the leader, the next one does not wait for a silence', async (t) => {
  // Guards against a role that is left to a node that has ended as well.
  const time = new VirtualTime(t);
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    time.seed(seed);
    const [fleet, leader] = await startFleet(time);
    const standby = fleet.nodes.find(({ name }) => name === fleet.store.leader?.standby)!;
    leader.kill();
    standby.kill();
    const tookMs = await untilLed(fleet);
    assert.ok(tookMs < SILENT_MS, `seed ${seed}: ${tookMs} ms`);
    await fleet.stop();
  }
});

test('a leader that restarts at the same address is known to have ended', async (t) => {
  // Guards against a new process that is taken for the one that led.
  const time = new VirtualTime(t);
  const [fleet, leader] = await startFleet(time);
  leader.kill();
  fleet.add('first', SMALL);
  const tookMs = await untilLed(fleet);
  assert.ok(tookMs <= QUICK_MS, `${tookMs} ms`);
  await fleet.stop();
});

test('a leader that is cut off from other nodes, or whose connections are reset, keeps the role', async (t) => {
  // Guards against replacing a leader that lives: by silence, by a full queue, or by resets.
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

test('a network that refuses connections to living processes changes the leader once at most', async (t) => {
  // Guards against a role that goes from node to node for as long as such a network stands.
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
