import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ReturnSchedule } from '../return-schedule.js';
import type { JobDelay } from '../start-delay.js';
import type { SpikeResult } from './load-spike.js';
import { simulateSpike } from './load-spike.js';

/** Of eight processors a quarter is left to callers who return: each of these jobs takes 500 ms. */
const DELAY: JobDelay = {
  key: 'pool reserved 0',
  delayMs: 1_500,
  inTimeMs: 1_000,
  limitMs: 1_400,
  work: 1_000,
  rate: 8,
};

const refuse = (schedule: ReturnSchedule, id: string, nowMs: number, nodes = 1): number =>
  schedule.decide(id, DELAY, nodes, nowMs).returnInMs!;

test('refused callers get successive return times, at the share of the node, of at most 10 s', () => {
  // Guards against callers who return together and are refused together again.
  const schedule = new ReturnSchedule();
  const times = Array.from({ length: 15 }, (_, i) => refuse(schedule, `job${i}`, 0));
  for (const [i, ms] of times.entries()) {
    // The first caller returns when the backlog has drained by 500 ms at a quarter of the rate.
    assert.ok(ms >= 2_000 + 500 * i && ms < 2_500 + 500 * i, `${times}`);
  }
  for (let i = 15; i < 100; i += 1) times.push(refuse(schedule, `job${i}`, 0));
  assert.ok(times.every((ms) => ms <= 10_000));
  assert.equal(new Set(times).size, times.length);
  const [first, second] = ['job0', 'job1'].map((id) => refuse(new ReturnSchedule(), id, 0, 4));
  assert.ok(first !== second && first! < 4_000 && second! < 4_000);
});

test('a caller that returns at its time is not refused for those who came after it', () => {
  // Guards against callers who return four times in vain because new ones take their places.
  const schedule = new ReturnSchedule();
  const returnMs = refuse(schedule, 'a', 0);
  refuse(schedule, 'b', 0);
  const early = schedule.decide('a', DELAY, 1, 1_000);
  assert.deepEqual([early.returnInMs, early.sinceRefusalMs], [returnMs - 1_000, 1_000]);
  assert.equal(schedule.decide('a', DELAY, 1, returnMs).returnInMs, undefined);
  // At another node, or after a restart, the job is new.
  assert.ok(new ReturnSchedule().decide('a', DELAY, 1, returnMs).returnInMs! > 0);
  assert.ok(schedule.decide('c', DELAY, 1, returnMs).returnInMs! > 0);
});

test('a caller whose work ahead was not completed in time is refused again', () => {
  // Guards against accepting a job that has become hopeless because workers were lost.
  const schedule = new ReturnSchedule();
  const returnMs = refuse(schedule, 'a', 0);
  const slow = { ...DELAY, delayMs: 12_000, rate: 1 };
  assert.ok(schedule.decide('a', slow, 1, returnMs).returnInMs! > 0);
  assert.equal(schedule.decide('a', undefined, 1, returnMs).returnInMs, undefined);
});

test('refused jobs are forgotten after 30 s, and the oldest of more than 10,000 at once', () => {
  // Guards against a node that runs out of memory in a long overload.
  const schedule = new ReturnSchedule();
  refuse(schedule, 'a', 0);
  assert.equal(schedule.decide('a', undefined, 1, 29_000).sinceRefusalMs, 29_000);
  assert.equal(schedule.decide('a', undefined, 1, 30_000).sinceRefusalMs, undefined);
  for (let i = 0; i <= 10_000; i += 1) refuse(schedule, `job${i}`, 40_000);
  assert.equal(schedule.decide('job0', undefined, 1, 40_000).sinceRefusalMs, undefined);
  assert.equal(schedule.decide('job1', undefined, 1, 40_000).sinceRefusalMs, 0);
});

function totalOf(mayRefuse: boolean): SpikeResult {
  const total = { met: 0, late: 0, missed: 0, refused: 0, refusals: 0 };
  for (let seed = 1; seed <= 10; seed += 1) {
    const result = simulateSpike(seed, mayRefuse);
    for (const key of ['met', 'late', 'missed', 'refused', 'refusals'] as const)
      total[key] += result[key];
  }
  return total;
}

test('in a load spike fewer jobs end too late, and about as many in time, if jobs are refused', (t) => {
  // Guards against accepting jobs that end after three times their objective, and against callers
  // who return so early that they delay the jobs of others.
  const [without, refusing] = [totalOf(false), totalOf(true)];
  t.diagnostic(`${JSON.stringify(without)} without refusals, ${JSON.stringify(refusing)} with`);
  assert.equal(refusing.refused, 0);
  assert.ok(refusing.missed < 0.95 * without.missed);
  assert.ok(refusing.met > 0.95 * without.met);
});
