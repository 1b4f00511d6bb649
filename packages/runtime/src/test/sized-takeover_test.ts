import assert from 'node:assert/strict';
import type { TestContext } from 'node:test';
import { test } from 'node:test';
import { leaderKey } from '../internal/work-records.js';
import type { VirtualNode } from './virtual-fleet.js';
import { VirtualFleet, VirtualTime } from './virtual-fleet.js';

// Seen by callers: lasting tasks were away for 18 s and more. The leader had died, and of 34 nodes one
// with a third of a core took its place, as it was the first to claim. It needed many seconds to
// reach the workers and to decide for all jobs, was taken for dead meanwhile, and replaced by another
// of its size; until then no lease was renewed. Its claim came first as every node drew its wait from
// the same spread, and a node kept the role whoever else lived.

/** Processor time of nodes, in cores. */
const LARGE = 1.35;
const SMALL = 0.324;

const SEEDS = Number(process.env.SEEDS ?? 30);

/** Of a dead leader work goes on after so long at the latest, in milliseconds. */
const GOES_ON_MS = 2_000;

/** The same where only small nodes live. */
const SMALL_GOES_ON_MS = 2_400;

/** While the store is slow: the longest lease of a worker, which the next leader must renew. */
const SLOW_GOES_ON_MS = 6_000;

/**
 * While each call takes 0.6 s: a lease of six seconds is up to a second old, and another second is left
 * for the way of the claim and to reach the workers.
 */
const VERY_SLOW_GOES_ON_MS = 4_000;

/** After all nodes have lost power at once. */
const POWER_BACK_MS = 4_000;

function sizes(large: number, small: number): number[] {
  return [...Array<number>(large).fill(LARGE), ...Array<number>(small).fill(SMALL)];
}

/** What came of several takeovers. */
class Tally {
  readonly #tookMs: number[] = [];

  readonly #claims: number[] = [];

  #byLarge = 0;

  #count = 0;

  note(winner: VirtualNode | undefined, tookMs: number, claims: number): void {
    this.#count += 1;
    if (winner?.cores === LARGE) this.#byLarge += 1;
    this.#tookMs.push(winner ? tookMs : Infinity);
    this.#claims.push(claims);
  }

  get byOthers(): number {
    return this.#count - this.#byLarge;
  }

