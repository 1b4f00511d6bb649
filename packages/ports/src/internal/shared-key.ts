import { createHash, timingSafeEqual } from 'node:crypto';

const SCHEME = 'Bearer ';

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

/**
 * Shared keys of one group of users, newest first. The first is sent and all are accepted, so that
 * a key is rotated without a gap: add the new one last everywhere, then move it to the front
 * everywhere, then take the old one away.
 *
 * @example
 * const keys = new SharedKeys(['new-key-of-this-week', 'old-key-of-last-week']);
 * keys.accepts(req.headers.authorization);
 */
export class SharedKeys {
  readonly #first: string | undefined;

  readonly #digests: readonly Buffer[];

  /** @param keys - None for a group that needs no key. */
  constructor(keys: readonly string[]) {
    [this.#first] = keys;
    this.#digests = keys.map(digest);
  }

  /** The headers that carry the key; empty where there is none. */
  headers(): Record<string, string> {
    return this.#first === undefined ? {} : { authorization: SCHEME + this.#first };
  }

  /**
   * Whether an `authorization` header carries an accepted key. A comparison that ends at the first
   * wrong byte would let a caller find the key byte by byte from the time of the refusals; digests
   * have one length, and every key is compared to its end.
   */
  accepts(authorization: string | undefined): boolean {
    if (this.#digests.length === 0) return true;
    const sent = authorization?.startsWith(SCHEME) ? authorization.slice(SCHEME.length) : '';
    const given = digest(sent);
    const matches = this.#digests.map((known) => timingSafeEqual(known, given));
    return matches.includes(true);
  }
}
