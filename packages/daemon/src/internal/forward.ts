import http from 'node:http';
import type { PooledEndpoint } from './endpoint-pool.js';

/** A request as it is sent to an endpoint. */
export interface ForwardRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: http.OutgoingHttpHeaders;
  readonly body: Buffer;
}

/**
 * The result of sending a request once.
 * - `answer`: the headers of the answer have arrived; its body is still to be read.
 * - `not-sent`: no byte was written to the endpoint's socket, so the request did not run.
 * - `not-run`: the endpoint itself states that the request did not run.
 * - `lost`: bytes were written and no answer came, so the request may have run.
 */
export type ForwardResult =
  | { readonly type: 'answer'; readonly res: http.IncomingMessage }
  | { readonly type: 'not-sent' | 'not-run' | 'lost'; readonly reason: string };

/** With `true` and status 503, an endpoint states that it did not run the request. */
export const NOT_RUN_HEADER = 'x-not-run';

const SERVICE_UNAVAILABLE = 503;

const BODILESS_STATUSES = new Set([204, 304]);

function statesNotRun(res: http.IncomingMessage): boolean {
  return res.statusCode === SERVICE_UNAVAILABLE && res.headers[NOT_RUN_HEADER] === 'true';
}

/**
 * Returns whether the framing marks the end of the answer. An answer that ends with its connection
 * looks complete even if the endpoint died half-way, so it must not be passed on as complete.
 */
function isFramed(method: string, res: http.IncomingMessage): boolean {
  if (method === 'HEAD' || BODILESS_STATUSES.has(res.statusCode ?? 0)) return true;
  const chunked = /\bchunked$/i.test(res.headers['transfer-encoding'] ?? '');
  return chunked || res.headers['content-length'] !== undefined;
}

function resultOf(method: string, res: http.IncomingMessage): ForwardResult {
  if (statesNotRun(res)) {
    res.resume();
    return { type: 'not-run', reason: 'the endpoint says it did not run' };
  }
  if (isFramed(method, res)) return { type: 'answer', res };
  res.destroy();
  return { type: 'lost', reason: 'the answer has neither a length nor chunks' };
}

/**
 * Sends the request over one of this entry host's connections to the endpoint.
 *
 * Invariant: the result is `not-sent` only if the request never had a connected socket. A connected
 * socket, new or reused, accepts the bytes at once, and from then on this host cannot know whether
 * the endpoint read them.
 *
 * @param address - `ip:port` of the endpoint.
 * @param signal - Aborts the request and destroys its connection: a late answer on it could
 *   otherwise be taken for the answer to the next request.
 */
export function forward(
  pooled: PooledEndpoint,
  address: string,
  request: ForwardRequest,
  signal: AbortSignal,
): Promise<ForwardResult> {
  const [host, port] = address.split(':');
  const { method, path, headers, body } = request;
  return new Promise((resolve) => {
    let mayHaveArrived = false;
    const req = http.request({ host, port, method, path, headers, agent: pooled.agent, signal });
    req.once('socket', (socket) => {
      if (socket.connecting) {
        socket.once('connect', () => {
          mayHaveArrived = true;
        });
      } else {
        mayHaveArrived = true;
      }
    });
    req.once('response', (res) => {
      // The reader of the body gets its errors; an error before that must not end the process.
      res.on('error', () => {});
      resolve(resultOf(method, res));
    });
    req.on('error', (err) => {
      resolve({ type: mayHaveArrived ? 'lost' : 'not-sent', reason: err.message });
    });
    req.end(body);
  });
}
