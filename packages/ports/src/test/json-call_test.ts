import assert from 'node:assert/strict';
import http from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { after, before, test } from 'node:test';
import { z } from 'zod';
import { PlatformError } from '@redwingcrank/protocol';
import { callJson } from '../index.js';

/** Answers the first request on each connection and resets the connection on the second. */
const answeredConnections = new WeakSet<Socket>();
const server = http.createServer((req, res) => {
  if (answeredConnections.has(req.socket)) {
    req.socket.resetAndDestroy();
    return;
  }
  answeredConnections.add(req.socket);
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

test('a GET on a kept-alive connection that is reset is retried; a POST is not', async () => {
  // When a node is replaced under the same address, the next call reuses the connection to the old
  // node and is reset. A read can be retried, but an append may already have taken effect.
  await call('GET');
  assert.deepEqual(await call('GET'), {});
  await assert.rejects(call('POST'), PlatformError);
});
