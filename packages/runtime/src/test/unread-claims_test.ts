import assert from 'node:assert/strict';
import type { TestContext } from 'node:test';
import { test } from 'node:test';
import { ClaimOrder } from '../internal/claim-order.js';
import { HandOver } from '../internal/hand-over.js';
import { UNREAD_TERM_MS } from '../internal/timing.js';
import { leaderKey } from '../internal/work-records.js';
import { leaderRecord } from './leader-record.js';
import type { VirtualNode } from './virtual-fleet.js';
import { VirtualFleet, VirtualTime } from './virtual-fleet.js';

// Guards against a leader that has not read the callers' jobs although other nodes have. It can neither
// accept jobs nor start long-running tasks again, its heartbeats come in time, and on a narrow link it
// needs seconds to read the jobs. This happens while nodes restart one after the other, where a node that
// has just started claims as early as the others.

/** Processor time of large and small nodes, in cores. */
const LARGE = 1.35;
const SMALL = 0.324;

/** Number of random seeds that are tried. */
const SEEDS = Number(process.env.SEEDS ?? 8);

/** Upper bound of the time until a node leads after all nodes lost power at once, in milliseconds. */
const POWER_RESTORED_MS = 4_000;

/** Longer than a node waits before a claim for any reason, in milliseconds. */
const OBSERVATION_MS = 10_000;

/** A view of the callers' log that was not refreshed for this long is old, in milliseconds. */
const OLD_VIEW_MS = 5_000;

/**
 * Upper bound of the time in which a leader without the jobs is replaced by a node that has just
 * started and reads them at once, in milliseconds: that node connects to the leader within 1.1 s.
 */
const UNREAD_LEADER_MS = 3_500;

/** How the leader ends. */
type LeaderEnd = 'loses power' | 'is killed' | 'is killed and restarts' | 'resigns';

const LEADER_ENDS: readonly LeaderEnd[] = [
  'loses power',
  'is killed',
  'is killed and restarts',
  'resigns',
];

/** The sizes, in cores, of the nodes that have read the jobs and of those that have not. */
interface FleetSizes {
  readonly read: readonly number[];
  readonly unread: readonly number[];
}

const FLEETS: readonly FleetSizes[] = [
  { read: [LARGE, LARGE], unread: [LARGE, LARGE, LARGE, LARGE] },
  { read: [SMALL, SMALL], unread: [LARGE, SMALL, SMALL, SMALL] },
  { read: [LARGE, SMALL], unread: [LARGE, SMALL, SMALL, SMALL] },
];

/** Calls `run` with a new fleet for each seed and each combination of sizes. */
async function forEachFleet(
  context: TestContext,
  run: (fleet: VirtualFleet, sizes: FleetSizes) => Promise<void>,
): Promise<void> {
  const time = new VirtualTime(context);
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    for (const sizes of FLEETS) {
      time.seed(seed);
      const fleet = new VirtualFleet(time, true);
      await run(fleet, sizes);
      await fleet.stop();
    }
  }
}

/** Starts a leader and nodes that have read the jobs. */
async function startFleet(fleet: VirtualFleet, { read }: FleetSizes): Promise<VirtualNode> {
  const { time } = fleet;
  const leader = fleet.add('first', LARGE);
  await time.advanceUntil(() => leader.isLeading, 5_000);
  await fleet.addMany(read);
  await time.advance(2_000 + time.randomInt(500));
  assert.ok(leader.isLeading && fleet.nodes.every(({ hasReadJobs }) => hasReadJobs));
  return leader;
}

/** Ends the leader; a restarted one never reads the jobs. */
async function endLeader(fleet: VirtualFleet, leader: VirtualNode, end: LeaderEnd): Promise<void> {
  const { time } = fleet;
  if (end === 'resigns') leader.retire();
  else if (end === 'loses power') leader.losePower();
  else leader.kill();
  if (end !== 'is killed and restarts') return;
  await time.advance(time.randomInt(400));
  fleet.add(leader.name, leader.cores, Infinity);
}

