import assert from 'node:assert/strict';
import http from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { after, before, test } from 'node:test';
import { z } from 'zod';
import { PlatformError } from '@redwingcrank/protocol';
import { callJson } from '../index.js';

/** Answers the first request of each connection, and resets the connection at the second. */
const seen = new WeakSet<Socket>();
const server = http.createServer((req, res) => {
  if (seen.has(req.socket)) {
    req.socket.resetAndDestroy();
    return;
  }
  seen.add(req.socket);
  res.end('{}');
});

before(async () => {
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
});

after(() => server.close());

function call(method: 'GET' | 'POST'): Promise<object> {
  const { port } = server.address() as AddressInfo;
  const url = `http://127.0.0.1:${port}/`;
  return callJson({ url, method, timeoutMs: 5_000, schema: z.object({}), failure: 'notFound' });
}

test('a read on a kept connection that was reset is asked again; an append is not', async () => {
  // A node is replaced under the same address. The next call goes out on the connection to the
  // old one and is reset. A read can be repeated; an append may already have taken effect.
  await call('GET');
  assert.deepEqual(await call('GET'), {});
  await assert.rejects(call('POST'), PlatformError);
});
