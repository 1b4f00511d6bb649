import { randomBytes } from 'node:crypto';
import net from 'node:net';
import { Subject } from 'rxjs';
import { PeerLines } from './internal/peer-lines.js';
import { parseObject } from './internal/parse-object.js';
import type { PeerHello } from './peer-port.js';
import { PeerGoneError, PeerLink, PeerPort, PeerUnreachedError } from './peer-port.js';

/** Timeout for connecting to a peer and receiving its hello line, in milliseconds. */
const HELLO_TIMEOUT_MS = 2_000;

/**
 * Idle time after which a connection is probed, in milliseconds, to detect peers that fell silent.
 */
const KEEP_ALIVE_MS = 2_000;

/** An established connection. */
class TcpLink extends PeerLink {
  readonly #socket: net.Socket;

  readonly #lines: PeerLines;

  readonly peer: PeerHello;

  readonly closed: Promise<void>;

  constructor(socket: net.Socket, peer: PeerHello, lines: PeerLines) {
    super();
    this.#socket = socket;
    this.#lines = lines;
    this.peer = peer;
    this.closed = new Promise((resolve) => {
      if (socket.destroyed) resolve();
      else socket.once('close', () => resolve());
    });
  }

  get isWritable(): boolean {
    return this.#socket.writable && this.#socket.writableLength === 0;
  }

  send(line: string): void {
    this.#socket.write(`${line}\n`);
  }

  receive(listener: (line: string) => void): void {
    this.#lines.deliverTo(listener);
  }

  close(): void {
    this.#socket.destroy();
  }
}

/**
 * Connections over TCP. Each side sends a line of JSON that identifies it. Further lines may follow;
 * earlier versions read and drop them.
 */
export class TcpPeers extends PeerPort {
  readonly self: PeerHello;

  readonly accepted$ = new Subject<PeerLink>();

  #address: string | undefined;

  constructor(node: string, cores: number, dataCentre?: string) {
    super();
    const processId = randomBytes(8).toString('hex');
    this.self = { node, cores, processId, ...(dataCentre !== undefined && { dataCentre }) };
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
    const lines = new PeerLines();
    const peer = decodeHello(await readHello(socket, lines));
    // `close` follows every error and reports the end.
    socket.on('error', () => {});
    return new TcpLink(socket, peer, lines);
  }
}

function hostAndPort(address: string): { host: string; port: number } {
  const split = address.lastIndexOf(':');
  return { host: address.slice(0, split), port: Number(address.slice(split + 1)) };
}

/** Reads the hello line. The lines after it stay in `lines`, and the socket keeps being read. */
function readHello(socket: net.Socket, lines: PeerLines): Promise<string> {
  return new Promise((resolve, reject) => {
    const fail = (err: Error): void => reject(err);
    socket.setTimeout(HELLO_TIMEOUT_MS, () => fail(new Error('peer sent no hello line in time')));
    socket.on('error', fail);
    socket.on('close', () => fail(new Error('connection closed before the hello line')));
    socket.on('data', (data: Buffer) => {
      const isRead = lines.hello !== undefined;
      lines.add(data);
      if (isRead) return;
      if (lines.hello !== undefined) {
        socket.setTimeout(0);
        resolve(lines.hello);
      } else if (lines.isTooLong) {
        fail(new Error('hello line of the peer is too long'));
      }
    });
  });
}

/** @throws Error if the line is not the hello of a peer */
function decodeHello(line: string): PeerHello {
  const { node, cores, processId, dataCentre } = parseObject<PeerHello>(line) ?? {};
  const isHello =
    typeof node === 'string' && typeof cores === 'number' && typeof processId === 'string';
  if (!isHello) throw new Error('hello line of the peer is invalid');
  return { node, cores, processId, ...(typeof dataCentre === 'string' && { dataCentre }) };
}
