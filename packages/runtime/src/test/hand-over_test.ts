import assert from 'node:assert/strict';
import type { TestContext } from 'node:test';
import { test } from 'node:test';
import { offerKey } from '../internal/work-records.js';
import { VirtualFleet, VirtualTime } from './virtual-fleet.js';

/** Processor time of nodes, in cores. */
const LARGE = 1.35;
const SMALL = 0.324;

/** After a hand-over that came to nothing the role is taken again within this time. */
const TAKEN_AGAIN_MS = 1_600;

/** Small nodes, one of which has led for longer than the least time before a hand-over. */
async function smallFleet(context: TestContext): Promise<VirtualFleet> {
  const time = new VirtualTime(context);
  const fleet = new VirtualFleet(time);
  await fleet.addMany([SMALL, SMALL, SMALL]);
  assert.ok(await time.advanceUntil(() => fleet.leader !== undefined, 5_000));
  await time.advance(10_000);
  return fleet;
}

function offer(fleet: VirtualFleet, changes: Readonly<Record<string, unknown>>): void {
  const { epoch } = fleet.store.leader!;
  const rec = { node: 'nobody', cores: 8, epoch, ...changes };
  fleet.store.put(offerKey(), JSON.stringify(rec));
}

test('an offer of a node that does not exist costs the role for a moment, and once', async (t) => {
  // Anybody may write to the store. A leader that heeds each such offer would give the role up
  // every few seconds, and no lease would be renewed in time.
  const fleet = await smallFleet(t);
  offer(fleet, {});
  assert.ok(await fleet.time.advanceUntil(() => fleet.leader === undefined, 1_000));
  assert.ok(await fleet.time.advanceUntil(() => fleet.leader !== undefined, TAKEN_AGAIN_MS));
  const next = fleet.leader;
  for (let i = 0; i < 40; i += 1) {
    await fleet.time.advance(1_000);
    offer(fleet, {});
    assert.equal(fleet.leader, next);
  }
  await fleet.stop();
});

test('an offer that is broken, foreign to the term or of no larger node changes nothing', async (t) => {
  const fleet = await smallFleet(t);
  const firstLeader = fleet.leader!;
  const broken = [{ cores: '8' }, { cores: null }, { node: 7 }, { epoch: 1.5 }];
  const unfit = [{ epoch: 900 }, { cores: 0.5 }, { node: firstLeader.name }];
  for (const changes of [...broken, ...unfit]) {
    offer(fleet, changes);
    fleet.store.put(offerKey(), '{');
    await fleet.time.advance(300);
    assert.equal(fleet.leader, firstLeader, JSON.stringify(changes));
  }
  await fleet.stop();
});

test('a leader keeps the role while leases of the term before may not be renewed yet', async (t) => {
  const time = new VirtualTime(t);
  const fleet = new VirtualFleet(time);
  await fleet.addMany([SMALL, SMALL, SMALL]);
  await time.advanceUntil(() => fleet.leader !== undefined, 5_000);
  const firstLeader = fleet.leader;
  for (let i = 0; i < 7; i += 1) {
    await time.advance(1_000);
    offer(fleet, {});
    assert.equal(fleet.leader, firstLeader);
  }
  await fleet.stop();
});

test('while the store is slow no node offers to take the role', async (t) => {
  const fleet = await smallFleet(t);
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

test('between large nodes the role stays where it is', async (t) => {
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
