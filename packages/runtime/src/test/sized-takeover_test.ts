import assert from 'node:assert/strict';
import type { TestContext } from 'node:test';
import { test } from 'node:test';
import { leaderKey } from '../internal/work-records.js';
import type { VirtualNode } from './virtual-fleet.js';
import { VirtualFleet, VirtualTime } from './virtual-fleet.js';

// Guards against a small node that replaces a dead leader although large nodes are alive. A node with a
// third of a core needs many seconds to reach the workers and to decide for all jobs; meanwhile it
// counts as dead and is replaced by another small node. Until a leader renews the leases, long-running
// tasks are down: for 18 s and more with 34 nodes. This happens where all nodes draw their wait before
// a claim from the same range, and where a leader never hands over to a larger node.

/** Processor time of large and small nodes, in cores. */
const LARGE = 1.35;
const SMALL = 0.324;

/** Number of random seeds that are tried. */
const SEEDS = Number(process.env.SEEDS ?? 30);

/** Upper bound of the time in which a dead leader is replaced, in milliseconds. */
const TAKEOVER_MS = 2_000;

/** The same where only small nodes are alive. */
const SMALL_TAKEOVER_MS = 2_400;

/** The same with a slow store: the longest lease of a worker, which the next leader must renew. */
const SLOW_STORE_TAKEOVER_MS = 6_000;

/**
 * The same with 0.6 s for each call: a lease of six seconds may be a second old, and another second is
 * left to store the claim and to reach the workers.
 */
const VERY_SLOW_STORE_TAKEOVER_MS = 4_000;

/** The time by which the answer to a read is late once, in milliseconds. */
const LATE_READ_MS = 700;

/** Upper bound of the time from the return of the store until a node leads, in milliseconds. */
const RETURNED_STORE_TAKEOVER_MS = 2_000;

/** Upper bound of the time until a node leads after all nodes lost power at once, in milliseconds. */
const POWER_RESTORED_MS = 4_000;

/** Returns the sizes of the given numbers of large and small nodes, in cores. */
function sizes(large: number, small: number): number[] {
  return [...Array<number>(large).fill(LARGE), ...Array<number>(small).fill(SMALL)];
}

/** Collects the outcomes of several takeovers. */
class Tally {
  readonly #tookMs: number[] = [];

  readonly #claims: number[] = [];

  #byLarge = 0;

  #count = 0;

  /** Adds a takeover; `winner` is undefined where no node became leader. */
  add(winner: VirtualNode | undefined, tookMs: number, claims: number): void {
    this.#count += 1;
    if (winner?.cores === LARGE) this.#byLarge += 1;
    this.#tookMs.push(winner ? tookMs : Infinity);
    this.#claims.push(claims);
  }

  get bySmallOrNone(): number {
    return this.#count - this.#byLarge;
  }

