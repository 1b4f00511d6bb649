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

/** A store that becomes silent: only reads that already wait there are answered, without records. */
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

/** A store that holds another node's claim, which cannot be read yet. */
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

/** A node that follows a store in which the leader has written nothing since the node loaded it. */
class FollowingNode {
  readonly #follower: WorkFollower;

  readonly #leadership: Leadership;

  constructor(store: KeyedLog) {
    const table = new WorkTable('n2');
    const logs = { workLog: store, jobLog: store, workerLog: store, operatorLog: store };
    const port = logs as unknown as PlatformPort;
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

test('a store that has just become silent is not mistaken for a dead leader', async () => {
  // When the store becomes silent, a read that was waiting there is still answered, without records, as
  // the leader cannot write either. The leader then seems silent for too long although the view is up
  // to date. Guards against a claim that is stored seconds later and replaces a healthy leader.
  const store = new SilentStore();
  await new FollowingNode(store).runFor(2_500);
  assert.deepEqual(store.claims, []);
});

test('a node whose claim lost against another claim does not claim again at once', async () => {
  // With a slow store the other claim is read a second after it is stored. Guards against more claims
  // for the same epoch, which cannot win: they delay the first records of the new leader in the
  // store's queue, and the leader counts as dead without them.
  const store = new ClaimedStore();
  await new FollowingNode(store).runFor(3_000);
  assert.equal(store.claims.length, 1);
});

/** A store that refuses all claims of this node; from `claimedMs` on, reads return another's claim. */
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

test('a node whose claims are refused repeats them at growing intervals', async () => {
  // Appends worth more than two seconds wait at the store, most of them claims. Guards against all
  // nodes claiming every half second: the queue stays full, and the records of the node whose claim
  // is stored are refused as well.
  const store = new BusyStore();
  await new FollowingNode(store).runFor(7_000);
  assert.ok(store.claims.length >= 2 && store.claims.length <= 5, `${store.claims.length}`);
});

test('a new leader does not count as dead while its first record waits behind claims', async () => {
  // The queue of the store is full: the claim of this node was refused, another node's is stored, and
  // that node's next record waits there for up to two seconds. Guards against a claim after 1.1 s of
  // silence, which would replace the new leader before its record is stored.
  const store = new BusyStore();
  store.claimedMs = performance.now() + 2_000;
  const running = new FollowingNode(store).runFor(4_800);
  await pause(2_500);
  const before = store.claims.length;
  await running;
  assert.ok(before > 0);
  assert.equal(store.claims.length, before);
});
