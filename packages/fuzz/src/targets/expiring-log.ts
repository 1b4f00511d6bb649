import type { LogEntry } from '@redwingcrank/protocol';

/** Models a stream whose oldest records expire. */
export class ExpiringLog {
  readonly #entries: LogEntry[] = [];

  #first = 0;

  /** The oldest offset that has not expired. */
  get first(): number {
    return this.#first;
  }

  get next(): number {
    return this.#entries.length;
  }

  append(value: unknown): number {
    this.#entries.push({ offset: this.next, value });
    return this.next - 1;
  }

  /** Yields the records from an offset on that have not expired. */
  *read(from: number): Generator<LogEntry> {
    for (let i = Math.max(from, this.#first); i < this.next; i += 1) {
      const entry = this.#entries[i];
      if (entry) yield entry;
    }
  }

  /** Expires the oldest records so that at most `keep` records are left. */
  expire(keep: number): void {
    this.#first = Math.max(this.#first, this.next - keep);
  }
}
