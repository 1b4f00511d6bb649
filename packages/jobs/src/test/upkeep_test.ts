import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CallFate } from './upkeep-cluster.js';
import { UpkeepCluster } from './upkeep-cluster.js';

const LIMITED = { taskCount: 10, maxUnavailable: 2 };

const names = (from: number, to: number): string[] =>
  Array.from({ length: to - from }, (_, i) => `m${from + i}`);

test('a wave of 12 machines under full load is completed in time, within its limits', () => {
  // The cluster checks the limits at each call and stop.
  const cluster = new UpkeepCluster(24, LIMITED);
  cluster.wave(1, names(0, 12), 20_000, 3);
  const tookMs = cluster.run(20_000);
  assert.equal(cluster.calls.length, 12);
  assert.ok(tookMs > 8_000, `four batches of 2 s cannot take ${tookMs} ms`);
});

test('short tasks are left to end while the wave has time', () => {
  // Guards against machines that are called at once, which ends all tasks there.
  const cluster = new UpkeepCluster(8, { taskCount: 1 });
  cluster.wave(1, names(0, 2), 20_000, 1);
  const gone = (): number[] =>
    cluster.harness.fieldsOf('worker-gone').map(({ runs }) => Number(runs));
  cluster.run(20_000);
  for (let i = 0; i < 30; i += 1) cluster.step();
  assert.deepEqual(gone(), [0, 0]);
});

test('tasks that maintenance ends are released without blame', () => {
  // Without the release they would wait for the end of their leases; with a crash weight they
  // would be placed apart, and fail their jobs after some waves.
  const cluster = new UpkeepCluster(8, { taskCount: 1 });
  cluster.wave(1, names(0, 2), 1_000, 2);
  cluster.run(4_000);
  for (let i = 0; i < 10; i += 1) cluster.step();
  const gone = cluster.harness.fieldsOf('worker-gone');
  assert.deepEqual(
    gone.map(({ why }) => why),
    ['upkeep', 'upkeep'],
  );
  assert.ok(gone.some(({ runs }) => Number(runs) > 0));
  assert.deepEqual(cluster.harness.fieldsOf('worker-crash'), []);
});

const FATES: Readonly<Record<string, CallFate>> = {
  'without an answer that is carried out': [true, 'unknown'],
  'without an answer that is not carried out': [false, 'unknown'],
  'refused as busy': [false, 'busy'],
  'refused as of another wave': [false, 'other-wave'],
  'beyond the rate': [false, 'limited'],
  'for a machine that is not known': [false, 'no-machine'],
};

for (const [name, fate] of Object.entries(FATES)) {
  test(`the first call for each machine is ${name}: the wave is completed within its limits`, () => {
    const cluster = new UpkeepCluster(16, LIMITED);
    const called = new Set<string>();
    cluster.fateOf = ({ machine }) => {
      const isFirst = !called.has(machine);
      called.add(machine);
      return isFirst ? fate : [true, 'done'];
    };
    cluster.wave(1, names(0, 6), 30_000, 2);
    cluster.run(45_000);
    assert.equal(cluster.calls.length, 12);
  });
}

test('a machine whose call is refused stays closed, except where the platform does not know it', () => {
  // Guards against a machine that fills up between two calls, and against one that never opens.
  for (const outcome of ['limited', 'other-wave'] as const) {
    const cluster = new UpkeepCluster(8, { taskCount: 1 });
    cluster.fateOf = () => [false, outcome];
    cluster.wave(1, ['m0'], 1_000, 1);
    while (cluster.calls.length < 5) cluster.step();
    for (let i = 0; i < 15; i += 1) cluster.step();
    const { isClosedForUpkeep, runs } = cluster.harness.scheduler.workers.get('m0-0')!;
    assert.deepEqual(
      [isClosedForUpkeep, runs.size > 0],
      [outcome === 'limited', outcome !== 'limited'],
    );
  }
});

test('leaders that die with calls under way leave a wave that is completed within its limits', () => {
  const cluster = new UpkeepCluster(16, LIMITED);
  let count = 0;
  cluster.fateOf = () => {
    count += 1;
    return count % 3 === 0 ? [true, 'unknown'] : [true, 'done'];
  };
  cluster.wave(1, names(0, 8), 30_000, 2);
  for (let i = 0; i < 20; i += 1) {
    for (let k = 0; k < 31 && cluster.completed.size === 0; k += 1) cluster.step();
    if (cluster.completed.size === 0) cluster.changeLeader();
  }
  assert.equal(cluster.completed.size, 1);
});

