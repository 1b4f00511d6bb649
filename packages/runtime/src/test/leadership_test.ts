import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ConfigWatch } from '../internal/config-watch.js';
import { Leadership } from '../internal/leadership.js';
import { encodeLeader, leaderKey } from '../internal/work-records.js';
import { WorkFollower } from '../internal/work-follower.js';
import { WorkTable } from '../internal/work-table.js';
import type { AppendResult, KeyedWrite, NewestPage, ReadResult } from '../keyed-log.js';
import { KeyedLog, StoreUnavailableError } from '../keyed-log.js';
import { NodeLog } from '../node-log.js';
import type { PlatformPort } from '../platform-port.js';
import { nodeSettings } from './fixtures.js';
import { leaderRecord } from './leader-record.js';
import { pause } from './wait.js';

const LOG = new NodeLog('n2', 'silent');

const LEADER = encodeLeader(leaderRecord({ epoch: 1, node: 'n1', nonce: '1' }));

const SETTINGS = nodeSettings('n2');

/** A store that falls silent: reads that wait there already come back empty, nothing else does. */
class SilentStore extends KeyedLog {
  readonly claims: KeyedWrite[] = [];

  override async append(records: readonly KeyedWrite[]): Promise<AppendResult> {
    this.claims.push(...records);
    return { outcome: 'unknown', reason: 'timeout' };
  }

  override async read(from: number, waitMs: number): Promise<ReadResult> {
    if (waitMs === 0) throw new StoreUnavailableError('timeout');
    await pause(waitMs);
    return { records: [], next: from, end: from, asOfMs: performance.now() };
  }

  override async newest(): Promise<NewestPage> {
    return { records: [{ key: leaderKey(), value: LEADER }], hasMore: false, end: 1 };
  }
}

/** A store in which another node's claim stands that cannot be read yet. */
class ClaimedStore extends SilentStore {
  override async append(records: readonly KeyedWrite[]): Promise<AppendResult> {
    this.claims.push(...records);
    return { outcome: 'out-of-sequence', reason: 'status 409' };
  }

  override async read(from: number, waitMs: number): Promise<ReadResult> {
    await pause(waitMs);
    return { records: [], next: from, end: from, asOfMs: performance.now() };
  }
}

/** A node that follows a store in which the leader has written nothing since it was loaded. */
class FollowingNode {
  readonly #follower: WorkFollower;

  readonly #leadership: Leadership;

  constructor(store: KeyedLog) {
    const table = new WorkTable('n2');
    const port = { workLog: store, jobLog: store, operatorLog: store } as unknown as PlatformPort;
    const follower = new WorkFollower(port, LOG, table);
    const config = new ConfigWatch(port, LOG);
    this.#follower = follower;
    this.#leadership = new Leadership(port, SETTINGS, LOG, table, follower, config);
  }

  async runFor(ms: number): Promise<void> {
    const running = [this.#follower.run(), this.#leadership.run()];
    await pause(ms);
    this.#follower.stop();
    await this.#leadership.stop();
    await Promise.all(running);
  }
}

test('a store that has just fallen silent is not taken for a dead scheduling node', async () => {
  // The store falls silent. A read that was waiting there is still answered, with nothing: neither
  // can the scheduling node write. Its silence is now longer than a living one's, and the view is
  // fresh. A claim would replace a node that has lost nothing, seconds later, when it is stored.
  const store = new SilentStore();
  await new FollowingNode(store).runFor(2_500);
  assert.deepEqual(store.claims, []);
});

test('a node whose claim was refused for the claim of another does not claim again at once', async () => {
  // The store is slow: another node's claim is stored, and comes to be read a second later. Claims
  // for the same epoch cannot win any more. They stand in the queue before the first records of
  // the new scheduling node, which is taken for dead for want of them.
  const store = new ClaimedStore();
  await new FollowingNode(store).runFor(3_000);
  assert.equal(store.claims.length, 1);
});

/** A store that refuses claims for a while, until another node's is stored that it was slow with. */
class BusyStore extends ClaimedStore {
  claimedMs = Infinity;

  override async append(records: readonly KeyedWrite[]): Promise<AppendResult> {
    this.claims.push(...records);
    return { outcome: 'refused', reason: 'status 503' };
  }

  override async read(from: number, waitMs: number): Promise<ReadResult> {
    if (from > 1 || performance.now() < this.claimedMs) return super.read(from, waitMs);
    const claim = LEADER.replace('"epoch":1', '"epoch":2').replace('"n1"', '"n3"');
    const records = [{ key: leaderKey(), value: claim }];
    return { records, next: 2, end: 2, asOfMs: performance.now() };
  }
}

test('a node whose claims are refused sends them less and less often', async () => {
  // More than two seconds of appends wait at the store, most of them claims. If all nodes ask again
  // every half second, the queue stays full, and the records of the one whose claim is stored are
  // refused as well.
  const store = new BusyStore();
  await new FollowingNode(store).runFor(7_000);
  assert.ok(store.claims.length >= 2 && store.claims.length <= 5, `${store.claims.length}`);
});

test('a new leader is not taken for dead while its first record waits behind claims', async () => {
  // The node's own claim was refused, as so much waits at the store. Another's is stored; what that
  // writes next waits there for up to two seconds. A claim after 1.1 s would replace it before that.
  const store = new BusyStore();
  store.claimedMs = performance.now() + 2_000;
  const running = new FollowingNode(store).runFor(4_800);
  await pause(2_500);
  const before = store.claims.length;
  await running;
  assert.ok(before > 0);
  assert.equal(store.claims.length, before);
});
