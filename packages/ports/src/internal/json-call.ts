import http from 'node:http';
import type { z } from 'zod';
import type { ResultCodeKey } from '@redwingcrank/protocol';
import { PlatformError } from '@redwingcrank/protocol';

/** An HTTP call with a JSON body and a JSON answer. */
export interface JsonCall<T> {
  readonly url: string;
  readonly method: 'GET' | 'POST';
  readonly body?: unknown;
  readonly timeoutMs: number;
  readonly schema: z.ZodType<T>;
  /** The result code of the error that is thrown if no valid answer arrives. */
  readonly failure: ResultCodeKey;
  readonly headers?: Record<string, string> | undefined;
  readonly signal?: AbortSignal | undefined;
}

/**
 * The maximum size of an answer. A larger answer is a fault of the sender, and reading all of it could
 * exhaust memory.
 */
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;

const agent = new http.Agent({ keepAlive: true });

/**
 * Sends the call and returns the validated answer. The timeout covers the complete answer, so it
 * also ends a call on a connection that has become silent.
 *
 * @throws PlatformError if no complete and valid answer arrives in time.
 */
export async function callJson<T>(call: JsonCall<T>): Promise<T> {
  const timeout = AbortSignal.timeout(call.timeoutMs);
  const signal = call.signal ? AbortSignal.any([call.signal, timeout]) : timeout;
  try {
    const text = await sendRequest(call, signal);
    return call.schema.parse(JSON.parse(text));
  } catch (err) {
    const cause = err instanceof Error ? err.message : String(err);
    throw new PlatformError(call.failure, `${call.method} ${call.url}: ${cause}`);
  }
}

function sendRequest(call: JsonCall<unknown>, signal: AbortSignal): Promise<string> {
  return new Promise((resolve, reject) => {
    const body = call.body === undefined ? undefined : JSON.stringify(call.body);
    const headers = { ...call.headers, ...(body && { 'content-type': 'application/json' }) };
    const req = http.request(call.url, { method: call.method, agent, headers, signal });
    req.on('error', (err: NodeJS.ErrnoException) => {
      // The server closed a kept-alive connection, for example in a restart, just as it was reused.
      // Only a read is retried, since any other call may have taken effect. Each retry uses another
      // kept-alive connection or a new one, so the retries end.
      const isStale = req.reusedSocket && err.code === 'ECONNRESET';
      if (isStale && call.method === 'GET') sendRequest(call, signal).then(resolve, reject);
      else reject(err);
    });
    req.on('response', (res) => {
      readText(res).then((text) => {
        if (res.statusCode === 200) resolve(text);
        else reject(new Error(`status ${res.statusCode}: ${text.slice(0, 200)}`));
      }, reject);
    });
    req.end(body);
  });
}

async function readText(res: http.IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of res as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > MAX_ANSWER_BYTES) throw new Error('answer too large');
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}
