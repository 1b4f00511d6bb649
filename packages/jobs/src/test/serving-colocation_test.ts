import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SchedulerHarness, jobSpec, stepSpec, workerEntry } from './scheduler-harness.js';

function serving(image: string, cpuMilli: number) {
  return stepSpec({ lasting: true, targetMs: 20, image, cpuMilli });
}

test('two serving images share a worker only where neither finds room elsewhere', () => {
  // Guards against workers closed to best-effort images one by one: a large worker with much free
  // drew serving tasks of every image, and what disturbs any of them found no place there.
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
