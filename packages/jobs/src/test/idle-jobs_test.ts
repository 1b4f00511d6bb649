import assert from 'node:assert/strict';
import { test } from 'node:test';
import { OverloadedCluster } from './overloaded-cluster.js';

/**
 * The maximum time for which a job is idle while less than half of the processors are reserved, in
 * milliseconds.
 */
const MAX_IDLE_MS = 3_000;

for (const seed of [1, 2, 3, 4]) {
  test(`with less than half reserved, no accepted job stays idle behind a backlog, seed ${seed}`, () => {
    // Guards against jobs that stay idle beside unreserved processors, because services reserve
    // half of them for a while, or because other jobs that can end in time lack capacity.
    const cluster = new OverloadedCluster({ seed, services: [40, 60], watchedBelow: 50 });
    cluster.submitLate(60, 6);
    cluster.simulate(20, 60);
    cluster.simulate(15);
    assert.ok(cluster.longestIdleMs <= MAX_IDLE_MS, `${cluster.longestIdleMs} ms`);
  });
}

/** The maximum time for which an accepted job is idle under any load, in milliseconds. */
const MAX_IDLE_UNDER_LOAD_MS = 15_000;

for (const seed of [1, 2, 3]) {
  test(`each accepted job has a priority start in time under a load of 20, seed ${seed}`, () => {
    // Guards against accepting jobs that then wait without bound, because idle jobs are added
    // faster than priority starts are available for them.
    const cluster = new OverloadedCluster({ seed, services: [85, 100], watchedBelow: 101 });
    for (let second = 0; second < 40; second += 1) {
      cluster.submitLate(100, 4);
      cluster.simulate(1, 10);
    }
    cluster.simulate(30);
    assert.ok(cluster.longestIdleMs <= MAX_IDLE_UNDER_LOAD_MS, `${cluster.longestIdleMs} ms`);
    assert.ok(cluster.rejectedCount > 0);
  });
}
