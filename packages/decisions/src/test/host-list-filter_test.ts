import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ListedHost } from '@redwingcrank/protocol';
import { HostListFilter } from '../index.js';

const CONFIRM_MS = 1_000;

function host(id: number, state: ListedHost['state'] = 'live', dataCentre = 'dc1'): ListedHost {
  const capacity = { cpu: 1, memoryMb: 1, accelerators: 0 };
  return { hostId: `w${id}`, dataCentre, rack: 'r', address: `a${id}`, capacity, state };
}

const four = [1, 2, 3, 4].map((id) => host(id));

const ids = (judged: ReturnType<HostListFilter['filter']>) =>
  judged?.hosts.map(({ hostId, state }) => `${hostId}${state === 'leaving' ? '!' : ''}`).sort();

test('a list that is empty by mistake makes no host gone; one that stays empty does', () => {
  // The list service restarts and answers with nothing for a while. Taken at its word, it would
  // have every task of the data centre revoked and started elsewhere. A node that has just
  // started measures its first list by what the control stream holds.
  const judge = new HostListFilter(CONFIRM_MS);
  assert.deepEqual(ids(judge.filter([], four, 0)), ['w1', 'w2', 'w3', 'w4']);
  assert.equal(judge.filter([host(1)], four, 999)?.retained.length, 3);
  assert.deepEqual(ids(judge.filter([host(1)], four, 1_000)), ['w1']);
  assert.deepEqual(ids(judge.filter([host(1)], four, 1_001)), ['w1']);
  assert.deepEqual(ids(judge.filter(four, four, 2_000)), ['w1', 'w2', 'w3', 'w4']);
});

test('a host that comes back in between has to be missed anew', () => {
  const judge = new HostListFilter(CONFIRM_MS);
  judge.filter([], four, 0);
  judge.filter(four, four, 900);
  assert.equal(judge.filter([], four, 1_100)?.retained.length, 4);
});

test('single hosts go at once, and a held-back list still shows which are leaving', () => {
  const judge = new HostListFilter(CONFIRM_MS);
  judge.filter(four, [], 0);
  assert.deepEqual(ids(judge.filter(four.slice(1), [], 1)), ['w2', 'w3', 'w4']);
  assert.deepEqual(ids(judge.filter([host(2, 'leaving')], [], 2)), ['w2!', 'w3', 'w4']);
});

test('a whole data centre that vanishes is held back although most hosts are still there', () => {
  const judge = new HostListFilter(CONFIRM_MS);
  const other = [host(5, 'live', 'dc2')];
  judge.filter([...four, ...other], [], 0);
  assert.deepEqual(judge.filter(four, [], 1)?.retained, ['w5']);
});

test('an older list never comes after a newer one', () => {
  // Two replicas of the list lag differently. The newer shows w1 as leaving; the older, asked
  // next, still shows it as live, and would send it new work again.
  const judge = new HostListFilter(CONFIRM_MS);
  judge.filter([host(1, 'leaving')], [], 0, 7);
  assert.equal(judge.filter([host(1)], [], 1, 6), undefined);
});
