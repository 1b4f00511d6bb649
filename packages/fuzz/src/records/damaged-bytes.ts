/** How the bytes of a record may be spoilt, beside what its value holds. */
export type ByteDamage =
  'none' | 'deleted' | 'empty' | 'no-text' | 'cut-value' | 'key-too-long' | 'key-no-text';

/** A record as a store holds it, and what is known of it. */
export interface SpoiltRecord {
  /** The key that the record is about; undefined where it names none. */
  readonly key: string | undefined;
  /** The value that can be read; undefined where there is none. */
  readonly text: string | undefined;
  readonly content: Buffer;
}

const NO_TEXT = 0xff;

/** The longest key that a record can have. */
const MAX_KEY_BYTES = 255;

/** The content of a record with its damage done; `at` picks the place. */
export function spoil(key: string, text: string, damage: ByteDamage, at: number): SpoiltRecord {
  const keyBytes = Buffer.from(key);
  const value = Buffer.from(text);
  const place = at % (value.length + 1);
  const whole = (bytes: Buffer): Buffer =>
    Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, bytes]);
  switch (damage) {
    case 'deleted':
      return { key, text: undefined, content: whole(Buffer.alloc(0)) };
    case 'empty':
      return { key: undefined, text: undefined, content: Buffer.alloc(0) };
    case 'no-text': {
      const spoilt = [value.subarray(0, place), Buffer.from([NO_TEXT]), value.subarray(place)];
      return { key, text: undefined, content: whole(Buffer.concat(spoilt)) };
    }
    case 'cut-value': {
      // At least one byte is left: a record without any deletes its key.
      const cut = value.subarray(0, Math.max(1, Math.min(place, value.length - 1)));
      return { key, text: cut.toString(), content: whole(cut) };
    }
    case 'key-too-long': {
      // The value is cut to a length at which the key ends beyond the record.
      const content = whole(value.subarray(0, MAX_KEY_BYTES - keyBytes.length - 1));
      content[0] = MAX_KEY_BYTES;
      return { key: undefined, text: undefined, content };
    }
    case 'key-no-text': {
      const content = whole(value);
      content[1] = NO_TEXT;
      return { key: undefined, text: undefined, content };
    }
    default:
      return { key, text, content: whole(value) };
  }
}

/** The answer to a read: where the log ends, and the records framed one after another. */
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
