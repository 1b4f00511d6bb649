import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  EndpointHealth,
  MAX_QUEUE_WAIT_MS,
  RequestQueue,
  RetryBudget,
  ServiceRate,
  keyHome,
} from '../index.js';

function rateOf(meanMs: number): ServiceRate {
  const rate = new ServiceRate();
  rate.sample(meanMs);
  return rate;
}

test('the queue serves the earliest deadline first and refuses requests that would be late', () => {
  // One slot of 50 ms: two requests wait 100 ms, so a third with 120 ms left cannot be answered.
  const queue = new RequestQueue<string>(rateOf(50));
  assert.equal(queue.offer('late', 1_000, 1, 0).type, 'queued');
  assert.equal(queue.offer('early', 500, 1, 0).type, 'queued');
  assert.deepEqual(queue.offer('hopeless', 120, 1, 0), { type: 'refused', retryAfterS: 1 });
  assert.deepEqual([queue.take(), queue.take(), queue.take()], ['early', 'late', undefined]);
});

test('the length of the queue is limited by the maximum wait', () => {
  // 1000 requests at once with ten seconds each: all could meet their deadlines, but each waiting
  // request delays those behind it without adding throughput.
  const queue = new RequestQueue<number>(rateOf(50));
  const slots = 4;
  for (let i = 0; i < 1_000; i += 1) queue.offer(i, 10_000, slots, 0);
  assert.equal(queue.length, (MAX_QUEUE_WAIT_MS * slots) / 50);
});

test('in an outage one in ten requests is retried once the saved tokens are used up', () => {
  const budget = new RetryBudget();
  let sent = 0;
  for (let i = 0; i < 1_000; i += 1) {
    budget.addRequest();
    if (budget.takeToken()) sent += 1;
  }
  assert.ok(sent >= 100 && sent <= 110, `${sent} retries`);
});

test('a silent endpoint is ejected, probed by one request, and reopened', () => {
  const health = new EndpointHealth();
  for (let i = 0; i < 3; i += 1) health.silent('a', 0);
  assert.equal(health.stateOf('a', 1_999), 'ejected');
  assert.equal(health.stateOf('a', 2_000), 'probe');
  health.sent('a', 2_000);
  assert.equal(health.stateOf('a', 2_000), 'ejected');
  health.silent('a', 2_500);
  assert.equal(health.stateOf('a', 6_000), 'ejected');
  health.sent('a', 6_500);
  health.answered('a', 5, 6_505);
  assert.equal(health.stateOf('a', 6_505), 'open');
});

test('a key that names a data centre has its home there, in whatever order hosts are given', () => {
  const hosts = ['dc1', 'dc2', 'dc3'].flatMap((dataCentre) =>
    ['n1', 'n2'].map((name) => ({ nodeId: `${dataCentre}-${name}`, dataCentre })),
  );
  const homes = new Set<string>();
  for (let i = 0; i < 100; i += 1) {
    assert.match(keyHome(`dc2/${i}`, hosts) ?? '', /^dc2-/);
    homes.add(keyHome(`${i}`, hosts) ?? '');
    assert.equal(keyHome(`${i}`, hosts), keyHome(`${i}`, [...hosts].reverse()));
  }
  assert.equal(homes.size, hosts.length);
});
