import assert from 'node:assert/strict';
import { test } from 'node:test';
import { OverloadedCluster } from './overloaded-cluster.js';

/** A job that could go on has something at work after so long while under half is in use, in ms. */
const MAX_IDLE_MS = 3_000;

for (const seed of [1, 2, 3, 4]) {
  test(`with under half reserved each accepted job is at work while crowds wait, seed ${seed}`, () => {
    // Guards against jobs that are left alone beside unreserved processors, because services reserve
    // half of them for a while, or because others that can end in time are short of room.
    const cluster = new OverloadedCluster({ seed, services: [40, 60], watchedBelow: 50 });
    cluster.submitLate(60, 6);
    cluster.simulate(20, 60);
    cluster.simulate(15);
    assert.ok(cluster.longestIdleMs <= MAX_IDLE_MS, `${cluster.longestIdleMs} ms`);
  });
}

/** Under any load an accepted job that could go on has something at work after so long, in ms. */
const MAX_IDLE_UNDER_LOAD_MS = 15_000;

for (const seed of [1, 2, 3]) {
  test(`each accepted job has its turn in time under a load of 20, seed ${seed}`, () => {
    // Guards against jobs that are taken on and then wait without bound, as their number grows faster
    // than there are turns for them.
    const cluster = new OverloadedCluster({ seed, services: [85, 100], watchedBelow: 101 });
    for (let second = 0; second < 40; second += 1) {
      cluster.submitLate(100, 4);
      cluster.simulate(1, 10);
    }
    cluster.simulate(30);
    assert.ok(cluster.longestIdleMs <= MAX_IDLE_UNDER_LOAD_MS, `${cluster.longestIdleMs} ms`);
    assert.ok(cluster.refusedCount > 0);
  });
}
