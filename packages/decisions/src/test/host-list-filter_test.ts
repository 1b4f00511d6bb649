import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ListedHost } from '@redwingcrank/protocol';
import { HostListFilter } from '../index.js';

const CONFIRM_MS = 1_000;

function host(id: number, state: ListedHost['state'] = 'live', dataCentre = 'dc1'): ListedHost {
  const capacity = { cpu: 1, memoryMb: 1, accelerators: 0 };
  return { hostId: `w${id}`, dataCentre, rack: 'r', address: `a${id}`, capacity, state };
}

const fourHosts = [1, 2, 3, 4].map((id) => host(id));

const summaryOf = (result: ReturnType<HostListFilter['filter']>) =>
  result?.hosts.map(({ hostId, state }) => `${hostId}${state === 'leaving' ? '!' : ''}`).sort();

test('a list that is briefly empty removes no hosts; one that stays incomplete does', () => {
  // The list service restarts and returns an empty list for a while. If that took effect, every
  // task of the data centre would be revoked and started elsewhere. A node that has just started
  // compares its first list with the hosts in the control stream.
  const listFilter = new HostListFilter(CONFIRM_MS);
  assert.deepEqual(summaryOf(listFilter.filter([], fourHosts, 0)), ['w1', 'w2', 'w3', 'w4']);
  assert.equal(listFilter.filter([host(1)], fourHosts, 999)?.retained.length, 3);
  assert.deepEqual(summaryOf(listFilter.filter([host(1)], fourHosts, 1_000)), ['w1']);
  assert.deepEqual(summaryOf(listFilter.filter([host(1)], fourHosts, 1_001)), ['w1']);
  assert.deepEqual(summaryOf(listFilter.filter(fourHosts, fourHosts, 2_000)), [
    'w1',
    'w2',
    'w3',
    'w4',
  ]);
});

test('a host that reappears restarts its confirmation period', () => {
  const listFilter = new HostListFilter(CONFIRM_MS);
  listFilter.filter([], fourHosts, 0);
  listFilter.filter(fourHosts, fourHosts, 900);
  assert.equal(listFilter.filter([], fourHosts, 1_100)?.retained.length, 4);
});

test('single hosts are removed at once, and leaving hosts are shown beside retained ones', () => {
  const listFilter = new HostListFilter(CONFIRM_MS);
  listFilter.filter(fourHosts, [], 0);
  assert.deepEqual(summaryOf(listFilter.filter(fourHosts.slice(1), [], 1)), ['w2', 'w3', 'w4']);
  assert.deepEqual(summaryOf(listFilter.filter([host(2, 'leaving')], [], 2)), ['w2!', 'w3', 'w4']);
});

test('the hosts of a missing data centre are retained although most hosts are still listed', () => {
  const listFilter = new HostListFilter(CONFIRM_MS);
  const other = [host(5, 'live', 'dc2')];
  listFilter.filter([...fourHosts, ...other], [], 0);
  assert.deepEqual(listFilter.filter(fourHosts, [], 1)?.retained, ['w5']);
});

test('an older list is ignored after a newer one', () => {
  // Two replicas of the list have a different lag. The newer one shows w1 as leaving. The older one
  // answers next, still shows w1 as live, and would cause new tasks to be placed there.
  const listFilter = new HostListFilter(CONFIRM_MS);
  listFilter.filter([host(1, 'leaving')], [], 0, 7);
  assert.equal(listFilter.filter([host(1)], [], 1, 6), undefined);
});
