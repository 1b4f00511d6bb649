import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SchedulerHarness, jobSpec, stepSpec, workerEntry } from './scheduler-harness.js';

function serving(image: string, cpuMilli: number) {
  return stepSpec({ lasting: true, targetMs: 20, image, cpuMilli });
}

test('two serving images share a worker only if there is no capacity elsewhere', () => {
  // Guards against workers that become closed to best-effort images one after the other: a large
  // worker with much free capacity attracted serving tasks of every image, and best-effort images
  // that interfere with any of them could not be placed there.
  const large = { capacity: { cpuMilli: 48_000, memMb: 128_000, gpus: 0 } };
  const harness = new SchedulerHarness([workerEntry('large', large), workerEntry('small')]);
  harness.submit(jobSpec([serving('web', 8_000)], { id: '00000000000000a1' }));
  harness.submit(jobSpec([serving('api', 3_000)], { id: '00000000000000a2' }));
  harness.submit(jobSpec([serving('api', 3_000)], { id: '00000000000000a3' }));
  harness.submit(jobSpec([serving('api', 3_000)], { id: '00000000000000a4' }));
  assert.deepEqual(
    harness.starts().map(({ worker }) => worker),
    ['large', 'small', 'small', 'large'],
  );
});
