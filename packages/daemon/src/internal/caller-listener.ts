import http from 'node:http';
import net from 'node:net';
import type { Duplex } from 'node:stream';
import { setTimeout as sleep } from 'node:timers/promises';

const MAX_HEADER_BYTES = 16 * 1024;
const HEADERS_TIMEOUT_MS = 5_000;
const REQUEST_TIMEOUT_MS = 30_000;

/** Node looks for senders that are too slow only every 30 s where it is told nothing. */
const TIMEOUT_CHECK_MS = 1_000;

/** Longer than the usual balancer keeps an idle connection, so that not we are the ones who close it. */
const KEEP_ALIVE_MS = 75_000;

const DRAIN_POLL_MS = 20;

/** Answers one request; settles when the answer is out or its connection is destroyed. */
export type RequestHandler = (req: http.IncomingMessage, res: http.ServerResponse) => Promise<void>;

interface CallerConnection {
  open: number;
  idleSince: number;
}

/** The listener for callers, with a shutdown that cuts off no request. */
export class CallerListener {
  readonly #server: http.Server;

  readonly #idleGraceMs: number;

  readonly #connections = new Map<Duplex, CallerConnection>();

  #draining = false;

  /** @param idleGraceMs - How long a drain waits for a request on an idle connection. */
  constructor(serve: RequestHandler, idleGraceMs: number) {
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
        this.#track(req, res, serve);
      },
    );
    this.#server.on('connection', (socket) => this.#remember(socket));
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
   * Takes no new connections and answers all that is open. A connection that is idle stays for
   * a grace, since a request may be on the wire to it; the answer to that says `close`.
   *
   * @param limitMs - The longest wait.
   * @returns How many requests were still open at the limit.
   */
  async drain(limitMs: number): Promise<number> {
    this.#draining = true;
    const end = performance.now() + limitMs;
    // http.Server.close would close idle connections at once, and cut off what is on its way.
    net.Server.prototype.close.call(this.#server);
    const graceEnd = performance.now() + this.#idleGraceMs;
    while (this.#connections.size > 0 && performance.now() < end) {
      if (performance.now() >= graceEnd) this.#closeIdle();
      await sleep(DRAIN_POLL_MS);
    }
    const open = [...this.#connections.values()].reduce((sum, { open: n }) => sum + n, 0);
    this.#server.closeAllConnections();
    return open;
  }

  #remember(socket: Duplex): void {
    this.#connections.set(socket, { open: 0, idleSince: performance.now() });
    socket.once('close', () => this.#connections.delete(socket));
  }

  async #track(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    serve: RequestHandler,
  ): Promise<void> {
    const connection = this.#connections.get(req.socket);
    if (connection) connection.open += 1;
    // Only after `close` have the last bytes been handed to the connection.
    res.once('close', () => {
      if (!connection) return;
      connection.open -= 1;
      connection.idleSince = performance.now();
    });
    await serve(req, res);
  }

  #closeIdle(): void {
    const oldest = performance.now() - this.#idleGraceMs;
    for (const [socket, { open, idleSince }] of this.#connections) {
      if (open === 0 && idleSince <= oldest) socket.destroy();
    }
  }
}