/** Waits until a node leads after `former`; returns that node. */
async function nextLeader(fleet: VirtualFleet, former: VirtualNode): Promise<VirtualNode> {
  const find = (): VirtualNode | undefined =>
    fleet.nodes.find((node) => node !== former && node.isLeading);
  assert.ok(await fleet.time.advanceUntil(() => find() !== undefined, OBSERVATION_MS));
  return find()!;
}

/** Collects which of the next leaders did not know the jobs, and fails the test if there are any. */
class NextLeaders {
  readonly #names: string[] = [];

  #count = 0;

  add({ name }: VirtualNode, knowsJobs: boolean): void {
    this.#count += 1;
    if (!knowsJobs) this.#names.push(name);
  }

  check(): void {
    const unread = this.#names.length;
    assert.equal(unread, 0, `${unread} of ${this.#count} did not know the jobs`);
  }
}

for (const end of LEADER_ENDS) {
  test(`a node that has read the jobs leads next when the leader ${end}`, async (t) => {
    const leaders = new NextLeaders();
    await forEachFleet(t, async (fleet, sizes) => {
      const leader = await startFleet(fleet, sizes);
      await fleet.addMany(sizes.unread, Infinity);
      await fleet.time.advance(fleet.time.randomInt(3_000));
      await endLeader(fleet, leader, end);
      const next = await nextLeader(fleet, leader);
      leaders.add(next, next.hasReadJobs);
    });
    leaders.check();
  });
}

// Guards against a leader whose view of the jobs is old although other nodes have a recent one.
test('a node with a recent view of the jobs leads next while the views of others are old', async (t) => {
  const leaders = new NextLeaders();
  await forEachFleet(t, async (fleet, sizes) => {
    const leader = await startFleet(fleet, sizes);
    await fleet.addMany(sizes.unread);
    await fleet.time.advance(1_000);
    const silent = fleet.nodes.slice(-sizes.unread.length);
    for (const { jobLog } of silent) jobLog.delayMs = Infinity;
    await fleet.time.advance(OLD_VIEW_MS);
    leader.losePower();
    const next = await nextLeader(fleet, leader);
    leaders.add(next, !silent.includes(next));
  });
  leaders.check();
});

// Guards against a node without the jobs that is preferred as the next leader.
test('a node that has not read the jobs is neither standby nor makes an offer', async (t) => {
  const time = new VirtualTime(t);
  const fleet = new VirtualFleet(time, true);
  await fleet.addMany([SMALL, SMALL]);
  await time.advanceUntil(() => fleet.leader !== undefined, 5_000);
  const unread = fleet.add('large', LARGE, Infinity);
  await time.advance(20_000);
  const { leader } = fleet.store;
  assert.ok(leader?.standby !== undefined && leader.standby !== unread.name, leader?.standby);
  assert.ok(!unread.events.some(({ event }) => event === 'offer'));
  unread.jobLog.delayMs = 0;
  await fleet.stop();
});

// Guards against leases that expire because no node claims without the jobs.
test('a node leads in time after all nodes lost power although none can read the jobs', async (t) => {
  const tookMs: number[] = [];
  const time = new VirtualTime(t);
  for (const sizes of [Array<number>(9).fill(SMALL), Array<number>(9).fill(LARGE)]) {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      time.seed(seed);
      const fleet = new VirtualFleet(time, seed % 2 === 0);
      const rec = {
        ...{ epoch: 1, node: 'n0', nonce: 'b', resigned: false, leasesMs: 6_000, formerMs: 0 },
        ...{ silent: {}, number: 1, cores: sizes[0], largestCores: LARGE },
      };
      // At the first start there is no leader's record.
      if (seed % 3 > 0) fleet.store.put(leaderKey(), JSON.stringify(rec));
      const sinceMs = time.nowMs;
      await fleet.addMany(sizes, Infinity);
      await time.advanceUntil(() => fleet.leader !== undefined, OBSERVATION_MS);
      tookMs.push(time.nowMs - sinceMs);
      await fleet.stop();
    }
  }
  const worstMs = Math.max(...tookMs);
  t.diagnostic(`worst ${worstMs} ms`);
  assert.ok(worstMs <= POWER_RESTORED_MS, `${worstMs} ms`);
});

