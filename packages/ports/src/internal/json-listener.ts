import http from 'node:http';
import type { AddressInfo } from 'node:net';
import type { ResultCodeKey } from '@redwingcrank/protocol';
import { CodedError } from '@redwingcrank/protocol';

export interface JsonRequest {
  readonly method: string;
  readonly url: URL;
  readonly headers: http.IncomingHttpHeaders;
  /** The parsed body; undefined if the body is empty. */
  readonly body: unknown;
}

/** An answer. A `body` that is a string is sent unchanged; any other `body` is sent as JSON. */
export interface JsonAnswer {
  readonly status: number;
  readonly body: unknown;
  readonly contentType?: string;
  readonly headers?: Record<string, string>;
}

export type JsonHandler = (req: JsonRequest) => Promise<JsonAnswer> | JsonAnswer;

/**
 * The limits of a listener on the time for the headers, the time for the complete request and the
 * size of the headers. Without them a few slow senders could occupy every connection. Node checks
 * the times only once per `connectionsCheckingInterval`, which is 30 s by default.
 */
export const LISTENER_LIMITS = {
  headersTimeout: 5_000,
  requestTimeout: 15_000,
  connectionsCheckingInterval: 1_000,
  maxHeaderSize: 16 * 1024,
} as const;

/** The base for parsing request targets, which are paths without a host. */
const BASE_URL = 'http://listener';

/**
 * An HTTP listener for JSON that limits the body size and the time for which a slow sender can
 * occupy a connection.
 *
 * Lifecycle: `listen`, then `close`.
 */
export class JsonListener {
  readonly #server: http.Server;

  readonly #maxBodyBytes: number;

  /**
   * @param handler - Answers each request. A CodedError that it throws is sent with the status of its
   *   code if it has one; any other error is sent as 500.
   * @param maxBodyBytes - The maximum body size. A larger body is rejected with 413.
   */
  constructor(handler: JsonHandler, maxBodyBytes: number) {
    this.#maxBodyBytes = maxBodyBytes;
    this.#server = http.createServer(LISTENER_LIMITS, (req, res) => {
      this.#serve(handler, req, res).catch((err: unknown) => sendError(res, err));
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
      // The rest of an oversized body is not read, so the connection cannot be reused.
      const { status, body } = errorAnswer('requestTooLarge', `over ${this.#maxBodyBytes} bytes`);
      send(res, { status, body, headers: { connection: 'close' } });
      return;
    }
    const url = URL.canParse(req.url ?? '/', BASE_URL)
      ? new URL(req.url ?? '/', BASE_URL)
      : undefined;
    const body = parseBody(text);
    if (!url || !body) {
      const detail = url ? 'the body is not JSON' : 'the target is not a URL';
      send(res, errorAnswer('badAdminRequest', detail));
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
  const isText = typeof answer.body === 'string';
  const contentType = answer.contentType ?? (isText ? 'text/plain' : 'application/json');
  res.writeHead(answer.status, { 'content-type': contentType, ...answer.headers });
  res.end(isText ? answer.body : JSON.stringify(answer.body));
}

function errorAnswer(key: ResultCodeKey, detail: string): JsonAnswer {
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

function sendError(res: http.ServerResponse, err: unknown): void {
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
