import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Manifest } from '@redwingcrank/protocol';
import { readManifest } from '@redwingcrank/protocol';
import type { DiffLine } from '../index.js';
import { diffManifests, predictChanges, predictQuotaOverruns } from '../index.js';

function manifest(change: object): Manifest {
  const base = {
    apiVersion: 'redwingcrank/v1',
    version: 2,
    replaces: 1,
    dataCentres: ['dc1'],
    teams: [{ name: 'a', quota: { cpu: 8, memoryMb: 800 } }],
    services: [],
    jobs: [],
  };
  const reading = readManifest({ ...base, ...change });
  assert.ok(reading.ok, JSON.stringify(reading));
  return reading.manifest;
}

const service = (replicas: number, cpu = 1) => ({
  name: 'booking',
  team: 'a',
  pathPrefix: '/booking',
  replicas: { dc1: replicas },
  resources: { cpu, memoryMb: 100 },
});

const task = (taskId: string, owner: string) => ({
  taskId,
  attempt: 1,
  kind: 'service',
  owner,
  hostId: 'w1',
  state: 'running',
  resources: { cpu: 1, memoryMb: 100, accelerators: 0 },
  failures: 0,
});

const state = {
  dataCentre: 'dc1',
  hosts: [
    {
      hostId: 'w1',
      rack: 'r1',
      state: 'live',
      capacity: { cpu: 4, memoryMb: 400, accelerators: 0 },
      committed: { cpu: 2, memoryMb: 200, accelerators: 0 },
      tasks: 2,
    },
  ],
  tasks: [task('dc1/booking/0', 'booking'), task('dc1/old/0', 'old')],
};

const brief = (lines: Iterable<DiffLine>): string[] =>
  [...lines].map(({ kind, subject }) => `${kind} ${subject}`);

test('a dry run lists what is added, removed and changed, field by field', () => {
  const before = manifest({ services: [service(1)] });
  const after = manifest({
    services: [service(3)],
    teams: [...before.teams, { ...before.teams[0], name: 'b' }],
  });
  const lines = [...diffManifests(before, after)];
  assert.deepEqual(brief(lines), ['add team b', 'change service booking']);
  assert.equal(lines[1]?.detail, 'replicas: {"dc1":1} -> {"dc1":3}');
  assert.deepEqual(brief(diffManifests(after, before)), [
    'remove team b',
    'change service booking',
  ]);
});

test('a dry run lists what would start, stop, wait or never fit', () => {
  assert.deepEqual(brief(predictChanges(manifest({ services: [service(3)] }), state)), [
    'stop dc1/old/0',
    'start booking in dc1',
  ]);
  assert.deepEqual(brief(predictChanges(manifest({ services: [service(2, 16)] }), state)), [
    'stop dc1/old/0',
    'start booking in dc1',
    'refuse booking in dc1',
    'warn dc1',
  ]);
  assert.deepEqual(brief(predictQuotaOverruns(manifest({ services: [service(9)] }))), [
    'warn team a',
  ]);
});
