import assert from 'node:assert/strict';
import { test } from 'node:test';
import { readManifest } from '../index.js';

const service = {
  name: 'booking',
  team: 'a',
  pathPrefix: '/booking',
  replicas: { dc1: 1 },
  resources: { cpu: 1, memoryMb: 100 },
};

const validManifest = {
  apiVersion: 'redwingcrank/v1',
  version: 1,
  replaces: 0,
  dataCentres: ['dc1'],
  teams: [{ name: 'a', quota: { cpu: 1, memoryMb: 1 } }],
  services: [service],
  jobs: [],
};

function faultPathsOf(input: unknown): string[] {
  const result = readManifest(input);
  return result.ok ? [] : result.faults.map((fault) => fault.path);
}

test('a valid manifest is completed with the default values', () => {
  const result = readManifest(validManifest);
  assert.ok(result.ok);
  assert.equal(result.manifest.services[0]?.slots, 8);
  assert.equal(result.manifest.services[0]?.connections, 64);
});

const invalidCases: [string, unknown, string[]][] = [
  ['a root that is not an object', 7, ['(root)']],
  ['an unknown field', { ...validManifest, extra: 1 }, ['(root)']],
  [
    'a version that does not exceed the replaced one',
    { ...validManifest, version: 1, replaces: 1 },
    ['version'],
  ],
  ['an unknown team', { ...validManifest, teams: [] }, ['services.0.team']],
  [
    'an unknown data centre',
    { ...validManifest, dataCentres: ['dc9'] },
    ['services.0.replicas.dc1'],
  ],
  [
    'negative resources',
    { ...validManifest, services: [{ ...service, resources: { cpu: -1, memoryMb: 1 } }] },
    ['services.0.resources.cpu'],
  ],
  [
    'the same service twice',
    { ...validManifest, services: [service, service] },
    ['services and jobs.1.name', 'services.1.pathPrefix'],
  ],
];

for (const [description, input, paths] of invalidCases) {
  test(`a manifest with ${description} is rejected, with the path of each fault`, () => {
    assert.deepEqual(faultPathsOf(input), paths);
  });
}
