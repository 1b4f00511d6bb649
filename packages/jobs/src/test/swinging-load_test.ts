import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SwingingCluster } from './swinging-cluster.js';

/** How long a serving task may miss its target by the doing of best-effort tasks, in milliseconds. */
const IMPACT_MS = 4_500;

/** What is left of that for a leader that is slow or has just taken over, in milliseconds. */
const MARGIN_MS = 1_500;

/** Submissions of best-effort jobs of two steps of twenty tasks, a second: half and all that fit. */
const RATES = [0.8, 1.6];

for (const rate of RATES) {
  test(`beside a serving load with a period, ${rate} wide best-effort jobs a second are slowed only beside missed targets`, (t) => {
    // Guards against best-effort tasks that are halted at each crest for a target that nobody misses,
    // and against targets that are missed for as long as their users were promised they are not.
    for (const seed of [1, 2, 3]) {
      const cluster = new SwingingCluster(seed);
      cluster.simulate(40, rate);
      const { needlessSlowdowns, longestMissMs, inTime, submitted, missedS } = cluster;
      t.diagnostic(`${inTime} of ${submitted} jobs in time, targets missed for ${missedS} s`);
      assert.equal(needlessSlowdowns, 0, `seed ${seed}`);
      assert.ok(
        longestMissMs <= IMPACT_MS - MARGIN_MS,
        `seed ${seed}: missed for ${longestMissMs} ms`,
      );
    }
  });
}
