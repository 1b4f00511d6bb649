import http from 'node:http';
import type { AddressInfo } from 'node:net';
import type { ResultCodeKey } from '@redwingcrank/protocol';
import { CodedError } from '@redwingcrank/protocol';

export interface JsonRequest {
  readonly method: string;
  readonly url: URL;
  readonly headers: http.IncomingHttpHeaders;
  /** The parsed body, or undefined where there was none. */
  readonly body: unknown;
}

/** An answer: `body` is sent as JSON, or as it is where it is a string. */
export interface JsonAnswer {
  readonly status: number;
  readonly body: unknown;
  readonly contentType?: string;
  readonly headers?: Record<string, string>;
}

export type JsonHandler = (req: JsonRequest) => Promise<JsonAnswer> | JsonAnswer;

/**
 * What a sender may take of a listener: the time for its headers and for the whole request, and the
 * size of its headers. Without them a few slow senders would hold every connection. Node looks at
 * the times only once in `connectionsCheckingInterval`, by default every 30 s.
 */
export const LISTENER_LIMITS = {
  headersTimeout: 5_000,
  requestTimeout: 15_000,
  connectionsCheckingInterval: 1_000,
  maxHeaderSize: 16 * 1024,
} as const;

/** Targets of requests are paths. */
const BASE = 'http://listener';

/**
 * A small listener for JSON over HTTP, bounded in body size and in the time that a slow sender
 * may hold a connection.
 *
 * Lifecycle: `listen`, then `close`.
 */
export class JsonListener {
  readonly #server: http.Server;

  readonly #maxBodyBytes: number;

  /**
   * @param handler - Answers each request; what it throws becomes a 500.
   * @param maxBodyBytes - A larger body is refused with 413.
   */
  constructor(handler: JsonHandler, maxBodyBytes: number) {
    this.#maxBodyBytes = maxBodyBytes;
    this.#server = http.createServer(LISTENER_LIMITS, (req, res) => {
      this.#serve(handler, req, res).catch((err: unknown) => fail(res, err));
    });
  }

  /** @returns The port in use. */
  listen(port: number, ip: string): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, ip, () => {
        resolve((this.#server.address() as AddressInfo).port);
      });
    });
  }

  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }

  async #serve(
    handler: JsonHandler,
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): Promise<void> {
    const text = await this.#readBody(req);
    if (text === undefined) {
      // The rest of an oversized body is not read: the connection cannot be used again.
      const { status, body } = problem('requestTooLarge', `over ${this.#maxBodyBytes} bytes`);
      send(res, { status, body, headers: { connection: 'close' } });
      return;
    }
    const url = URL.canParse(req.url ?? '/', BASE) ? new URL(req.url ?? '/', BASE) : undefined;
    const body = parseBody(text);
    if (!url || !body) {
      const what = url ? 'the body is not JSON' : 'the target is not a URL';
      send(res, problem('badAdminRequest', what));
      return;
    }
    send(res, await handler({ method: req.method ?? 'GET', url, headers: req.headers, ...body }));
  }

  async #readBody(req: http.IncomingMessage): Promise<string | undefined> {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of req as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > this.#maxBodyBytes) return undefined;
      chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString('utf8');
  }
}

function send(res: http.ServerResponse, answer: JsonAnswer): void {
  const plain = typeof answer.body === 'string';
  const contentType = answer.contentType ?? (plain ? 'text/plain' : 'application/json');
  res.writeHead(answer.status, { 'content-type': contentType, ...answer.headers });
  res.end(plain ? answer.body : JSON.stringify(answer.body));
}

function problem(key: ResultCodeKey, detail: string): JsonAnswer {
  const { result } = new CodedError(key, detail);
  const { code, name, status } = result;
  return { status, body: { code, name, detail } };
}

function parseBody(text: string): { body: unknown } | undefined {
  try {
    return { body: text === '' ? undefined : JSON.parse(text) };
  } catch {
    return undefined;
  }
}

function fail(res: http.ServerResponse, err: unknown): void {
  if (res.headersSent) {
    res.destroy();
    return;
  }
  if (err instanceof CodedError && err.result.status > 0) {
    const { code, name, status } = err.result;
    send(res, { status, body: { code, name, detail: err.message } });
    return;
  }
  send(res, { status: 500, body: { error: err instanceof Error ? err.message : String(err) } });
}
