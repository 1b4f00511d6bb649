import type { LogPage } from '@redwingcrank/protocol';
import type { JsonAnswer, JsonHandler, JsonRequest } from '@redwingcrank/ports';

interface Stream {
  first: number;
  entries: { offset: number; value: unknown; at: number }[];
  waiting: Set<() => void>;
}

export interface FakeLogOptions {
  /** Highest rate of appends; appends above it are refused with status 429. */
  readonly appendsPerSecond: number;
  /** Retention time of records, in milliseconds. */
  readonly retentionMs: number;
}

const SECOND_MS = 1000;

/** The platform's log: streams with offsets, long polling, limited retention and append rate. */
export class FakeLog {
  readonly #options: FakeLogOptions;

  readonly #streams = new Map<string, Stream>();

  #windowStart = 0;

  #windowAppends = 0;

  constructor(options: FakeLogOptions) {
    this.#options = options;
  }

  readonly handler: JsonHandler = (req) => {
    const match = /^\/streams\/([\w-]+)\/records$/.exec(req.url.pathname);
    const name = match?.[1];
    if (name === undefined) return { status: 404, body: { error: 'no such path' } };
    return req.method === 'POST' ? this.#append(name, req) : this.#read(name, req);
  };

  append(name: string, value: unknown): number {
    const stream = this.#stream(name);
    const offset = stream.first + stream.entries.length;
    stream.entries.push({ offset, value, at: Date.now() });
    for (const wake of stream.waiting) wake();
    return offset;
  }

  #append(name: string, req: JsonRequest): JsonAnswer {
    if (!this.#admitAppend()) return { status: 429, body: { error: 'too many appends' } };
    const { record } = req.body as { record: unknown };
    return { status: 200, body: { offset: this.append(name, record) } };
  }

  #admitAppend(): boolean {
    const now = Date.now();
    if (now - this.#windowStart >= SECOND_MS) {
      this.#windowStart = now;
      this.#windowAppends = 0;
    }
    this.#windowAppends += 1;
    return this.#windowAppends <= this.#options.appendsPerSecond;
  }

  async #read(name: string, req: JsonRequest): Promise<JsonAnswer> {
    const from = Number(req.url.searchParams.get('from'));
    const waitMs = Number(req.url.searchParams.get('waitMs'));
    const limit = Number(req.url.searchParams.get('limit') ?? '100');
    const stream = this.#stream(name);
    if (this.#page(stream, from, limit).entries.length === 0) await waitForAppend(stream, waitMs);
    return { status: 200, body: this.#page(stream, from, limit) };
  }

  #page(stream: Stream, from: number, limit: number): LogPage {
    this.#expire(stream);
    const start = Math.max(from, stream.first);
    const entries = stream.entries
      .slice(start - stream.first, start - stream.first + limit)
      .map(({ offset, value }) => ({ offset, value }));
    return { entries, first: stream.first, next: start + entries.length };
  }

  #expire(stream: Stream): void {
    const oldest = Date.now() - this.#options.retentionMs;
    while (stream.entries[0] && stream.entries[0].at < oldest) {
      stream.entries.shift();
      stream.first += 1;
    }
  }

  #stream(name: string): Stream {
    const known = this.#streams.get(name);
    if (known) return known;
    const stream: Stream = { first: 0, entries: [], waiting: new Set() };
    this.#streams.set(name, stream);
    return stream;
  }
}

function waitForAppend(stream: Stream, waitMs: number): Promise<void> {
  if (waitMs <= 0) return Promise.resolve();
  return new Promise((resolve) => {
    let timer: NodeJS.Timeout | undefined;
    const done = (): void => {
      clearTimeout(timer);
      stream.waiting.delete(done);
      resolve();
    };
    timer = setTimeout(done, waitMs);
    stream.waiting.add(done);
  });
}
