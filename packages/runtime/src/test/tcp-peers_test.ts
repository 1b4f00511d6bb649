import assert from 'node:assert/strict';
import net from 'node:net';
import type { AddressInfo } from 'node:net';
import type { TestContext } from 'node:test';
import { test } from 'node:test';
import { firstValueFrom } from 'rxjs';
import { PeerGoneError, PeerUnreachedError } from '../peer-port.js';
import { TcpPeers } from '../tcp-peers.js';
import { waitUntil } from './wait.js';

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
  const [leader, follower] = [new TcpPeers('n1', 2, 'a'), new TcpPeers('n2', 1, 'b')];
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

test('messages after the hello arrive whole and in order, also those before there is a receiver', async (t) => {
  // Guards against a first message that is lost with the data after the hello line.
  const hello = '{"node":"n1","cores":2,"processId":"p"}';
  const text = Buffer.from(`${hello}\n{"kind":"other"}\nsecond \u00fc\nthird\n`);
  const address = await serve(t, (socket) => {
    socket.write(text.subarray(0, hello.length + 28));
    setTimeout(() => socket.write(text.subarray(hello.length + 28)), 20);
  });
  const link = await new TcpPeers('n2', 1, 'a').open(address, NEVER_ABORTED);
  // The hello of an earlier version names no data centre.
  assert.deepEqual(link.peer, { node: 'n1', cores: 2, processId: 'p' });
  const lines: string[] = [];
  link.receive((line) => lines.push(line));
  await waitUntil(() => lines.length === 3);
  assert.deepEqual(lines, ['{"kind":"other"}', 'second \u00fc', 'third']);
  link.close();
});

test('a connection whose peer reads nothing is no longer writable, and sending does not wait', async (t) => {
  // Guards against messages that pile up behind a network partition.
  const address = await serve(t, (socket) => {
    socket.write('{"node":"n1","cores":2,"processId":"p"}\n');
    socket.pause();
  });
  const link = await new TcpPeers('n2', 1).open(address, NEVER_ABORTED);
  assert.ok(link.isWritable);
  for (let i = 0; i < 1_000 && link.isWritable; i += 1) link.send('x'.repeat(100_000));
  assert.ok(!link.isWritable);
  link.close();
  await link.closed;
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
