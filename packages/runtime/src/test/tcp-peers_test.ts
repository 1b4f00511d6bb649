import assert from 'node:assert/strict';
import net from 'node:net';
import type { AddressInfo } from 'node:net';
import type { TestContext } from 'node:test';
import { test } from 'node:test';
import { firstValueFrom } from 'rxjs';
import { PeerGoneError, PeerUnreachedError } from '../peer-port.js';
import { TcpPeers } from '../tcp-peers.js';

const NEVER = new AbortController().signal;

/** A server that does with its connections what the test wants; returns HOST:PORT. */
async function serve(t: TestContext, accept: (socket: net.Socket) => void): Promise<string> {
  const server = net.createServer((socket) => {
    t.after(() => socket.destroy());
    socket.on('error', () => {});
    accept(socket);
  });
  t.after(() => server.close());
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** An address at which nothing listens. */
async function freeAddress(): Promise<string> {
  const server = net.createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return `127.0.0.1:${port}`;
}

test('both sides learn who the other is, and that the connection has ended', async () => {
  const [leader, follower] = [new TcpPeers('n1', 2), new TcpPeers('n2', 1)];
  const address = await freeAddress();
  await leader.listen(address);
  const accepting = firstValueFrom(leader.accepted$);
  const near = await follower.open(address, NEVER);
  const far = await accepting;
  assert.deepEqual(near.peer, leader.self);
  assert.deepEqual(far.peer, follower.self);
  far.close();
  await near.closed;
});

test('a port without a listener tells that the process is gone', async () => {
  const address = await freeAddress();
  await assert.rejects(new TcpPeers('n2', 1).open(address, NEVER), PeerGoneError);
});

test('whoever answers with anything but a peer is no proof that the process is gone', async (t) => {
  // Guards against a proxy, a probe or a frozen process that is taken for the end of the leader.
  const accepts: ((socket: net.Socket) => void)[] = [
    (socket) => socket.end('HTTP/1.1 400 Bad Request\r\n\r\n'),
    (socket) => socket.write('x'.repeat(5_000)),
    (socket) => socket.write('{"node":1}\n'),
    (socket) => socket.resetAndDestroy(),
    () => {},
  ];
  for (const accept of accepts) {
    const address = await serve(t, accept);
    await assert.rejects(new TcpPeers('n2', 1).open(address, NEVER), PeerUnreachedError);
  }
});

test('an attempt ends with its signal', async (t) => {
  const address = await serve(t, () => {});
  const stopping = new AbortController();
  const opening = new TcpPeers('n2', 1).open(address, stopping.signal);
  stopping.abort();
  await assert.rejects(opening, PeerUnreachedError);
});
