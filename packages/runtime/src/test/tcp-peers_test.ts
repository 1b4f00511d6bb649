import assert from 'node:assert/strict';
import net from 'node:net';
import type { AddressInfo } from 'node:net';
import type { TestContext } from 'node:test';
import { test } from 'node:test';
import { firstValueFrom } from 'rxjs';
import { PeerGoneError, PeerUnreachedError } from '../peer-port.js';
import { TcpPeers } from '../tcp-peers.js';

const NEVER_ABORTED = new AbortController().signal;

/** Starts a server that passes each connection to `accept`; returns its address, HOST:PORT. */
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

/** Returns an address at which nothing listens. */
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

test('both sides of a connection learn the identity of the other and that the connection has ended', async () => {
  const [leader, follower] = [new TcpPeers('n1', 2), new TcpPeers('n2', 1)];
  const address = await freeAddress();
  await leader.listen(address);
  const accepting = firstValueFrom(leader.accepted$);
  const opened = await follower.open(address, NEVER_ABORTED);
  const accepted = await accepting;
  assert.deepEqual(opened.peer, leader.self);
  assert.deepEqual(accepted.peer, follower.self);
  accepted.close();
  await opened.closed;
});

test('a connection to a port without a listener fails with PeerGoneError', async () => {
  const address = await freeAddress();
  await assert.rejects(new TcpPeers('n2', 1).open(address, NEVER_ABORTED), PeerGoneError);
});

test('a connection that gets no valid greeting fails with PeerUnreachedError', async (t) => {
  // Guards against taking a proxy, a probe or a frozen process for proof that the leader has ended.
  const accepts: ((socket: net.Socket) => void)[] = [
    (socket) => socket.end('HTTP/1.1 400 Bad Request\r\n\r\n'),
    (socket) => socket.write('x'.repeat(5_000)),
    (socket) => socket.write('{"node":1}\n'),
    (socket) => socket.resetAndDestroy(),
    () => {},
  ];
  for (const accept of accepts) {
    const address = await serve(t, accept);
    await assert.rejects(new TcpPeers('n2', 1).open(address, NEVER_ABORTED), PeerUnreachedError);
  }
});

test('a connection attempt ends when its signal is aborted', async (t) => {
  const address = await serve(t, () => {});
  const stopping = new AbortController();
  const opening = new TcpPeers('n2', 1).open(address, stopping.signal);
  stopping.abort();
  await assert.rejects(opening, PeerUnreachedError);
});
