import { createHash, timingSafeEqual } from 'node:crypto';

const SCHEME = 'Bearer ';

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

/**
 * The shared keys of one group of users. The first key is sent and all keys are accepted, so a key
 * can be rotated without downtime: append the new key on all processes, then move it to the front on
 * all processes, then remove the old key.
 *
 * @example
 * const keys = new SharedKeys(['new-key-of-this-week', 'old-key-of-last-week']);
 * keys.accepts(req.headers.authorization);
 */
export class SharedKeys {
  readonly #first: string | undefined;

  readonly #digests: readonly Buffer[];

  /** @param keys - The accepted keys; empty for a group that needs no key. */
  constructor(keys: readonly string[]) {
    [this.#first] = keys;
    this.#digests = keys.map(digest);
  }

  /** Returns the headers that carry the first key; empty without keys. */
  headers(): Record<string, string> {
    return this.#first === undefined ? {} : { authorization: SCHEME + this.#first };
  }

  /**
   * Returns whether an `authorization` header carries an accepted key. A comparison that ends at the
   * first wrong byte would let a caller find the key byte by byte from the time of the refusals.
   * Digests have equal lengths, and the digest of every key is compared in constant time.
   */
  accepts(authorization: string | undefined): boolean {
    if (this.#digests.length === 0) return true;
    const sentKey = authorization?.startsWith(SCHEME) ? authorization.slice(SCHEME.length) : '';
    const sentDigest = digest(sentKey);
    const matches = this.#digests.map((accepted) => timingSafeEqual(accepted, sentDigest));
    return matches.includes(true);
  }
}
