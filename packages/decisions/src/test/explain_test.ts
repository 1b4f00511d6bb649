import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Reason, TaskExplanation } from '../index.js';
import { explainTask } from '../index.js';
import { Harness, hosts, job, service } from './plan-harness.js';

function reason<C extends Reason['code']>(
  explanation: TaskExplanation | undefined,
  code: C,
): Extract<Reason, { code: C }> | undefined {
  const isOfCode = (r: Reason): r is Extract<Reason, { code: C }> => r.code === code;
  return explanation?.reasons.find(isOfCode);
}

test('every state of a task is explained by its reasons', () => {
  const jobs = [job('full', 3, 10), job('huge', 1, 99), job('failing', 1, 1, { maxAttempts: 1 })];
  const harness = new Harness(hosts(2, 1, 16), { services: [service('s', 2)], jobs });
  harness.pass();
  harness.end('dc1/failing/0', 1, 'failed');
  harness.pass();
  const explain = (taskId: string): TaskExplanation | undefined =>
    explainTask(harness.input(), harness.unplaced, taskId);

  const replica = explain('dc1/s/0');
  assert.equal(replica?.status, 'starting');
  assert.deepEqual(reason(replica, 'peers'), { code: 'peers', onHost: 1, onRack: 1, all: 2 });

  const waiting = explain('dc1/full/2');
  assert.equal(waiting?.status, 'waiting');
  assert.equal(reason(waiting, 'waiting')?.reason, 'no-room');
  const { live, large, room } = reason(waiting, 'hosts') ?? {};
  assert.deepEqual([live, large, room], [2, 2, 0]);
  assert.equal(reason(waiting, 'quota')?.used.cpu, 24);

  const impossible = explain('dc1/huge/0');
  assert.equal(reason(impossible, 'waiting')?.reason, 'never-fits');
  assert.equal(reason(impossible, 'hosts')?.large, 0);

  const failed = explain('dc1/failing/0');
  assert.equal(failed?.status, 'given-up');
  assert.equal(reason(failed, 'last-attempt')?.outcome, 'failed');

  harness.manifest = { ...harness.manifest, jobs: [] };
  harness.pass();
  assert.equal(reason(explain('dc1/full/0'), 'revoked')?.reason, 'full is not in the manifest');
  assert.equal(explain('dc1/nothing/0'), undefined);
});
