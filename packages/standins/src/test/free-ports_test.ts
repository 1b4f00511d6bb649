import assert from 'node:assert/strict';
import { test } from 'node:test';
import { freePort } from '../free-ports.js';

const PORT_COUNT = 120;

test('a process gets distinct ports when it needs more than one slice', async () => {
  const ports = new Set<number>();
  for (let i = 0; i < PORT_COUNT; i += 1) ports.add(await freePort());
  assert.equal(ports.size, PORT_COUNT);
});
