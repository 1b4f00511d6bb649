/** The ways in which the bytes of a record may be damaged, apart from the contents of its value. */
export type ByteDamage =
  'none' | 'deleted' | 'empty' | 'no-text' | 'cut-value' | 'key-too-long' | 'key-no-text';

/** A record as a store holds it, with the expected result of reading it. */
export interface DamagedRecord {
  /** The key of the record; undefined if no key can be read. */
  readonly key: string | undefined;
  /** The value of the record; undefined if no value can be read. */
  readonly text: string | undefined;
  readonly content: Buffer;
}

const INVALID_UTF8_BYTE = 0xff;

/** The longest key that a record can have. */
const MAX_KEY_BYTES = 255;

/** Encodes a record and damages its bytes; `at` selects the position. */
export function damageRecord(
  key: string,
  text: string,
  damage: ByteDamage,
  at: number,
): DamagedRecord {
  const keyBytes = Buffer.from(key);
  const value = Buffer.from(text);
  const position = at % (value.length + 1);
  const encode = (bytes: Buffer): Buffer =>
    Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, bytes]);
  switch (damage) {
    case 'deleted':
      return { key, text: undefined, content: encode(Buffer.alloc(0)) };
    case 'empty':
      return { key: undefined, text: undefined, content: Buffer.alloc(0) };
    case 'no-text': {
      const damaged = [
        value.subarray(0, position),
        Buffer.from([INVALID_UTF8_BYTE]),
        value.subarray(position),
      ];
      return { key, text: undefined, content: encode(Buffer.concat(damaged)) };
    }
    case 'cut-value': {
      // At least one byte is left, because an empty value deletes the key.
      const cut = value.subarray(0, Math.max(1, Math.min(position, value.length - 1)));
      return { key, text: cut.toString(), content: encode(cut) };
    }
    case 'key-too-long': {
      // The value is cut to a length at which the key would end beyond the record.
      const content = encode(value.subarray(0, MAX_KEY_BYTES - keyBytes.length - 1));
      content[0] = MAX_KEY_BYTES;
      return { key: undefined, text: undefined, content };
    }
    case 'key-no-text': {
      const content = encode(value);
      content[1] = INVALID_UTF8_BYTE;
      return { key: undefined, text: undefined, content };
    }
    default:
      return { key, text, content: encode(value) };
  }
}

/** Encodes the answer to a read: the end offset of the log, then each record with its length. */
export function pageOf(end: number, contents: readonly Buffer[]): Buffer {
  const head = Buffer.alloc(16);
  head.writeBigUInt64BE(BigInt(end), 0);
  const framed = contents.flatMap((content) => {
    const length = Buffer.alloc(4);
    length.writeUInt32BE(content.length, 0);
    return [length, content];
  });
  return Buffer.concat([head, ...framed]);
}
