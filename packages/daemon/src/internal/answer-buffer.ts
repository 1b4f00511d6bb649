import type http from 'node:http';
import { RequestError } from './problem.js';

/** A complete answer in memory. */
export interface BufferedAnswer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
}

/** The home buffers each keyed answer completely, so many of them must fit into memory. */
export const MAX_KEYED_ANSWER_BYTES = 4 * 1024 * 1024;

/**
 * Reads an answer to its end.
 *
 * @throws RequestError (305) if the answer was cut short; (311) if it is too large, in which case
 *   the request did run.
 */
export async function readAnswer(res: http.IncomingMessage): Promise<BufferedAnswer> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of res as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > MAX_KEYED_ANSWER_BYTES) break;
      chunks.push(chunk);
    }
  } catch (err) {
    throw new RequestError('answerLost', `the answer was cut short: ${String(err)}`, 'unknown');
  }
  if (size > MAX_KEYED_ANSWER_BYTES) {
    const detail = `the answer is over ${MAX_KEYED_ANSWER_BYTES} bytes`;
    throw new RequestError('answerNotKept', detail, 'ran');
  }
  if (!res.complete) {
    throw new RequestError('answerLost', 'the answer was cut short', 'unknown');
  }
  return { status: res.statusCode ?? 0, headers: res.headers, body: Buffer.concat(chunks) };
}
