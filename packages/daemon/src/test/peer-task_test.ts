import assert from 'node:assert/strict';
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { after, test } from 'node:test';
import { SharedKeys } from '@redwingcrank/ports';
import type { Hello } from '@redwingcrank/protocol';
import { HybridClock } from '@redwingcrank/protocol';
import { PeerTask } from '../internal/peer-task.js';

const IP = '127.0.0.1';
const HELLO_MS = 20;
const SILENCE_MS = 5_000;
const KEYS = { old: 'the-old-key-of-peers', new: 'the-new-key-of-peers' };

const hello = (nodeId: string): Hello => ({
  nodeId,
  dataCentre: 'dc1',
  incarnation: 'i1',
  roles: ['scheduler'],
  draining: false,
  manifestVersion: 1,
  controlOffset: 0,
  tending: true,
  unreachable: [],
  hlc: '000000000aa.0000',
});

const cleanups: (() => void)[] = [];

after(() => cleanups.forEach((close) => close()));

async function startTask(
  nodeId: string,
  keys: readonly string[],
  peers: Record<string, number> = {},
): Promise<{ task: PeerTask; port: number }> {
  const task = new PeerTask({
    peers: Object.entries(peers).map(([id, port]) => ({
      nodeId: id,
      dataCentre: 'dc1',
      address: `${IP}:${port}`,
    })),
    helloMs: HELLO_MS,
    silenceMs: SILENCE_MS,
    clock: new HybridClock(() => 0),
    keys: new SharedKeys(keys),
    self: () => hello(nodeId),
    runKeyed: () => Promise.reject(new Error('not asked for')),
    streamState: () => undefined,
  });
  const port = await task.listen(0, IP);
  task.start();
  cleanups.push(() => task.stop());
  return { task, port };
}

/** Starts a peer with one answer to every request; `asked` resolves after the given number. */
async function startFixedAnswerPeer(body: object, times: number) {
  let answered = 0;
  let resolveAsked: (() => void) | undefined;
  const asked = new Promise<void>((resolve) => {
    resolveAsked = resolve;
  });
  const server = http.createServer((_req, res) => {
    res
      .setHeader('content-type', 'application/json')
      .end(JSON.stringify({ result: { data: body } }));
    answered += 1;
    if (answered === times) resolveAsked?.();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, IP, resolve);
  });
  cleanups.push(() => server.close());
  return { port: (server.address() as AddressInfo).port, asked };
}

function postHello(port: number, body: object, key = KEYS.old): Promise<Response> {
  const headers = { 'content-type': 'application/json', authorization: `Bearer ${key}` };
  return fetch(`http://${IP}:${port}/hello`, {
    method: 'POST',
    headers,
    body: JSON.stringify(body),
  });
}

test('a hello with additional fields is accepted, and one without a field is refused by its name', async () => {
  // In a rolling upgrade a newer node calls an older one. Its additional fields are ignored. If it
  // no longer sends a field that the older node needs, the refusal names the field.
  const { port } = await startTask('n1', [KEYS.old]);
  const more = await postHello(port, {
    ...hello('n2'),
    zone: 'z1',
    roles: ['scheduler', 'observer'],
  });
  assert.equal(more.status, 200);
  const { roles: _roles, ...less } = hello('n2');
  const refusal = await postHello(port, less);
  const { error } = (await refusal.json()) as {
    error: { message: string; data: { resultCode: number } };
  };
  assert.deepEqual([refusal.status, error.data.resultCode], [400, 108]);
  assert.match(error.message, /^roles: expected/);
});

test('a peer that answers without a field counts as silent and does not end the process', async () => {
  // An older node calls a newer one, whose answer lacks `roles`. Without validation, the next check
  // for scheduler nodes would throw in a timer and end the process.
  const { roles: _roles, ...less } = hello('n2');
  const peer = await startFixedAnswerPeer(less, 3);
  const { task } = await startTask('n1', [KEYS.old], { n2: peer.port });
  await peer.asked;
  assert.deepEqual(task.alive(), []);
});

test('nodes accept each other at every step of a rotation of the peer key', async () => {
  // Each node goes through three steps: add the new key last, move it to the front, remove the old
  // key. At any time two nodes may be one step apart, and must still accept each other.
  const steps = [[KEYS.old], [KEYS.old, KEYS.new], [KEYS.new, KEYS.old], [KEYS.new]];
  for (const [i, keys] of steps.slice(1).entries()) {
    const ahead = new SharedKeys(keys);
    const behind = new SharedKeys(steps[i] ?? []);
    assert.ok(behind.accepts(ahead.headers().authorization), `step ${i + 1}: newer to older`);
    assert.ok(ahead.accepts(behind.headers().authorization), `step ${i + 1}: older to newer`);
  }
  const { port } = await startTask('n1', [KEYS.new]);
  assert.equal((await postHello(port, hello('n2'), KEYS.new)).status, 200);
  assert.equal((await postHello(port, hello('n2'), KEYS.old)).status, 401);
});
