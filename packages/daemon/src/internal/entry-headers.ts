import type http from 'node:http';
import { RequestError } from './problem.js';

/** Headers that belong to one connection and are not forwarded (RFC 9110, section 7.6.1). */
const HOP_BY_HOP = new Set([
  'connection',
  // Answered here, because the complete body is read before it is forwarded.
  'expect',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Header with the time in milliseconds that the caller leaves for the request. */
export const DEADLINE_HEADER = 'x-request-timeout-ms';

/** Header by which the caller states whether the request may be sent twice: `true` or `false`. */
export const IDEMPOTENT_HEADER = 'x-request-idempotent';

/** Returns the headers without those of the connection. */
export function endToEndHeaders(headers: http.IncomingHttpHeaders): http.OutgoingHttpHeaders {
  const named = (headers.connection ?? '').split(',').map((name) => name.trim().toLowerCase());
  const endToEnd = Object.entries(headers).filter(
    ([name]) => !HOP_BY_HOP.has(name) && !named.includes(name),
  );
  return Object.fromEntries(endToEnd);
}

/**
 * Returns the time in milliseconds that the caller leaves, or undefined without the header.
 *
 * @throws RequestError (307) if the header is not a whole number above zero.
 */
export function deadlineOf(headers: http.IncomingHttpHeaders): number | undefined {
  const text = headers[DEADLINE_HEADER];
  if (text === undefined) return undefined;
  const ms = Number(text);
  if (Number.isInteger(ms) && ms > 0) return ms;
  throw new RequestError(
    'badRequest',
    `${DEADLINE_HEADER}: expected whole milliseconds above 0`,
    'not-run',
  );
}

/**
 * Returns whether the caller declares the request idempotent, or undefined without the header.
 *
 * @throws RequestError (307) if the header is neither `true` nor `false`.
 */
export function idempotentHeaderOf(headers: http.IncomingHttpHeaders): boolean | undefined {
  const text = headers[IDEMPOTENT_HEADER];
  if (text === undefined) return undefined;
  if (text === 'true') return true;
  if (text === 'false') return false;
  throw new RequestError('badRequest', `${IDEMPOTENT_HEADER}: expected true or false`, 'not-run');
}

/** Header of the IETF HTTPAPI draft: all requests with the same key are run once together. */
export const KEY_HEADER = 'idempotency-key';

/** Header with the milliseconds since the caller first sent the key, by its monotonic clock. */
export const KEY_AGE_HEADER = 'x-idempotency-key-age-ms';

/** Visible ASCII. The length is limited because each key is kept in memory. */
const KEY_PATTERN = /^[\x21-\x7e]{1,255}$/;

/**
 * Returns the idempotency key, or undefined without the header.
 *
 * @throws RequestError (307) if the key is empty, too long or not visible ASCII.
 */
export function idempotencyKeyOf(headers: http.IncomingHttpHeaders): string | undefined {
  const text = headers[KEY_HEADER];
  if (text === undefined) return undefined;
  if (typeof text === 'string' && KEY_PATTERN.test(text)) return text;
  const detail = `${KEY_HEADER}: expected 1 to 255 visible ASCII characters`;
  throw new RequestError('badRequest', detail, 'not-run');
}

/**
 * Returns the age of the key in milliseconds, or undefined without the header.
 *
 * @throws RequestError (307) if the header is not a whole number of zero or more.
 */
export function keyAgeOf(headers: http.IncomingHttpHeaders): number | undefined {
  const text = headers[KEY_AGE_HEADER];
  if (text === undefined) return undefined;
  const ms = Number(text);
  if (text !== '' && Number.isInteger(ms) && ms >= 0) return ms;
  const detail = `${KEY_AGE_HEADER}: expected whole milliseconds from 0`;
  throw new RequestError('badRequest', detail, 'not-run');
}

/** Returns the request's name in the timeline: its idempotency key, else its trace id, else `-`. */
export function requestName(headers: http.IncomingHttpHeaders): string {
  const key = headers['idempotency-key'];
  if (typeof key === 'string') return key;
  // W3C Trace Context: version, trace id, parent id, flags.
  const [, trace] = String(headers.traceparent ?? '').split('-');
  return trace ?? '-';
}
