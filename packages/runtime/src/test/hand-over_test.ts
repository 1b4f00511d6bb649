import assert from 'node:assert/strict';
import type { TestContext } from 'node:test';
import { test } from 'node:test';
import { offerKey } from '../internal/work-records.js';
import { VirtualFleet, VirtualTime } from './virtual-fleet.js';

/** Processor time of large and small nodes, in cores. */
const LARGE = 1.35;
const SMALL = 0.324;

/** A node claims the leadership within this time after a failed hand-over, in milliseconds. */
const RECLAIM_MS = 1_600;

/** Starts small nodes, one of which has led for longer than the minimum time before a hand-over. */
async function startSmallFleet(context: TestContext): Promise<VirtualFleet> {
  const time = new VirtualTime(context);
  const fleet = new VirtualFleet(time);
  await fleet.addMany([SMALL, SMALL, SMALL]);
  assert.ok(await time.advanceUntil(() => fleet.leader !== undefined, 5_000));
  await time.advance(10_000);
  return fleet;
}

/** Stores an offer, by default of an unknown large node in the current term. */
function putOffer(fleet: VirtualFleet, changes: Readonly<Record<string, unknown>>): void {
  const { epoch } = fleet.store.leader!;
  const rec = { node: 'nobody', cores: 8, epoch, ...changes };
  fleet.store.put(offerKey(), JSON.stringify(rec));
}

test('offers of a node that does not exist interrupt the leadership briefly and only once', async (t) => {
  // Any process may write to the store. Guards against a leader that accepts every such offer: it
  // would resign every few seconds, and no lease would be renewed in time.
  const fleet = await startSmallFleet(t);
  putOffer(fleet, {});
  assert.ok(await fleet.time.advanceUntil(() => fleet.leader === undefined, 1_000));
  assert.ok(await fleet.time.advanceUntil(() => fleet.leader !== undefined, RECLAIM_MS));
  const next = fleet.leader;
  for (let i = 0; i < 40; i += 1) {
    await fleet.time.advance(1_000);
    putOffer(fleet, {});
    assert.equal(fleet.leader, next);
  }
  await fleet.stop();
});

test('an offer that is malformed, of another term or not of a larger node is ignored', async (t) => {
  const fleet = await startSmallFleet(t);
  const firstLeader = fleet.leader!;
  const malformed = [{ cores: '8' }, { cores: null }, { node: 7 }, { epoch: 1.5 }];
  const unsuitable = [{ epoch: 900 }, { cores: 0.5 }, { node: firstLeader.name }];
  for (const changes of [...malformed, ...unsuitable]) {
    putOffer(fleet, changes);
    fleet.store.put(offerKey(), '{');
    await fleet.time.advance(300);
    assert.equal(fleet.leader, firstLeader, JSON.stringify(changes));
  }
  await fleet.stop();
});

test('a leader does not hand over while leases of the previous term may not be renewed yet', async (t) => {
  const time = new VirtualTime(t);
  const fleet = new VirtualFleet(time);
  await fleet.addMany([SMALL, SMALL, SMALL]);
  await time.advanceUntil(() => fleet.leader !== undefined, 5_000);
  const firstLeader = fleet.leader;
  for (let i = 0; i < 7; i += 1) {
    await time.advance(1_000);
    putOffer(fleet, {});
    assert.equal(fleet.leader, firstLeader);
  }
  await fleet.stop();
});

test('no node offers to take over the leadership while the store is slow', async (t) => {
  const fleet = await startSmallFleet(t);
  const firstLeader = fleet.leader;
  fleet.store.oneWayMs = 150;
  const large = fleet.add('large', LARGE);
  await fleet.time.advance(15_000);
  assert.ok(!large.events.some(({ event }) => event === 'offer'));
  assert.equal(fleet.leader, firstLeader);
  fleet.store.oneWayMs = 5;
  assert.ok(await fleet.time.advanceUntil(() => fleet.leader === large, 10_000));
  await fleet.stop();
});

test('the leadership does not move between large nodes', async (t) => {
  const time = new VirtualTime(t);
  const fleet = new VirtualFleet(time);
  await fleet.addMany([LARGE, LARGE, 1.8 * LARGE, SMALL]);
  await time.advanceUntil(() => fleet.leader !== undefined, 5_000);
  const firstLeader = fleet.leader;
  await time.advance(40_000);
  assert.equal(fleet.leader, firstLeader);
  assert.ok(fleet.nodes.every(({ events }) => !events.some(({ event }) => event === 'offer')));
  await fleet.stop();
});