  get maxTookMs(): number {
    return Math.max(...this.#tookMs);
  }

  /** Writes a summary to the output of the test. */
  report(context: TestContext): void {
    const took = this.#tookMs.toSorted((a, b) => a - b);
    const claims = this.#claims.toSorted((a, b) => a - b);
    const middle = Math.floor(this.#count / 2);
    context.diagnostic(
      `by a large node ${this.#byLarge} of ${this.#count}; after ms: median ${took[middle]}, ` +
        `worst ${took.at(-1)}; claims sent: median ${claims[middle]}, most ${claims.at(-1)}`,
    );
  }
}

/** Runs one takeover for each seed, each in a new fleet. */
async function takeovers(
  context: TestContext,
  takeOver: (fleet: VirtualFleet, tally: Tally) => Promise<void>,
): Promise<Tally> {
  const time = new VirtualTime(context);
  const tally = new Tally();
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    time.seed(seed);
    const fleet = new VirtualFleet(time);
    await takeOver(fleet, tally);
    await fleet.stop();
  }
  tally.report(context);
  return tally;
}

/** Cuts the power of the leader; adds to the tally which node replaces it, and how long that takes. */
async function replaceDeadLeader(fleet: VirtualFleet, tally: Tally): Promise<void> {
  const { time, store } = fleet;
  const formerLeader = fleet.leader!;
  formerLeader.losePower();
  store.claimCount = 0;
  const sinceMs = time.nowMs;
  await time.advanceUntil(() => fleet.leader !== undefined, 10_000);
  const tookMs = time.nowMs - sinceMs;
  await time.advance(500);
  tally.add(fleet.leader, tookMs, store.claimCount);
}

test('a large node replaces a dead leader while large nodes are alive', async (t) => {
  const tally = await takeovers(t, async (fleet, outcomes) => {
    // The leader starts before all others, so that they know of a large leader.
    fleet.add('first', LARGE);
    await fleet.time.advanceUntil(() => fleet.leader !== undefined, 5_000);
    await fleet.addMany(sizes(3, 9));
    await fleet.time.advance(2_000 + fleet.time.randomInt(500));
    await replaceDeadLeader(fleet, outcomes);
  });
  assert.equal(tally.bySmallOrNone, 0);
  assert.ok(tally.maxTookMs <= TAKEOVER_MS, `${tally.maxTookMs}`);
});

test('a large node replaces a leader that is lost while the store is away', async (t) => {
  // Each node has read the records before the outage at times of its own. Guards against a small node
  // that claims first because the large ones read them late, and take the leader for a slow one.
  const tally = await takeovers(t, async (fleet, outcomes) => {
    const { time, store } = fleet;
    fleet.add('first', LARGE);
    await time.advanceUntil(() => fleet.leader !== undefined, 5_000);
    await fleet.addMany(sizes(3, 9));
    await time.advance(2_000 + time.randomInt(500));
    for (const node of fleet.nodes) if (node.cores === LARGE) node.readDelayMs = LATE_READ_MS;
    await time.advance(LATE_READ_MS + 500);
    for (const node of fleet.nodes) node.readDelayMs = 0;
    await time.advance(300 + time.randomInt(300));
    store.isDown = true;
    await time.advance(2_500);
    fleet.leader!.losePower();
    await time.advance(2_500);
    store.isDown = false;
    store.claimCount = 0;
    const sinceMs = time.nowMs;
    await time.advanceUntil(() => fleet.leader !== undefined, 10_000);
    const tookMs = time.nowMs - sinceMs;
    await time.advance(500);
    outcomes.add(fleet.leader, tookMs, store.claimCount);
  });
  assert.equal(tally.bySmallOrNone, 0);
  assert.ok(tally.maxTookMs <= RETURNED_STORE_TAKEOVER_MS, `${tally.maxTookMs}`);
});

test('a dead leader is replaced while the store takes 0.3 s for each call', async (t) => {
  // With such a store each view is older than 0.9 s before the next answer arrives. Guards against
  // taking that for a silence of the store, which restarts the count of the leader's silence each time:
  // no node would ever claim.
  const tally = await takeovers(t, async (fleet, outcomes) => {
    fleet.add('first', LARGE);
    await fleet.time.advanceUntil(() => fleet.leader !== undefined, 5_000);
    await fleet.addMany(sizes(3, 9));
    fleet.store.oneWayMs = 150;
    await fleet.time.advance(6_000 + fleet.time.randomInt(500));
    assert.equal(fleet.leader?.name, 'first');
    await replaceDeadLeader(fleet, outcomes);
  });
  assert.ok(tally.maxTookMs <= SLOW_STORE_TAKEOVER_MS, `${tally.maxTookMs}`);
});

test('a leader is replaced before its leases expire while the store takes 0.6 s for each call', async (t) => {
  // Guards against leases of six seconds that expire while another node repeats its reads until it
  // counts the leader as dead. After a power loss no closed connection shows that the leader has ended.
  const tally = await takeovers(t, async (fleet, outcomes) => {
    fleet.add('first', LARGE);
    await fleet.time.advanceUntil(() => fleet.leader !== undefined, 5_000);
    await fleet.addMany(sizes(3, 9));
    fleet.store.oneWayMs = 300;
    await fleet.time.advance(10_000 + fleet.time.randomInt(1_000));
    assert.equal(fleet.leader?.name, 'first');
    await replaceDeadLeader(fleet, outcomes);
  });
  assert.ok(tally.maxTookMs <= VERY_SLOW_STORE_TAKEOVER_MS, `${tally.maxTookMs}`);
});

test('a small node takes over almost as fast where only small nodes are alive', async (t) => {
  const tally = await takeovers(t, async (fleet, outcomes) => {
    fleet.add('first', LARGE);
    await fleet.time.advanceUntil(() => fleet.leader !== undefined, 5_000);
    await fleet.addMany(sizes(0, 9));
    await fleet.time.advance(2_000 + fleet.time.randomInt(500));
    await replaceDeadLeader(fleet, outcomes);
  });
  assert.ok(tally.maxTookMs <= SMALL_TAKEOVER_MS, `${tally.maxTookMs}`);
});

test('a large node becomes leader when all nodes start and when a small leader restarts', async (t) => {
  const tally = await takeovers(t, async (fleet, outcomes) => {
    const { time, store } = fleet;
    await fleet.addMany(sizes(3, 9));
    await time.advanceUntil(() => fleet.leader !== undefined, 5_000);
    await time.advance(300);
    outcomes.add(fleet.leader, 0, store.claimCount);
    // A small node became leader while no large one was alive, dies, and restarts at once.
    const epoch = store.leader!.epoch + 1;
    const restarted = fleet.nodes.find(({ cores }) => cores === SMALL)!;
    for (const node of fleet.nodes) if (node.isLeading) node.losePower();
    restarted.losePower();
    const rec = {
      ...{ epoch, node: restarted.name, nonce: 'b', resigned: false, leasesMs: 6_000, formerMs: 0 },
      ...{ silent: {}, number: 1, cores: SMALL, largestCores: LARGE },
    };
    store.put(leaderKey(), JSON.stringify(rec));
    store.claimCount = 0;
    await time.advance(500);
    const sinceMs = time.nowMs;
    fleet.add(restarted.name, SMALL);
    await time.advanceUntil(() => fleet.leader !== undefined, POWER_RESTORED_MS);
    outcomes.add(fleet.leader, time.nowMs - sinceMs, store.claimCount);
  });
  assert.equal(tally.bySmallOrNone, 0);
});

test('a node becomes leader in time after all nodes, all of them small, lost power', async (t) => {
  const tally = await takeovers(t, async (fleet, outcomes) => {
    const { time, store } = fleet;
    const rec = {
      ...{ epoch: 1, node: 'n0', nonce: 'b', resigned: false, leasesMs: 6_000, formerMs: 0 },
      ...{ silent: {}, number: 1, cores: SMALL, largestCores: LARGE },
    };
    store.put(leaderKey(), JSON.stringify(rec));
    const sinceMs = time.nowMs;
    await fleet.addMany(sizes(0, 9));
    await time.advanceUntil(() => fleet.leader !== undefined, 10_000);
    outcomes.add(fleet.leader, time.nowMs - sinceMs, store.claimCount);
  });
  assert.ok(tally.maxTookMs <= POWER_RESTORED_MS, `${tally.maxTookMs}`);
});

test('a small leader hands over to a large node that started later', async (t) => {
  const tally = await takeovers(t, async (fleet, outcomes) => {
    const { time, store } = fleet;
    await fleet.addMany(sizes(0, 4));
    await time.advanceUntil(() => fleet.leader !== undefined, 5_000);
    await time.advance(1_000);
    await fleet.addMany(sizes(2, 0));
    const sinceMs = time.nowMs;
    store.claimCount = 0;
    await time.advanceUntil(() => fleet.leader?.cores === LARGE, 30_000);
    const tookMs = time.nowMs - sinceMs;
    await time.advance(5_000);
    outcomes.add(fleet.leader, tookMs, store.claimCount);
  });
  assert.equal(tally.bySmallOrNone, 0);
});
