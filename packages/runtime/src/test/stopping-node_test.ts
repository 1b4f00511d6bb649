import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VirtualFleet, VirtualTime } from './virtual-fleet.js';

const CORES = 1.35;

/** Number of random seeds that are tried. */
const SEEDS = Number(process.env.SEEDS ?? 30);

/** Upper bound of the time in which a node that stops is replaced as leader, in milliseconds. */
const REPLACED_MS = 2_000;

/** Latency of a call to the store, and again of its answer, in milliseconds. */
const STORE_ONE_WAY_MS = 60;

// Guards against a leader that leads for its whole grace period without being replaced: it was stopped
// while its claim was in flight, had no term to resign at that moment, and renews its records.
test('a node that is stopped while its claim is in flight resigns when the claim is stored', async (t) => {
  const time = new VirtualTime(t);
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    time.seed(seed);
    const fleet = new VirtualFleet(time);
    await fleet.addMany([CORES, CORES, CORES, CORES]);
    assert.ok(await time.advanceUntil(() => fleet.leader !== undefined, 5_000));
    fleet.store.oneWayMs = STORE_ONE_WAY_MS;
    await time.advance(3_000);
    fleet.store.claimant = undefined;
    fleet.leader!.losePower();
    assert.ok(await time.advanceUntil(() => fleet.store.claimant !== undefined, 5_000));
    const stopped = fleet.nodes.find(({ name }) => name === fleet.store.claimant)!;
    stopped.retire();
    const isReplaced = (): boolean => fleet.leader !== undefined && fleet.leader !== stopped;
    const hasSuccessor = await time.advanceUntil(isReplaced, REPLACED_MS);
    assert.ok(hasSuccessor, `seed ${seed}: ${stopped.name} is not replaced`);
    await time.advance(1_000);
    assert.ok(!stopped.isLeading, `seed ${seed}: ${stopped.name} still leads`);
    await fleet.stop();
  }
});