for (const isLeaderReplaced of [false, true]) {
  test(`an unanswered call counts although its repeat is refused, leader replaced: ${isLeaderReplaced}`, () => {
    // Guards against a second machine that is called before the first call is carried out.
    const cluster = new UpkeepCluster(8, { taskCount: 1 });
    const fates: CallFate[] = [
      [true, 'unknown', 1_500],
      [false, 'busy'],
    ];
    cluster.fateOf = () => fates.shift() ?? [true, 'done'];
    cluster.wave(1, names(0, 3), 1_000, 1);
    while (cluster.calls.length === 0) cluster.step();
    if (isLeaderReplaced) cluster.changeLeader();
    cluster.run(30_000);
    assert.deepEqual(
      cluster.calls.slice(0, 3).map(({ machine }) => machine),
      ['m0', 'm0', 'm0'],
    );
  });
}

test('machines that crash, leave for good, or announce that they leave do not block a wave', () => {
  const cluster = new UpkeepCluster(16, LIMITED);
  cluster.wave(1, names(0, 6), 30_000, 2);
  const [, crashing, leaving, announcing] = cluster.machines;
  cluster.crash(crashing!, true);
  cluster.crash(leaving!, false);
  const { scheduler, nowMs } = cluster.harness;
  const { entry } = scheduler.workers.get('m3-0')!;
  scheduler.listWorker({ ...entry, draining: true, remainingMs: 5_000 }, nowMs);
  for (let i = 0; i < 50; i += 1) cluster.step();
  assert.ok(!cluster.calls.some(({ machine }) => machine === announcing!.name));
  cluster.crash(announcing!, false);
  const tookMs = cluster.run(40_000);
  assert.ok(tookMs >= 9_500, 'a machine was dropped before it was gone for 10 s');
  assert.deepEqual([...new Set(cluster.calls.map(({ machine }) => machine))].sort(), [
    ...['m0', 'm1', 'm4', 'm5'],
  ]);
});

test('two waves that share machines each call them, within the limits of both', () => {
  const cluster = new UpkeepCluster(16, LIMITED);
  cluster.wave(1, names(0, 6), 30_000, 3);
  cluster.wave(2, names(4, 8), 40_000, 1);
  cluster.run(60_000);
  const called = cluster.calls.map(({ wave, machine }) => `${wave} ${machine}`);
  assert.equal(new Set(called).size, 10);
});

test('maintenance goes on in an evacuated data centre, and nothing is started there', () => {
  const cluster = new UpkeepCluster(16, LIMITED);
  cluster.harness.scheduler.setEvacuated(new Set(['a']), cluster.harness.nowMs);
  cluster.wave(1, names(0, 6), 30_000, 2);
  cluster.run(30_000);
  for (let i = 0; i < 30; i += 1) cluster.step();
  for (const { name, runs } of cluster.machines.filter(({ life }) => life > 0))
    assert.equal(runs.size > 0, Number(name.slice(1)) % 2 === 1, name);
});

test('a limit on unavailable tasks outlasts the deadline of a wave', () => {
  // Each machine has a task of the step, and there is room for none elsewhere.
  const limited = { taskCount: 4, maxUnavailable: 1, cpuMilli: 8_000 };
  const cluster = new UpkeepCluster(4, limited, { isFull: false });
  cluster.wave(1, names(0, 4), 3_000, 4);
  const tookMs = cluster.run(60_000);
  assert.ok(tookMs > 3 * 3_000, `took ${tookMs} ms`);
});

test('without a recent list no machine is called, and none stays closed', () => {
  const cluster = new UpkeepCluster(8, { ...LIMITED, taskCount: 6 });
  cluster.isListAway = true;
  cluster.wave(1, names(0, 4), 20_000, 2);
  for (let i = 0; i < 40; i += 1) cluster.step();
  const called = cluster.calls.map(({ worker }) => worker);
  for (let i = 0; i < 150; i += 1) cluster.step();
  assert.equal(cluster.calls.length, called.length);
  const closed = [...cluster.harness.scheduler.workers].filter(
    ([, state]) => state.isClosedForUpkeep,
  );
  assert.ok(closed.every(([id]) => called.includes(id)));
  cluster.isListAway = false;
  cluster.run(20_000);
});

test('a machine that returns from maintenance under the id of its worker takes tasks at once', () => {
  // Guards against a worker that counts as down for ten seconds because its id is the former one.
  const cluster = new UpkeepCluster(8, { taskCount: 1 }, { keepsIds: true });
  cluster.wave(1, ['m1'], 4_000, 1);
  const machine = cluster.machines.find(({ name }) => name === 'm1')!;
  while (machine.life === 0 || machine.state !== 'up') cluster.step();
  const upMs = cluster.harness.nowMs;
  while (machine.runs.size === 0) cluster.step();
  const closedMs = cluster.harness.nowMs - upMs;
  assert.ok(closedMs <= 1_000, `closed for ${closedMs} ms, the list is read every 500 ms`);
  assert.equal(cluster.calls.length, 1);
});
