import http from 'node:http';
import type { AddressInfo } from 'node:net';

export interface FakeEndpointOptions {
  readonly ip: string;
  readonly slots: number;
  readonly connections: number;
  /** Mean service time in milliseconds; half is fixed, half is exponentially distributed. */
  readonly serviceMs: number;
}

/** Degradation of an instance: a factor on its service time, or no answers at all. */
export interface Degradation {
  readonly factor: number;
  readonly silent: boolean;
}

/** A service instance with limited slots and connections and a long-tailed service time. */
export class FakeEndpoint {
  readonly #options: FakeEndpointOptions;

  readonly #server: http.Server;

  readonly #waiting: (() => void)[] = [];

  #busy = 0;

  #maxConnections = 0;

  degradation: Degradation = { factor: 1, silent: false };

  /** Number of runs of each request, by idempotency key or, without one, by method and path. */
  readonly runs = new Map<string, number>();

  constructor(options: FakeEndpointOptions) {
    this.#options = options;
    this.#server = http.createServer((req, res) => {
      this.#serve(req, res).catch(() => res.destroy());
    });
    this.#server.maxConnections = options.connections;
    this.#server.on('connection', () => this.#updateMaxConnections());
  }

  /** The highest number of connections that were open at the same time. */
  get maxConnections(): number {
    return this.#maxConnections;
  }

  /**
   * Starts the server on a free port.
   *
   * @returns The server's address as `ip:port`.
   */
  listen(): Promise<string> {
    return new Promise((resolve) => {
      this.#server.listen(0, this.#options.ip, () => {
        const { port } = this.#server.address() as AddressInfo;
        resolve(`${this.#options.ip}:${port}`);
      });
    });
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #updateMaxConnections(): void {
    this.#server.getConnections((_err, count) => {
      this.#maxConnections = Math.max(this.#maxConnections, count);
    });
  }

  async #serve(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk);
    await this.#takeSlot();
    this.#countRun(req);
    await this.#simulateService();
    this.#releaseSlot();
    if (this.degradation.silent) return;
    res.setHeader('content-type', 'application/json');
    res.end(
      JSON.stringify({ path: req.url, method: req.method, echo: String(Buffer.concat(chunks)) }),
    );
  }

  #simulateService(): Promise<void> {
    const { serviceMs } = this.#options;
    const exponential = -Math.log(1 - Math.random());
    const ms = (serviceMs / 2) * (1 + exponential) * this.degradation.factor;
    return new Promise((resolve) => {
      setTimeout(resolve, ms);
    });
  }

  #countRun(req: http.IncomingMessage): void {
    const key = String(req.headers['idempotency-key'] ?? `${req.method} ${req.url}`);
    this.runs.set(key, (this.runs.get(key) ?? 0) + 1);
  }

  #takeSlot(): Promise<void> {
    if (this.#busy < this.#options.slots) {
      this.#busy += 1;
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      this.#waiting.push(resolve);
    });
  }

  #releaseSlot(): void {
    const next = this.#waiting.shift();
    if (next) next();
    else this.#busy -= 1;
  }
}