// Guards against a delay that is too short where each call to the store takes longer.
test('a node that has read the jobs leads next with a slow store', async (t) => {
  const leaders = new NextLeaders();
  await forEachFleet(t, async (fleet, sizes) => {
    const leader = await startFleet(fleet, sizes);
    fleet.store.oneWayMs = 75;
    await fleet.addMany(sizes.unread, Infinity);
    await fleet.time.advance(4_000 + fleet.time.randomInt(1_000));
    assert.ok(leader.isLeading);
    leader.losePower();
    const next = await nextLeader(fleet, leader);
    leaders.add(next, next.hasReadJobs);
  });
  leaders.check();
});

// Guards against a leader that starts nothing, while its records come in time.
test('a leader that cannot read the jobs hands over to a node that has read them', async (t) => {
  // A node without the jobs became leader while no other node could. Guards against a term in which no
  // task starts for as long as this node needs to read the jobs, although others have read them since.
  const time = new VirtualTime(t);
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    time.seed(seed);
    const fleet = new VirtualFleet(time, true);
    const unread = fleet.add('unread', SMALL, Infinity);
    await time.advanceUntil(() => unread.isLeading, 5_000);
    await fleet.addMany([SMALL, SMALL, SMALL]);
    const isReplaced = await time.advanceUntil(
      () => fleet.leader?.hasReadJobs === true,
      UNREAD_LEADER_MS,
    );
    assert.ok(isReplaced, `seed ${seed}`);
    await fleet.stop();
  }
});

// Guards against leases that expire as each leader hands over to another one without the jobs.
test('the leadership does not go back and forth while no node can read the jobs', async (t) => {
  const time = new VirtualTime(t);
  const fleet = new VirtualFleet(time, true);
  await fleet.addMany([SMALL, SMALL, SMALL]);
  await time.advanceUntil(() => fleet.leader !== undefined, 5_000);
  await time.advance(3_000);
  // All nodes read the jobs again, each of them in vain.
  for (const { jobLog } of fleet.nodes) jobLog.delayMs = Infinity;
  for (const { jobLog } of fleet.nodes) jobLog.isExpired = true;
  const { epoch } = fleet.store.leader!;
  await time.advance(2_000);
  assert.ok(fleet.nodes.every(({ hasReadJobs }) => !hasReadJobs));
  await time.advance(28_000);
  const changes = fleet.store.leader!.epoch - epoch;
  t.diagnostic(`${changes} changes of leader in 30 s`);
  assert.ok(changes <= 3, `${changes} changes of leader`);
  await fleet.stop();
});

// Guards against the same where the standby is of a version that connects before it has the jobs.
test('a leader without the jobs does not hand over within ten seconds after another hand-over', () => {
  // Nodes of an earlier version connect to the leader before they have read the jobs. Guards against such
  // nodes that hand over to each other every two seconds.
  const handOver = new HandOver('n2', new ClaimOrder(SMALL));
  const first = leaderRecord({ epoch: 1, node: 'n1', nonce: '1' });
  handOver.leaderSeen(first, 0);
  handOver.leaderSeen({ ...first, resigned: true, successor: 'n2' }, 1_000);
  handOver.leaderSeen(leaderRecord({ epoch: 2, node: 'n2', nonce: '2' }), 1_500);
  assert.ok(!handOver.isDueForUnreadJobs(2, UNREAD_TERM_MS, 1_500 + UNREAD_TERM_MS));
  assert.ok(!handOver.isDueForUnreadJobs(2, 9_400, 10_900));
  assert.ok(handOver.isDueForUnreadJobs(2, 9_500, 11_000));
  assert.ok(!handOver.isDueForUnreadJobs(2, UNREAD_TERM_MS - 1, 20_000));
  handOver.handedOver(2);
  assert.ok(!handOver.isDueForUnreadJobs(2, 9_500, 11_000));
});
