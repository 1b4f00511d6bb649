import { StringDecoder } from 'node:string_decoder';

/** Maximum size of a hello line, in characters. */
const MAX_HELLO_LENGTH = 1_024;

/**
 * Maximum size of any later line, in characters: the grants of 2,000 workers take 100 KB. What a
 * peer sends after a longer line is dropped.
 */
const MAX_LINE_LENGTH = 262_144;

/** How many lines are kept until a receiver is set. */
const MAX_KEPT_LINES = 8;

/** Splits what a peer sends into lines: its hello, and the messages that follow. */
export class PeerLines {
  readonly #decoder = new StringDecoder('utf8');

  /** The parts of the line that has not ended yet. */
  #parts: string[] = [];

  #partsLength = 0;

  #hello: string | undefined;

  #isTooLong = false;

  #kept: string[] = [];

  #listener: ((line: string) => void) | undefined;

  /** Whether a line exceeds its maximum size; the rest is dropped. */
  get isTooLong(): boolean {
    return this.#isTooLong;
  }

  add(data: Buffer): void {
    if (this.#isTooLong) return;
    const [first = '', ...others] = this.#decoder.write(data).split('\n');
    this.#append(first);
    for (const part of others) {
      this.#endLine();
      this.#append(part);
    }
  }

  /** The hello line; undefined before all of it was received. */
  get hello(): string | undefined {
    return this.#hello;
  }

  /** Passes the kept lines and all later ones to the listener. */
  deliverTo(listener: (line: string) => void): void {
    this.#listener = listener;
    const kept = this.#kept;
    this.#kept = [];
    for (const line of kept) listener(line);
  }

  #append(part: string): void {
    this.#parts.push(part);
    this.#partsLength += part.length;
    const maxLength = this.#hello === undefined ? MAX_HELLO_LENGTH : MAX_LINE_LENGTH;
    if (this.#partsLength <= maxLength) return;
    this.#isTooLong = true;
    this.#parts = [];
  }

  #endLine(): void {
    if (this.#isTooLong) return;
    const line = this.#parts.join('');
    this.#parts = [];
    this.#partsLength = 0;
    if (this.#hello === undefined) this.#hello = line;
    else if (this.#listener) this.#listener(line);
    else if (this.#kept.length < MAX_KEPT_LINES) this.#kept.push(line);
  }
}
