import http from 'node:http';
import type { z } from 'zod';
import type { ResultCodeKey } from '@redwingcrank/protocol';
import { PlatformError } from '@redwingcrank/protocol';

/** A call with a JSON body and a JSON answer. */
export interface JsonCall<T> {
  readonly url: string;
  readonly method: 'GET' | 'POST';
  readonly body?: unknown;
  readonly timeoutMs: number;
  readonly schema: z.ZodType<T>;
  /** The code of the error that is thrown when no good answer came. */
  readonly failure: ResultCodeKey;
  readonly headers?: Record<string, string> | undefined;
  readonly signal?: AbortSignal | undefined;
}

/** An answer larger than this is a fault of the sender; reading on could exhaust memory. */
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;

const agent = new http.Agent({ keepAlive: true });

/**
 * Makes the call. The time limit covers the whole answer, so that a connection that went silent
 * is found within it.
 *
 * @throws PlatformError where no whole answer of the right shape came in time.
 */
export async function callJson<T>(call: JsonCall<T>): Promise<T> {
  const timeout = AbortSignal.timeout(call.timeoutMs);
  const signal = call.signal ? AbortSignal.any([call.signal, timeout]) : timeout;
  try {
    const text = await exchange(call, signal);
    return call.schema.parse(JSON.parse(text));
  } catch (err) {
    const cause = err instanceof Error ? err.message : String(err);
    throw new PlatformError(call.failure, `${call.method} ${call.url}: ${cause}`);
  }
}

function exchange(call: JsonCall<unknown>, signal: AbortSignal): Promise<string> {
  return new Promise((resolve, reject) => {
    const body = call.body === undefined ? undefined : JSON.stringify(call.body);
    const headers = { ...call.headers, ...(body && { 'content-type': 'application/json' }) };
    const req = http.request(call.url, { method: call.method, agent, headers, signal });
    req.on('error', (err: NodeJS.ErrnoException) => {
      // The other end closed a kept connection (it was restarted, say) just as it was used again.
      // A read may be asked twice; anything else may have taken effect. A new connection follows,
      // or the next kept one, so this ends.
      const stale = req.reusedSocket && err.code === 'ECONNRESET';
      if (stale && call.method === 'GET') exchange(call, signal).then(resolve, reject);
      else reject(err);
    });
    req.on('response', (res) => {
      collect(res).then((text) => {
        if (res.statusCode === 200) resolve(text);
        else reject(new Error(`status ${res.statusCode}: ${text.slice(0, 200)}`));
      }, reject);
    });
    req.end(body);
  });
}

async function collect(res: http.IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of res as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > MAX_ANSWER_BYTES) throw new Error('answer too large');
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}
