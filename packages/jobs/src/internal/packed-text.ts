const PACKED = '~';

const BASE64 = /^~[\w-]+$/;

const HEX_BYTES = /^(?:[0-9a-f]{2})+$/;

const HEX_TAIL = /(?:[0-9a-f]{2})+$/;

/** The characters with a meaning in a record, and all that are not printable ASCII. */
const SPECIAL = /[!%,.;|~]|[^ -~]/g;

const UNSAFE = /[!,.;|~]|[^ -~]/;

const ESCAPED = /%([0-9a-f]{4})/g;

/** Converted texts that are kept; beyond that they are converted again. */
const MAX_CACHED = 4_096;

/** Prefixes whose texts are kept. */
const MAX_PREFIXES = 16;

const BY_PREFIX = new Map<string, PackedText>();

/**
 * Shortens texts that consist of a prefix and bytes in hexadecimal, such as the ids of workers, to
 * "~" and the bytes in base64url; all other text is escaped. The same few hundred ids occur in every
 * record, so conversions are cached: they would take most of the time of reading a record.
 */
export class PackedText {
  readonly prefix: string;

  readonly #packed = new Map<string, string>();

  readonly #unpacked = new Map<string, string>();

  constructor(prefix: string) {
    this.prefix = prefix;
  }

  /** Returns the conversions of texts with this prefix; their caches are shared. */
  static of(prefix: string): PackedText {
    const known = BY_PREFIX.get(prefix);
    if (known) return known;
    if (BY_PREFIX.size >= MAX_PREFIXES) BY_PREFIX.clear();
    const created = new PackedText(prefix);
    BY_PREFIX.set(prefix, created);
    return created;
  }

  /** Returns what a text has before its bytes in hexadecimal. */
  static prefixOf(text: string): string {
    return text.replace(HEX_TAIL, '');
  }

  static isPacked(text: string): boolean {
    return text.startsWith(PACKED);
  }

  /** Returns the packed form of a text, which contains no separator of a record. */
  pack(text: string): string {
    const cached = this.#packed.get(text);
    if (cached !== undefined) return cached;
    const tail = text.startsWith(this.prefix) ? text.slice(this.prefix.length) : '';
    const packed = HEX_BYTES.test(tail)
      ? `${PACKED}${Buffer.from(tail, 'hex').toString('base64url')}`
      : escapeText(text);
    remember(this.#packed, text, packed);
    return packed;
  }

  /** Returns the text that was packed; undefined if it is malformed. */
  unpack(packed: string): string | undefined {
    const cached = this.#unpacked.get(packed);
    if (cached !== undefined) return cached;
    if (!PackedText.isPacked(packed)) return UNSAFE.test(packed) ? undefined : unescapeText(packed);
    if (!BASE64.test(packed)) return undefined;
    const text = `${this.prefix}${Buffer.from(packed.slice(1), 'base64url').toString('hex')}`;
    remember(this.#unpacked, packed, text);
    return text;
  }
}

/** Replaces the characters that have a meaning in a record, and all that are not printable ASCII. */
export function escapeText(text: string): string {
  return text.replace(SPECIAL, (char) => `%${char.charCodeAt(0).toString(16).padStart(4, '0')}`);
}

/** Returns the text that `escapeText` was given. */
export function unescapeText(text: string): string {
  return text.replace(ESCAPED, (_match, code: string) => String.fromCharCode(parseInt(code, 16)));
}

function remember(cache: Map<string, string>, key: string, value: string): void {
  if (cache.size >= MAX_CACHED) cache.clear();
  cache.set(key, value);
}
