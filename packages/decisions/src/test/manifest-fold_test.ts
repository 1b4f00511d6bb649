import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManifestFold } from '../index.js';

function record(id: string, version: number, replaces: number) {
  const manifest = {
    apiVersion: 'redwingcrank/v1',
    version,
    replaces,
    dataCentres: ['dc1'],
    teams: [],
    services: [],
    jobs: [],
  };
  return { type: 'manifest', id, manifest };
}

test('of two manifests that replace the same version, the first in log order wins', () => {
  // Two operators see version 1 and publish. The second would silently undo a manifest that the
  // first operator was already told is in force. Every reader must reject it.
  const fold = new ManifestFold();
  fold.apply(0, record('a', 1, 0));
  fold.apply(1, record('b', 2, 1));
  const verdict = fold.apply(2, record('c', 3, 1));
  assert.equal(verdict.accepted, false);
  assert.equal(fold.version, 2);
});

test('a replayed old manifest does not come into force again', () => {
  const fold = new ManifestFold();
  fold.apply(0, record('a', 1, 0));
  fold.apply(1, record('b', 2, 1));
  fold.apply(2, record('a', 1, 0));
  assert.equal(fold.version, 2);
});
