/** A stand-in for the platform's store: keyed topics in memory, as the users' pages describe them. */

import http from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

/** How long an append takes; a partition executes one after another. */
const APPEND_MS = 4;

/** An append is refused if those before it take longer than this. */
const MAX_QUEUE_MS = 2_000;

const RECORD_BYTES = 262_144;

const REQUEST_BYTES = 2_097_152;

const PAGE_ITEMS = 500;

const PAGE_BYTES = 1_000_000;

const DEFAULT_READ_KB = 1_024;

/** Appends of a producer that are answered again when they are repeated. */
const REMEMBERED_APPENDS = 5;

const LENGTH_BYTES = 4;

class Partition {
  records = [];

  /** By producer. */
  producers = new Map();

  busyUntilMs = 0;

  #waiting = new Set();

  push(contents) {
    const offset = this.records.length;
    this.records.push(...contents);
    for (const wake of this.#waiting) wake();
    this.#waiting.clear();
    return { offset, end_offset: this.records.length };
  }

  /** Resolves when a record is added, or after `ms`. */
  async whenAdded(ms) {
    await new Promise((resolve) => {
      const timer = setTimeout(resolve, ms);
      this.#waiting.add(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  /** Waits until this append and those before it are executed; returns false if it is refused. */
  async takeTurn() {
    const nowMs = performance.now();
    const startMs = Math.max(nowMs, this.busyUntilMs);
    if (startMs - nowMs > MAX_QUEUE_MS) return false;
    this.busyUntilMs = startMs + APPEND_MS;
    await sleep(this.busyUntilMs - nowMs);
    return true;
  }
}

/** A loopback server with topics, and `put` for what workers and operators write. */
export class Store {
  #partitions = new Map();

  #server = http.createServer((req, res) => {
    this.#serve(req, res).catch(() => res.destroy());
  });

  address = '';

  /** Called for each refused append of a record or a request that is too large. */
  onTooLarge = () => {};

  async start() {
    await new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    this.address = `127.0.0.1:${this.#server.address().port}`;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes a record; without a value, the key is dropped. */
  put(topic, key, value) {
    this.#partition(topic, 0).push([
      contentOf(key, value === undefined ? '' : JSON.stringify(value)),
    ]);
  }

  #partition(topic, part) {
    const name = `${topic}/${part}`;
    const known = this.#partitions.get(name) ?? new Partition();
    this.#partitions.set(name, known);
    return known;
  }

  async #serve(req, res) {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const { pathname, searchParams: query } = new URL(req.url, 'http://store');
    const partition = this.#partition(query.get('topic'), Number(query.get('part') ?? 0));
    const { status, json, raw } = await this.#answer(
      pathname,
      partition,
      query,
      Buffer.concat(chunks),
    );
    const body = raw ?? Buffer.from(JSON.stringify(json ?? {}));
    res.writeHead(status, { 'Content-Length': body.length });
    res.end(body);
  }

  async #answer(pathname, partition, query, body) {
    switch (pathname) {
      case '/v1/log-append':
        return this.#append(partition, query, body);
      case '/v1/log-read':
        return read(partition, query);
      case '/v1/log-newest':
        return newest(partition, query.get('after') ?? '');
      default:
        return { status: 404 };
    }
  }

  async #append(partition, query, body) {
    const contents = [...splitRecords(body)];
    const largest = Math.max(0, ...contents.map(({ length }) => length));
    if (largest > RECORD_BYTES || body.length > REQUEST_BYTES) {
      this.onTooLarge(largest, body.length);
      return { status: 400, json: { reason: 'size' } };
    }
    if (!(await partition.takeTurn())) return { status: 503 };
    const producer = query.get('producer');
    const epoch = Number(query.get('epoch'));
    const sequence = Number(query.get('sequence'));
    const known = producer === null ? undefined : partition.producers.get(producer);
    if (known && epoch < known.epoch) return { status: 409, json: { reason: 'fenced' } };
    if (known && epoch === known.epoch) {
      const repeated = known.answers.find((answer) => answer.sequence === sequence);
      if (repeated) return { status: 200, json: repeated.json };
      if (sequence !== known.sequence + 1)
        return { status: 409, json: { reason: 'seq', sequence: known.sequence + 1 } };
    }
    const at = query.get('at');
    if (at !== null && Number(at) !== partition.records.length)
      return { status: 412, json: { end_offset: partition.records.length } };
    const json = partition.push(contents);
    if (producer !== null) {
      const former = known?.epoch === epoch ? known.answers : [];
      const answers = [...former, { sequence, json }].slice(-REMEMBERED_APPENDS);
      partition.producers.set(producer, { epoch, sequence, answers });
    }
    return { status: 200, json };
  }
}

async function read(partition, query) {
  const from = Number(query.get('from'));
  const waitMs = Number(query.get('wait_ms') ?? 0);
  if (from >= partition.records.length && waitMs > 0) await partition.whenAdded(waitMs);
  const head = Buffer.alloc(16);
  head.writeBigUInt64BE(BigInt(partition.records.length), 0);
  const parts = [head];
  let leftBytes = Number(query.get('max_kb') ?? DEFAULT_READ_KB) * 1_024;
  for (const content of partition.records.slice(from)) {
    leftBytes -= LENGTH_BYTES + content.length;
    if (leftBytes < 0 && parts.length > 1) break;
    const length = Buffer.alloc(LENGTH_BYTES);
    length.writeUInt32BE(content.length, 0);
    parts.push(length, content);
  }
  return { status: 200, raw: Buffer.concat(parts) };
}

function newest({ records }, after) {
  const byKey = new Map();
  for (const [offset, content] of records.entries()) {
    const keyEnd = 1 + content[0];
    const key = content.toString('utf8', 1, keyEnd);
    if (content.length === keyEnd) byKey.delete(key);
    else byKey.set(key, { key, value: content.toString('base64', keyEnd), offset });
  }
  const rest = [...byKey.values()].filter(({ key }) => key > after);
  rest.sort((a, b) => (a.key < b.key ? -1 : 1));
  const items = [];
  let bytes = 0;
  for (const item of rest) {
    bytes += item.key.length + item.value.length;
    if (items.length >= PAGE_ITEMS || (bytes > PAGE_BYTES && items.length > 0)) break;
    items.push(item);
  }
  const hasMore = items.length < rest.length;
  return { status: 200, json: { items, has_more: hasMore, end_offset: records.length } };
}

function contentOf(key, value) {
  const keyBytes = Buffer.from(key);
  return Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, Buffer.from(value)]);
}

function* splitRecords(body) {
  for (let at = 0; at < body.length;) {
    const contentAt = at + LENGTH_BYTES;
    at = contentAt + body.readUInt32BE(at);
    yield body.subarray(contentAt, at);
  }
}