  get worstMs(): number {
    return Math.max(...this.#tookMs);
  }

  tell(context: TestContext): void {
    const took = this.#tookMs.toSorted((a, b) => a - b);
    const claims = this.#claims.toSorted((a, b) => a - b);
    const middle = Math.floor(this.#count / 2);
    context.diagnostic(
      `by a large node ${this.#byLarge} of ${this.#count}; after ms: median ${took[middle]}, ` +
        `worst ${took.at(-1)}; claims sent: median ${claims[middle]}, most ${claims.at(-1)}`,
    );
  }
}

/** One takeover after another, each in a fleet of its own. */
async function takeovers(
  context: TestContext,
  one: (fleet: VirtualFleet, tally: Tally) => Promise<void>,
): Promise<Tally> {
  const time = new VirtualTime(context);
  const tally = new Tally();
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    time.seed(seed);
    const fleet = new VirtualFleet(time);
    await one(fleet, tally);
    await fleet.stop();
  }
  tally.tell(context);
  return tally;
}

/** The present leader dies; who goes on, and after how long. */
async function leaderDies(fleet: VirtualFleet, tally: Tally): Promise<void> {
  const { time, store } = fleet;
  const dead = fleet.leader!;
  dead.losePower();
  store.claimCount = 0;
  const sinceMs = time.nowMs;
  await time.advanceUntil(() => fleet.leader !== undefined, 10_000);
  const tookMs = time.nowMs - sinceMs;
  await time.advance(500);
  tally.note(fleet.leader, tookMs, store.claimCount);
}

test('while large nodes live one of them takes the role over from a dead leader', async (t) => {
  const tally = await takeovers(t, async (fleet, count) => {
    // A leader before all others, so that these see a large one that dies.
    fleet.add('first', LARGE);
    await fleet.time.advanceUntil(() => fleet.leader !== undefined, 5_000);
    await fleet.addMany(sizes(3, 9));
    await fleet.time.advance(2_000 + fleet.time.randomInt(500));
    await leaderDies(fleet, count);
  });
  assert.equal(tally.byOthers, 0);
  assert.ok(tally.worstMs <= GOES_ON_MS, `${tally.worstMs}`);
});

test('a dead leader is replaced while the store takes 0.3 s for each call', async (t) => {
  // Each view is then older than 0.9 s before the next answer comes. That was taken for a silence of the
  // store, from the end of which the leader's silence was counted anew: nobody ever claimed.
  const tally = await takeovers(t, async (fleet, count) => {
    fleet.add('first', LARGE);
    await fleet.time.advanceUntil(() => fleet.leader !== undefined, 5_000);
    await fleet.addMany(sizes(3, 9));
    fleet.store.oneWayMs = 150;
    await fleet.time.advance(6_000 + fleet.time.randomInt(500));
    assert.equal(fleet.leader?.name, 'first');
    await leaderDies(fleet, count);
  });
  assert.ok(tally.worstMs <= SLOW_GOES_ON_MS, `${tally.worstMs}`);
});

test('a leader that loses power is replaced in time for its leases with a store of 0.6 s a call', async (t) => {
  // Guards against leases of six seconds that end while the next node reads, and reads once more, until
  // it believes the silence. A lost connection tells it nothing here.
  const tally = await takeovers(t, async (fleet, count) => {
    fleet.add('first', LARGE);
    await fleet.time.advanceUntil(() => fleet.leader !== undefined, 5_000);
    await fleet.addMany(sizes(3, 9));
    fleet.store.oneWayMs = 300;
    await fleet.time.advance(10_000 + fleet.time.randomInt(1_000));
    assert.equal(fleet.leader?.name, 'first');
    await leaderDies(fleet, count);
  });
  assert.ok(tally.worstMs <= VERY_SLOW_GOES_ON_MS, `${tally.worstMs}`);
});

test('where only small nodes live one of them takes over hardly later', async (t) => {
  const tally = await takeovers(t, async (fleet, count) => {
    fleet.add('first', LARGE);
    await fleet.time.advanceUntil(() => fleet.leader !== undefined, 5_000);
    await fleet.addMany(sizes(0, 9));
    await fleet.time.advance(2_000 + fleet.time.randomInt(500));
    await leaderDies(fleet, count);
  });
  assert.ok(tally.worstMs <= SMALL_GOES_ON_MS, `${tally.worstMs}`);
});

test('when all nodes start, and when a small leader comes back, a large one gets the role', async (t) => {
  const tally = await takeovers(t, async (fleet, count) => {
    const { time, store } = fleet;
    await fleet.addMany(sizes(3, 9));
    await time.advanceUntil(() => fleet.leader !== undefined, 5_000);
    await time.advance(300);
    count.note(fleet.leader, 0, store.claimCount);
    // A small node took the role while no large one was there, dies, and starts again at once.
    const epoch = store.leader!.epoch + 1;
    const back = fleet.nodes.find(({ cores }) => cores === SMALL)!;
    for (const node of fleet.nodes) if (node.isLeading) node.losePower();
    back.losePower();
    const rec = {
      ...{ epoch, node: back.name, nonce: 'b', resigned: false, leasesMs: 6_000, formerMs: 0 },
      ...{ silent: {}, number: 1, cores: SMALL, largestCores: LARGE },
    };
    store.put(leaderKey(), JSON.stringify(rec));
    store.claimCount = 0;
    await time.advance(500);
    const sinceMs = time.nowMs;
    fleet.add(back.name, SMALL);
    await time.advanceUntil(() => fleet.leader !== undefined, POWER_BACK_MS);
    count.note(fleet.leader, time.nowMs - sinceMs, store.claimCount);
  });
  assert.equal(tally.byOthers, 0);
});

test('after power was lost everywhere a small node that led goes on in time', async (t) => {
  const tally = await takeovers(t, async (fleet, count) => {
    const { time, store } = fleet;
    const rec = {
      ...{ epoch: 1, node: 'n0', nonce: 'b', resigned: false, leasesMs: 6_000, formerMs: 0 },
      ...{ silent: {}, number: 1, cores: SMALL, largestCores: LARGE },
    };
    store.put(leaderKey(), JSON.stringify(rec));
    const sinceMs = time.nowMs;
    await fleet.addMany(sizes(0, 9));
    await time.advanceUntil(() => fleet.leader !== undefined, 10_000);
    count.note(fleet.leader, time.nowMs - sinceMs, store.claimCount);
  });
  assert.ok(tally.worstMs <= POWER_BACK_MS, `${tally.worstMs}`);
});

test('a small leader hands the role on to a large node that has come', async (t) => {
  const tally = await takeovers(t, async (fleet, count) => {
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
    count.note(fleet.leader, tookMs, store.claimCount);
  });
  assert.equal(tally.byOthers, 0);
});
