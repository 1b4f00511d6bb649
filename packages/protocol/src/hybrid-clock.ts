const COUNTER_DIGITS = 4;
const MILLIS_DIGITS = 11;
const RADIX = 36;

/**
 * A hybrid logical clock. It follows wall-clock time but never falls behind a stamp that was
 * received, so an effect is never stamped before its cause.
 *
 * Stamps are strings whose lexicographic order is their order in time.
 *
 * @example
 * const clock = new HybridClock(() => Date.now());
 * clock.observe(stampFromPeer);
 * const stamp = clock.tick();
 */
export class HybridClock {
  readonly #now: () => number;

  #millis = 0;

  #counter = 0;

  /** @param now - Returns the wall-clock time in milliseconds. */
  constructor(now: () => number) {
    this.#now = now;
  }

  /** Returns a stamp that is later than every stamp returned or observed before. */
  tick(): string {
    const now = this.#now();
    if (now > this.#millis) {
      this.#millis = now;
      this.#counter = 0;
    } else {
      this.#counter += 1;
    }
    return formatStamp(this.#millis, this.#counter);
  }

  /** Advances the clock to a stamp from another process. Ignores a malformed stamp. */
  observe(stamp: string): void {
    const [millis, counter] = parseStamp(stamp);
    if (Number.isNaN(millis) || Number.isNaN(counter)) return;
    if (millis > this.#millis) {
      this.#millis = millis;
      this.#counter = counter;
    } else if (millis === this.#millis && counter > this.#counter) {
      this.#counter = counter;
    }
  }
}

function formatStamp(millis: number, counter: number): string {
  const high = millis.toString(RADIX).padStart(MILLIS_DIGITS, '0');
  const low = counter.toString(RADIX).padStart(COUNTER_DIGITS, '0');
  return `${high}.${low}`;
}

function parseStamp(stamp: string): [number, number] {
  const [high = '', low = ''] = stamp.split('.');
  return [parseInt(high, RADIX), parseInt(low, RADIX)];
}

/** Returns the wall-clock part of a stamp in milliseconds. */
export function stampMillis(stamp: string): number {
  return parseStamp(stamp)[0];
}

/** Returns the earliest stamp of a time in milliseconds. Stamps of later events compare after it. */
export function stampAt(millis: number): string {
  return formatStamp(Math.max(0, Math.floor(millis)), 0);
}
