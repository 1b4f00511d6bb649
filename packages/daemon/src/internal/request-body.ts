import type http from 'node:http';
import { RequestError } from './problem.js';

const MAX_BODY_BYTES = 1024 * 1024;

/**
 * Reads the complete body, so that no endpoint receives a request whose body is cut off.
 *
 * @throws RequestError (306, 307) with `not-run`.
 */
export function readBody(req: http.IncomingMessage): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    // Events, because leaving an async iterator early would destroy the connection before the
    // refusal is sent.
    req.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= MAX_BODY_BYTES) chunks.push(chunk);
      else reject(new RequestError('requestTooLarge', `over ${MAX_BODY_BYTES} bytes`, 'not-run'));
    });
    req.once('end', () => resolve(Buffer.concat(chunks)));
    const rejectCut = (): void =>
      reject(new RequestError('badRequest', 'the body was cut', 'not-run'));
    req.once('error', rejectCut);
    req.once('close', rejectCut);
  });
}
