import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ThrottleMessage, WorkerReport } from '@redwingcrank/protocol';
import { ControlFold } from '@redwingcrank/decisions';
import { Throttler } from '../internal/throttler.js';

const SWEEP_MS = 1_000;

function foldWithJob(): ControlFold {
  const fold = new ControlFold();
  const resources = { cpu: 1, memoryMb: 1, accelerators: 0 };
  const ref = { taskId: 'dc1/j/0', attempt: 1 };
  const host = { hostId: 'w0', rack: 'r0', address: '127.0.0.1:1', state: 'live' };
  const actions = [
    { type: 'host', ...host, capacity: resources },
    { type: 'bind', ...ref, kind: 'job', owner: 'j', hostId: 'w0', resources },
    { type: 'running', ...ref },
  ];
  fold.apply(0, { type: 'claim', id: 'a', term: 1, holder: 'n1' });
  fold.apply(1, { type: 'batch', id: 'b', term: 1, holder: 'n1', actions });
  return fold;
}

test('a share is sent once, again after a failed call, and by each new holder', async () => {
  // The previous holder throttled a task and died. Its successor does not know that; if it did not
  // send the full share, the task would stay throttled until its end. Then a call to the worker
  // fails and may have taken effect, so the same share is sent again, but not after a success.
  const sentShares: number[] = [];
  let share = 1;
  let callsFail = false;
  const workers = {
    throttle: (_address: string, message: ThrottleMessage): Promise<WorkerReport> => {
      sentShares.push(message.share);
      if (callsFail) return Promise.reject(new Error('no answer'));
      return Promise.resolve({} as WorkerReport);
    },
  };
  const colocation = { shareOf: (): number => share };
  const events = { emit: (): void => undefined };
  const throttler = new Throttler({ fold: foldWithJob(), colocation, workers, events });
  let now = 0;
  const sweep = async (): Promise<void> => {
    now += SWEEP_MS;
    throttler.sweep(now);
    await new Promise(setImmediate);
  };
  await sweep();
  await sweep();
  assert.deepEqual(sentShares, [1]);
  share = 0.5;
  callsFail = true;
  await sweep();
  callsFail = false;
  await sweep();
  await sweep();
  assert.deepEqual(sentShares, [1, 0.5, 0.5]);
  throttler.forget();
  await sweep();
  assert.deepEqual(sentShares, [1, 0.5, 0.5, 0.5]);
});
