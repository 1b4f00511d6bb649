import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AGING_MS, SchedulingMemory } from '../index.js';
import { Harness, hosts, job, service } from './plan-harness.js';

test('a lost rack costs each service one replica, which the next pass replaces', () => {
  // 45 workers, eight to a rack. A rack fails: callers must find at least five of six replicas, and
  // one pass later a sixth one, on a rack with at most one other.
  const services = Array.from({ length: 12 }, (_, i) => service(`s${i}`, 6, 4));
  const harness = new Harness(hosts(45, 8), { services });
  harness.pass();
  for (const { name } of services) {
    assert.deepEqual(new Set(Object.values(harness.perRack(name))), new Set([1]), name);
  }
  harness.listed = harness.listed.filter((host) => host.rack !== 'r2');
  harness.pass();
  harness.endRevoked();
  for (const { name } of services) {
    const counts = Object.entries(harness.perRack(name));
    assert.equal(
      counts.reduce((sum, [, count]) => sum + count, 0),
      6,
    );
    assert.ok(counts.every(([rack, count]) => rack !== 'r2' && count <= 2));
  }
});

test('a service that shrinks ends the replicas that share their rack with the most others', () => {
  const harness = new Harness(hosts(4, 2), { services: [service('s', 6)] });
  harness.pass();
  harness.manifest = { ...harness.manifest, services: [service('s', 2)] };
  harness.pass();
  harness.endRevoked();
  assert.deepEqual(harness.perRack('s'), { r0: 1, r1: 1 });
});

test('a host that a pass declares as leaving gets no tasks in the same pass', () => {
  const harness = new Harness(hosts(2, 2), { jobs: [job('j', 4)] });
  harness.listed = harness.listed.map((h) => (h.hostId === 'w0' ? { ...h, state: 'leaving' } : h));
  harness.pass();
  assert.ok([...harness.fold.tasks.values()].every((task) => task.hostId === 'w1'));
});

test('teams that demand more than the capacity share it by weight, within their quotas', () => {
  const teams = [
    { name: 'a', quota: { cpu: 100, memoryMb: 1e6, accelerators: 0 }, weight: 1 },
    { name: 'b', quota: { cpu: 100, memoryMb: 1e6, accelerators: 0 }, weight: 3 },
    { name: 'c', quota: { cpu: 4, memoryMb: 1e6, accelerators: 0 }, weight: 9 },
  ];
  const jobs = ['a', 'b', 'c'].map((team) => job(`j${team}`, 100, 1, { team }));
  const harness = new Harness(hosts(2, 2), { teams, jobs });
  harness.pass();
  const placed = (owner: string): number => harness.fold.tasksOf(owner).size;
  assert.deepEqual([placed('ja'), placed('jb'), placed('jc')], [15, 45, 4]);
  assert.equal(harness.unplaced.find(({ owner }) => owner === 'jc')?.reason, 'quota');
});

test('a deadline at risk goes first within its tier, and waiting raises the tier of a job', () => {
  // One core runs a task every half minute. The job with a deadline waits until only one more run
  // time is left. The job of the lowest tier waits until its waiting time raises it by one tier.
  const deadline = new Date(200_000).toISOString();
  const jobs = [
    job('low', 1, 1, { tier: 'low' }),
    job('normal', 50),
    job('due', 2, 1, { deadline, team: 'b' }),
    job('high', 1, 1, { tier: 'high' }),
  ];
  const harness = new Harness(hosts(1, 1, 1), { jobs });
  const memory = new SchedulingMemory();
  const order: string[] = [];
  for (let nowMs = 0; nowMs <= AGING_MS; nowMs += 30_000) {
    harness.pass({ ...harness.input(), nowMs, memory });
    const running = [...harness.fold.tasks.values()].find((task) => task.state !== 'ended');
    order.push(running?.owner ?? 'none');
    if (running) harness.end(running.taskId, running.attempt, 'completed');
  }
  const others = new Map([
    [0, 'high'],
    [3, 'due'],
    [4, 'due'],
    [20, 'low'],
  ]);
  assert.deepEqual(
    order,
    Array.from({ length: 21 }, (_, i) => others.get(i) ?? 'normal'),
  );
});

test('an urgent task in a full data centre causes the fewest and least valuable evictions', () => {
  // Every core runs batch work when an urgent task of four cores is submitted. Two low-tier tasks
  // of two cores run on one host; all other tasks are more valuable. While the workers stop these
  // two, later passes must neither evict more tasks nor assign the freed capacity to waiting ones.
  const jobs = [
    job('normal', 7, 4),
    job('low', 2, 2, { tier: 'low' }),
    job('waiting', 50, 1, { tier: 'high' }),
  ];
  const harness = new Harness(hosts(4, 2, 8), { jobs: jobs.slice(0, 2) });
  harness.pass();
  const urgent = job('urgent', 1, 4, { urgent: true });
  harness.manifest = { ...harness.manifest, jobs: [...jobs, urgent] };
  const revoked = harness.pass().flatMap((a) => (a.type === 'revoke' ? [a.taskId] : []));
  assert.deepEqual(revoked.sort(), ['dc1/low/0', 'dc1/low/1']);
  assert.equal(harness.unplaced.find((u) => u.owner === 'urgent')?.reason, 'eviction-pending');
  assert.deepEqual(harness.pass(), []);
  harness.endRevoked();
  const bound = harness.pass().flatMap((a) => (a.type === 'bind' ? [a.taskId] : []));
  assert.deepEqual(bound, ['dc1/urgent/0']);
});

test('5,000 cancelled jobs are revoked in one pass', () => {
  const jobs = Array.from({ length: 5_000 }, (_, i) => job(`j${i}`, 1));
  const harness = new Harness(hosts(160, 8), { jobs });
  harness.pass();
  harness.manifest = { ...harness.manifest, jobs: [] };
  const actions = harness.pass();
  assert.equal(actions.filter((action) => action.type === 'revoke').length, 5_000);
  assert.deepEqual(harness.pass(), []);
});

test('a job that can never run is reported at once with the reason', () => {
  const jobs = [
    job('huge', 1, 64),
    job('astray', 1, 1, { racks: ['r9'] }),
    job('greedy', 1, 1, { resources: { cpu: 1, memoryMb: 2e9, accelerators: 0 } }),
    job('failing', 1, 1, { maxAttempts: 1 }),
  ];
  const harness = new Harness(hosts(2, 2), { jobs });
  harness.pass();
  harness.end('dc1/failing/0', 1, 'failed');
  harness.pass();
  const reasons = Object.fromEntries(harness.unplaced.map(({ owner, reason }) => [owner, reason]));
  assert.deepEqual(reasons, {
    huge: 'never-fits',
    astray: 'no-such-rack',
    greedy: 'never-fits',
    failing: 'attempts-exhausted',
  });
});
