import { randomBytes } from 'node:crypto';
import net from 'node:net';
import { Subject } from 'rxjs';
import { parseObject } from './internal/parse-object.js';
import type { PeerHello } from './peer-port.js';
import { PeerGoneError, PeerLink, PeerPort, PeerUnreachedError } from './peer-port.js';

/** Timeout for connecting to a peer and receiving its hello line, in milliseconds. */
const HELLO_TIMEOUT_MS = 2_000;

/**
 * Idle time after which a connection is probed, in milliseconds, to detect peers that fell silent.
 */
const KEEP_ALIVE_MS = 2_000;

/** Maximum size of a hello line, in bytes. */
const MAX_HELLO_BYTES = 1_024;

/** An established connection. */
class TcpLink extends PeerLink {
  readonly #socket: net.Socket;

  readonly peer: PeerHello;

  readonly closed: Promise<void>;

  constructor(socket: net.Socket, peer: PeerHello) {
    super();
    this.#socket = socket;
    this.peer = peer;
    this.closed = new Promise((resolve) => {
      if (socket.destroyed) resolve();
      else socket.once('close', () => resolve());
    });
  }

  close(): void {
    this.#socket.destroy();
  }
}

/** Connections over TCP. Each side sends one line of JSON that identifies it, and nothing else. */
export class TcpPeers extends PeerPort {
  readonly self: PeerHello;

  readonly accepted$ = new Subject<PeerLink>();

  #address: string | undefined;

  constructor(node: string, cores: number) {
    super();
    this.self = { node, cores, processId: randomBytes(8).toString('hex') };
  }

  get address(): string | undefined {
    return this.#address;
  }

  /** Listens on HOST:PORT. */
  async listen(address: string): Promise<void> {
    const server = net.createServer((socket) => {
      this.#handshake(socket).then(
        (link) => this.accepted$.next(link),
        () => socket.destroy(),
      );
    });
    const { host, port } = hostAndPort(address);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
    // This server does not keep the process running.
    server.unref();
    this.#address = address;
  }

  async open(address: string, signal: AbortSignal): Promise<PeerLink> {
    const socket = net.connect(hostAndPort(address));
    const abort = (): void => {
      socket.destroy();
    };
    signal.addEventListener('abort', abort);
    try {
      return await this.#handshake(socket);
    } catch (err) {
      socket.destroy();
      const { code, message } = err as NodeJS.ErrnoException;
      if (code === 'ECONNREFUSED') throw new PeerGoneError(code);
      throw new PeerUnreachedError(code ?? message);
    } finally {
      signal.removeEventListener('abort', abort);
    }
  }

  /** Sends the hello of this process and reads the hello of the peer. */
  async #handshake(socket: net.Socket): Promise<PeerLink> {
    socket.setKeepAlive(true, KEEP_ALIVE_MS);
    socket.write(`${JSON.stringify(this.self)}\n`);
    const peer = decodeHello(await readLine(socket));
    // Data after the line is read and dropped, to detect the end of the connection.
    socket.resume();
    // `close` follows every error and reports the end.
    socket.on('error', () => {});
    return new TcpLink(socket, peer);
  }
}

function hostAndPort(address: string): { host: string; port: number } {
  const split = address.lastIndexOf(':');
  return { host: address.slice(0, split), port: Number(address.slice(split + 1)) };
}

function readLine(socket: net.Socket): Promise<string> {
  return new Promise((resolve, reject) => {
    let text = '';
    const fail = (err: Error): void => reject(err);
    socket.setTimeout(HELLO_TIMEOUT_MS, () => fail(new Error('peer sent no hello line in time')));
    socket.on('error', fail);
    socket.on('close', () => fail(new Error('connection closed before the hello line')));
    socket.on('data', (data: Buffer) => {
      text += data.toString('latin1');
      const end = text.indexOf('\n');
      if (end >= 0) {
        socket.removeAllListeners('data');
        socket.setTimeout(0);
        resolve(text.slice(0, end));
      } else if (text.length > MAX_HELLO_BYTES) {
        fail(new Error('hello line of the peer is too long'));
      }
    });
  });
}

/** @throws Error if the line is not the hello of a peer */
function decodeHello(line: string): PeerHello {
  const { node, cores, processId } = parseObject<PeerHello>(line) ?? {};
  const isHello =
    typeof node === 'string' && typeof cores === 'number' && typeof processId === 'string';
  if (!isHello) throw new Error('hello line of the peer is invalid');
  return { node, cores, processId };
}
