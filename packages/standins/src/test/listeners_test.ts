import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { after, before, test } from 'node:test';
import { DEMO_PEER_KEY, DemoPlatform } from '../index.js';

const CLOSE_TIMEOUT_MS = 25_000;
const OVERSIZED_HEADER = 'x'.repeat(20 * 1024);

const platform = new DemoPlatform({
  dataCentres: ['dc1'],
  nodesPerDataCentre: 1,
  hostsPerDataCentre: 1,
  capacity: { cpu: 4, memoryMb: 4_000, accelerators: 0 },
  leaseMs: 5_000,
  jobMs: 500,
  serviceMs: 5,
});

before(() => platform.start());

after(() => platform.stop());

const LISTENERS = ['callerPort', 'peerPort', 'adminPort'] as const;

interface Exchange {
  readonly answer: string;
  /** Whether the listener closed the connection before the timeout. */
  readonly closed: boolean;
}

/** Writes raw bytes, and reads until the listener closes the connection or 25 s have passed. */
function exchange(port: number, parts: readonly (string | Buffer)[]): Promise<Exchange> {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1');
    let answer = '';
    const timer = setTimeout(() => {
      resolve({ answer, closed: false });
      socket.destroy();
    }, CLOSE_TIMEOUT_MS);
    socket.on('data', (chunk) => {
      answer += chunk.toString('latin1');
    });
    socket.on('error', () => {});
    socket.on('close', () => {
      clearTimeout(timer);
      resolve({ answer, closed: true });
    });
    parts.forEach((part) => socket.write(part));
  });
}

const statusesIn = (answer: string): string[] =>
  [...answer.matchAll(/HTTP\/1\.1 (\d{3})/g)].map(([, status = '']) => status);

// Carries the peer key, so that no listener refuses the request before it checks the framing.
const HEAD = ['POST /hello HTTP/1.1', 'host: x', `authorization: Bearer ${DEMO_PEER_KEY}`];

const request = (...lines: string[]): string => [...HEAD, ...lines].join('\r\n');

// Requests that a proxy and the listener behind it could frame differently must be refused: the
// bytes that only one of them reads as a second request would run in another caller's name
// (request smuggling).
const MALFORMED_REQUESTS: [string, string][] = [
  [
    'a request with both a length and chunks',
    request(
      'content-length: 4',
      'transfer-encoding: chunked',
      '',
      '0\r\n\r\nGET / HTTP/1.1\r\n\r\n',
    ),
  ],
  ['a request with two lengths', request('content-length: 1', 'content-length: 2', '', 'ab')],
  ['a length that is not a number', request('content-length: +1', '', 'a')],
  ['a chunk size that is not a number', request('transfer-encoding: chunked', '', 'zz\r\na\r\n')],
  ['a header name with a space before the colon', request('content-length : 1', '', 'a')],
  ['input that is not HTTP', 'hello there\r\n\r\n'],
];

for (const listener of LISTENERS) {
  const port = (): number => platform.nodes[0]?.[listener] ?? 0;

  for (const [description, text] of MALFORMED_REQUESTS) {
    test(`${listener}: ${description} is refused and the connection closed`, async () => {
      const { answer, closed } = await exchange(port(), [text]);
      assert.ok(closed);
      assert.deepEqual(statusesIn(answer), ['400']);
    });
  }

  test(`${listener}: oversized headers are refused and the connection closed`, async () => {
    const { answer, closed } = await exchange(port(), [
      request(`x-big: ${OVERSIZED_HEADER}`, '', ''),
    ]);
    assert.ok(closed);
    assert.deepEqual(statusesIn(answer), ['431']);
  });

  test(`${listener}: incomplete headers time out with 408 and the connection is closed`, async () => {
    const { answer, closed } = await exchange(port(), [request('x-slow: ')]);
    assert.ok(closed);
    assert.deepEqual(statusesIn(answer), ['408']);
  });
}

// The sender announces 8 MiB and sends only 5 MiB: a listener that waited for the rest would time
// out with 408. The answer may be lost because the connection is reset while the sender writes.
test('every listener refuses an oversized body without reading all of it', async () => {
  const oversized = 8 * 1024 * 1024;
  const chunk = Buffer.alloc(256 * 1024, 'a');
  for (const listener of LISTENERS) {
    const port = platform.nodes[0]?.[listener] ?? 0;
    const json = 'content-type: application/json';
    const head = request(json, `content-length: ${oversized}`, '', '');
    const parts = [head, ...Array.from({ length: 20 }, () => chunk)];
    const { answer, closed } = await exchange(port, parts);
    assert.ok(closed, listener);
    assert.match(statusesIn(answer)[0] ?? '413', /^(404|413)$/, listener);
  }
});
