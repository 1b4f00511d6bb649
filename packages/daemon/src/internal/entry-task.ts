import type http from 'node:http';
import { pipeline } from 'node:stream/promises';
import type { KeyedAnswer, Manifest } from '@redwingcrank/protocol';
import { CodedError } from '@redwingcrank/protocol';
import { isIdempotent, serviceOfPath } from '@redwingcrank/decisions';
import { CallerListener } from './caller-listener.js';
import type { Dispatcher, RelayedRequest } from './dispatcher.js';
import {
  deadlineOf,
  endToEndHeaders,
  idempotencyKeyOf,
  idempotentHeaderOf,
  keyAgeOf,
  requestName,
} from './entry-headers.js';
import type { EntryMetrics } from './entry-metrics.js';
import type { EventLog } from './event-log.js';
import type { KeyedRequests } from './keyed-requests.js';
import { RequestError, sendProblem } from './problem.js';
import { readBody } from './request-body.js';
import { RequestLifetime } from './request-lifetime.js';

export interface EntryOptions {
  readonly events: EventLog;
  readonly metrics: EntryMetrics;
  readonly dispatcher: Dispatcher;
  readonly keyed: KeyedRequests;
  readonly manifest: () => Manifest | undefined;
  /** Time in milliseconds that a drain waits for a request on an idle connection. */
  readonly drainIdleMs: number;
}

const METHODS_WITHOUT_BODY = new Set(['GET', 'HEAD']);

/** Serves callers: forwards each request to an endpoint, returns a complete answer or an error. */
export class EntryTask {
  readonly #options: EntryOptions;

  readonly #listener: CallerListener;

  constructor(options: EntryOptions) {
    this.#options = options;
    this.#listener = new CallerListener((req, res) => this.#serve(req, res), options.drainIdleMs);
  }

  listen(port: number, ip: string): Promise<number> {
    return this.#listener.listen(port, ip);
  }

  /**
   * Accepts no new connections, answers all open requests, then returns.
   *
   * @param limitMs - The longest wait.
   * @returns The number of requests that were still open at the limit.
   */
  drain(limitMs: number): Promise<number> {
    return this.#listener.drain(limitMs);
  }

  async #serve(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const startedAt = performance.now();
    const lifetime = new RequestLifetime(res);
    try {
      await this.#answer(req, res, lifetime);
    } catch (err) {
      this.#refuse(req, res, err);
    } finally {
      this.#options.metrics.observe(res.statusCode, performance.now() - startedAt);
    }
  }

  #refuse(req: http.IncomingMessage, res: http.ServerResponse, err: unknown): void {
    const coded =
      err instanceof CodedError ? err : new RequestError('answerLost', String(err), 'unknown');
    const { code, name } = coded.result;
    const reason = coded.message;
    this.#options.metrics.countRefusal(code);
    const request = requestName(req.headers);
    this.#options.events.emit('debug', 'request-refused', { request, code, name, reason });
    // On a kept connection, the unread rest of a body would be parsed as the next request.
    const headers = req.complete ? this.#connectionHeaders() : { connection: 'close' };
    req.resume();
    sendProblem(res, coded, headers);
  }

  /** While draining, tells callers to send their next request on another connection. */
  #connectionHeaders(): http.OutgoingHttpHeaders {
    return this.#listener.draining ? { connection: 'close' } : {};
  }

  async #answer(
    req: http.IncomingMessage,
    res: http.ServerResponse,
    lifetime: RequestLifetime,
  ): Promise<void> {
    const relayed = await this.#parseRequest(req, lifetime);
    const key = relayed.idempotent ? undefined : idempotencyKeyOf(req.headers);
    if (key !== undefined) {
      const ageMs = keyAgeOf(req.headers);
      this.#sendBuffered(res, await this.#options.keyed.send({ key, ageMs }, relayed));
      return;
    }
    const upstream = await this.#options.dispatcher.send(relayed);
    res.writeHead(upstream.statusCode ?? 502, {
      ...endToEndHeaders(upstream.headers),
      ...this.#connectionHeaders(),
    });
    // If the answer is cut short upstream, the caller's connection is destroyed, so that the caller
    // never takes a partial answer for a complete one.
    await pipeline(upstream, res, { signal: relayed.signal }).catch(() => res.destroy());
  }

  #sendBuffered(res: http.ServerResponse, answer: KeyedAnswer): void {
    if (answer.type !== 'answer') return;
    const body = Buffer.from(answer.body, 'base64');
    const bodiless = answer.status === 204 || answer.status === 304;
    res.writeHead(answer.status, {
      ...answer.headers,
      ...(!bodiless && { 'content-length': String(body.length) }),
      ...this.#connectionHeaders(),
    });
    res.end(body);
  }

  async #parseRequest(
    req: http.IncomingMessage,
    lifetime: RequestLifetime,
  ): Promise<RelayedRequest> {
    if (req.httpVersion !== '1.1') {
      // In HTTP/1.0 an answer may end with its connection, so a cut answer would look complete.
      throw new RequestError('badRequest', 'expected HTTP/1.1', 'not-run');
    }
    const url = req.url ?? '/';
    const method = req.method ?? 'GET';
    const manifest = this.#options.manifest();
    const service = manifest && serviceOfPath(manifest, url);
    if (!service) throw new RequestError('noSuchService', `no service at ${url}`, 'not-run');
    const path = withoutPrefix(url, service.pathPrefix);
    const idempotent = isIdempotent(service, method, path, idempotentHeaderOf(req.headers));
    const deadlineMs = deadlineOf(req.headers) ?? service.defaultDeadlineMs;
    const deadlineAt = performance.now() + deadlineMs;
    const signal = lifetime.abortAfter(deadlineMs);
    const body = await readBody(req);
    const { 'content-length': _length, ...headers } = endToEndHeaders(req.headers);
    const isBodiless = METHODS_WITHOUT_BODY.has(method) && body.length === 0;
    const request = {
      method,
      path,
      headers: isBodiless ? headers : { ...headers, 'content-length': String(body.length) },
      body,
    };
    return { service, idempotent, request, deadlineAt, signal };
  }
}

/** Returns the path without the service's prefix: `/booking?x=1` under `/booking` is `/?x=1`. */
function withoutPrefix(url: string, prefix: string): string {
  const rest = url.slice(prefix.length);
  return rest.startsWith('/') ? rest : `/${rest}`;
}
