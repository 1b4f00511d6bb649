import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CONFIRMED_LEASE_MS, withClockDrift } from '../internal/timing.js';
import { PartitionedSite, REMOTE_WORKERS } from './partitioned-workers.js';
import type { VirtualNode } from './virtual-fleet.js';
import { VirtualTime } from './virtual-fleet.js';

/** Longer than a lease, and shorter than a grant, in milliseconds. */
const PARTITION_MS = 6_000;

/** Longer than any grant, in milliseconds. */
const LONG_PARTITION_MS = 12_000;

/** The number of delegates in the data centre that is partitioned. */
const DELEGATES = 2;

test('tasks in a partitioned data centre run on until the partition ends, with one delegate too', async (t) => {
  // Guards against leases that expire although nodes beside the workers could renew them.
  const time = new VirtualTime(t);
  const lapsed: number[] = [];
  const renewing: string[] = [];
  for (const delegates of [0, 1, 2]) {
    const site = new PartitionedSite(time);
    const leader = await site.startAll(delegates > 0 ? 1 : 0);
    site.isPartitioned = true;
    if (delegates === 1) site.fleet.nodes.find(({ name }) => name === 'b1')!.kill();
    await time.advance(PARTITION_MS);
    lapsed.push(site.lapsedCount);
    for (const { name, events } of site.fleet.nodes)
      if (events.some(({ event }) => event === 'delegate-renews')) renewing.push(name);
    site.isPartitioned = false;
    await time.advance(4_000);
    assert.ok(leader.isLeading);
    if (delegates > 0) assert.deepEqual([site.lapsedCount, site.firstRestartMs], [0, Infinity]);
    await site.fleet.stop();
  }
  // Without delegates, the test would pass with any code if the leases lasted longer.
  assert.deepEqual(lapsed, [REMOTE_WORKERS, 0, 0]);
  // With one, the largest node has died; the third one is no delegate as long as it is connected.
  assert.deepEqual(renewing, ['b2', 'b1', 'b2']);
});

test('the grants for a data centre of 62 busy workers take about 1 KB a second for each delegate', async (t) => {
  // Guards against messages that repeat what has not changed: bytes between data centres are dear.
  const time = new VirtualTime(t);
  const site = new PartitionedSite(time);
  await site.startAll();
  const { sentBytes } = site.network;
  await time.advance(10_000);
  const bytesPerSecond = (site.network.sentBytes - sentBytes) / 10 / DELEGATES;
  t.diagnostic(`${bytesPerSecond} bytes a second for each delegate`);
  assert.ok(bytesPerSecond > 500 && bytesPerSecond < 1_300);
  await site.fleet.stop();
});

test('tasks of a data centre that is lost with its workers start elsewhere by the end of the bound', async (t) => {
  // Guards against grants that lengthen the wait further: those sent after the workers' last answer.
  const time = new VirtualTime(t);
  const site = new PartitionedSite(time);
  await site.startAll();
  const cutMs = time.nowMs;
  site.isPartitioned = true;
  for (const [id, worker] of site.workers) if (id !== 'a0') worker.isDead = true;
  await time.advance(LONG_PARTITION_MS);
  t.diagnostic(
    `restarted after ${site.firstRestartMs - cutMs} to ${site.lastRestartMs - cutMs} ms`,
  );
  assert.ok(site.lastRestartMs - cutMs <= withClockDrift(CONFIRMED_LEASE_MS) + 300);
  await site.fleet.stop();
});

/** What happens to the leader at the beginning of a partition. */
const LEADER_FATES: Readonly<Record<string, (leader: VirtualNode, site: PartitionedSite) => void>> =
  {
    'stays alive': () => {},
    'loses power': (leader) => leader.losePower(),
    'loses power after it has named the workers as silent': (leader, { time }) => {
      time.after(2_500).then(() => leader.losePower(), assert.fail);
    },
    resigns: (leader) => {
      leader.stop().catch(assert.fail);
    },
    'is killed with its peers and starts again': (leader, site) => {
      for (const node of site.fleet.nodes) if (node.name.startsWith('a')) node.kill();
      site.add(leader.name, leader.cores);
    },
  };

for (const [fate, apply] of Object.entries(LEADER_FATES)) {
  test(`no task runs twice where the leader ${fate} while delegates renew`, async (t) => {
    // Guards against a leader that starts a task elsewhere before its granted lease has expired.
    const time = new VirtualTime(t);
    const site = new PartitionedSite(time);
    const leader = await site.startAll();
    const cutMs = time.nowMs;
    site.isPartitioned = true;
    apply(leader, site);
    await time.advance(LONG_PARTITION_MS);
    const restartMs = site.firstRestartMs - cutMs;
    t.diagnostic(`restarted after ${restartMs} ms`);
    assert.deepEqual(site.runTwice, []);
    assert.equal(site.lapsedCount, REMOTE_WORKERS);
    const maxTakeoverMs = fate === 'stays alive' ? 300 : 2_000;
    assert.ok(restartMs <= withClockDrift(CONFIRMED_LEASE_MS) + maxTakeoverMs);
    await site.fleet.stop();
  });
}
