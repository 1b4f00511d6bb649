import assert from 'node:assert/strict';
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { Output } from '../index.js';
import { Waves } from '../internal/commands/waves.js';

test('waves are listed by node, with what blocks their machines', async (t) => {
  // Guards against a node without an answer that hides what the others know.
  const held = [{ machine: 'm-1', reason: 'max-unavailable' }];
  const counts = { machines: 3, done: 1, down: 1, draining: 1 };
  const wave = { wave: 4, state: 'running', ...counts, leftMs: -2_400, held };
  const server = http.createServer((req, res) =>
    res.end(JSON.stringify(req.url === '/waves' ? { waves: [wave] } : {})),
  );
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.after(() => server.close());
  const node = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  let output = '';
  const write = (text: string): void => {
    output += text;
  };
  const nodes = [node, '127.0.0.1:1'];
  await new Waves().run({ nodes, json: true, adminKeys: [] }, new Output(true, { write }));
  const rows = JSON.parse(output) as object[];
  assert.deepEqual(rows, [
    { node, wave: 4, state: 'running', ...counts, leftS: -2, held: 'm-1 max-unavailable' },
    { node: '127.0.0.1:1', wave: '(no answer)' },
  ]);
});
