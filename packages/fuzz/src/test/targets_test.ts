import assert from 'node:assert/strict';
import { test } from 'node:test';
import { TARGETS, runTarget } from '../index.js';

// The seed is fixed, so that CI gives the same result on each run; `npm run fuzz` uses other seeds.
const SEED = 20_261_202;

for (const target of TARGETS) {
  test(`${target.name} holds, and each of its coverage points was hit`, async () => {
    const run = await runTarget(target, { seed: SEED, runs: target.checkRuns });
    assert.equal(run.report, '', `seed ${SEED}`);
  });
}
