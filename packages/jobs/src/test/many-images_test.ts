import assert from 'node:assert/strict';
import { test } from 'node:test';
import { InterferenceModel } from '../internal/interference-model.js';

const IMAGES = 500;

function partsOf(first: number, count: number): Map<string, number> {
  return new Map(Array.from({ length: count }, (_, i) => [`batch-${first + i}`, 0.1]));
}

test('what is learned about images stays small, however many there are', () => {
  // Guards against a record that the store rejects, and rounds that take seconds to solve for weights.
  const model = new InterferenceModel();
  for (let serving = 0; serving < IMAGES; serving += 1) {
    for (let first = 0; first < IMAGES; first += 50)
      model.learn({ image: `web-${serving}`, slack: -0.5, parts: partsOf(first, 50) });
  }
  const weights = model.weights();
  const rows = Object.values(weights);
  assert.ok(rows.length <= 130, `${rows.length} serving images`);
  assert.ok(Math.max(...rows.map((row) => Object.keys(row).length)) <= 66);
  assert.ok(JSON.stringify(weights).length < 262_144);
});

test('images that are not told apart have the weight of all of them together', () => {
  const model = new InterferenceModel();
  const told = new Map(Array.from({ length: 64 }, (_, i) => [`told-${i}`, 0.1]));
  model.learn({ image: 'web', slack: 0, parts: told });
  for (let i = 0; i < 200; i += 1)
    model.learn({ image: 'web', slack: -0.5, parts: new Map([[`other-${i % 20}`, 0.5]]) });
  const weight = model.weight('web', 'other-3');
  assert.ok(weight > model.weight('web', 'told-3'));
  for (const image of ['other-19', 'never-seen']) assert.equal(model.weight('web', image), weight);
});
