import http from 'node:http';
import net from 'node:net';
import type { Duplex } from 'node:stream';
import { setTimeout as sleep } from 'node:timers/promises';

const MAX_HEADER_BYTES = 16 * 1024;
const HEADERS_TIMEOUT_MS = 5_000;
const REQUEST_TIMEOUT_MS = 30_000;

/** Node checks for slow senders only every 30 s by default. */
const TIMEOUT_CHECK_MS = 1_000;

/** Longer than load balancers usually keep an idle connection, so that they close it first. */
const KEEP_ALIVE_MS = 75_000;

const DRAIN_POLL_MS = 20;

/** Answers one request; settles when the answer is written or its connection is destroyed. */
export type RequestHandler = (req: http.IncomingMessage, res: http.ServerResponse) => Promise<void>;

interface CallerConnection {
  openRequests: number;
  idleSince: number;
}

/** The HTTP listener for callers. Its shutdown cuts off no request. */
export class CallerListener {
  readonly #server: http.Server;

  readonly #idleGraceMs: number;

  readonly #connections = new Map<Duplex, CallerConnection>();

  #draining = false;

  /** @param idleGraceMs - Time that a drain waits for a request on an idle connection. */
  constructor(handle: RequestHandler, idleGraceMs: number) {
    this.#idleGraceMs = idleGraceMs;
    this.#server = http.createServer(
      {
        headersTimeout: HEADERS_TIMEOUT_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
        connectionsCheckingInterval: TIMEOUT_CHECK_MS,
        keepAliveTimeout: KEEP_ALIVE_MS,
        maxHeaderSize: MAX_HEADER_BYTES,
      },
      (req, res) => {
        this.#track(req, res, handle);
      },
    );
    this.#server.on('connection', (socket) => this.#addConnection(socket));
  }

  get draining(): boolean {
    return this.#draining;
  }

  listen(port: number, ip: string): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, ip, () => {
        const address = this.#server.address();
        resolve(typeof address === 'object' && address ? address.port : port);
      });
    });
  }

  /**
   * Accepts no new connections and answers all open requests. An idle connection stays open for
   * the grace period, because a request may be on the wire already; the answer to such a request
   * says `Connection: close`.
   *
   * @param limitMs - The longest wait.
   * @returns The number of requests that were still open at the limit.
   */
  async drain(limitMs: number): Promise<number> {
    this.#draining = true;
    const end = performance.now() + limitMs;
    // http.Server.close would close idle connections at once and lose requests on the wire.
    net.Server.prototype.close.call(this.#server);
    const graceEnd = performance.now() + this.#idleGraceMs;
    while (this.#connections.size > 0 && performance.now() < end) {
      if (performance.now() >= graceEnd) this.#closeIdle();
      await sleep(DRAIN_POLL_MS);
    }
    const open = [...this.#connections.values()].reduce((sum, { openRequests: n }) => sum + n, 0);
    this.#server.closeAllConnections();
    return open;
  }

  #addConnection(socket: Duplex): void {
    this.#connections.set(socket, { openRequests: 0, idleSince: performance.now() });
    socket.once('close', () => this.#connections.delete(socket));
  }

  async #track(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    handle: RequestHandler,
  ): Promise<void> {
    const connection = this.#connections.get(req.socket);
    if (connection) connection.openRequests += 1;
    // Only `close` shows that the last bytes were passed to the connection.
    res.once('close', () => {
      if (!connection) return;
      connection.openRequests -= 1;
      connection.idleSince = performance.now();
    });
    await handle(req, res);
  }

  #closeIdle(): void {
    const oldest = performance.now() - this.#idleGraceMs;
    for (const [socket, { openRequests, idleSince }] of this.#connections) {
      if (openRequests === 0 && idleSince <= oldest) socket.destroy();
    }
  }
}
