import http from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

const LENGTH_BYTES = 4;

const PAGE_ITEMS = 500;

const PAGE_BYTES = 1_048_576;

/** The limits and times that the settings of the sample state. */
const RECORD_BYTES = 262_144;

const REQUEST_BYTES = 2_097_152;

const APPEND_MS = 4;

const BYTES_PER_MS = 20_000;

const MAX_QUEUE_MS = 2_000;

/** How many of the latest appends of a producer get their first response again. */
const REPEATS = 5;

function keyOf(content) {
  return content.subarray(1, 1 + content[0]).toString('utf8');
}

function valueOf(content) {
  return content.subarray(1 + content[0]);
}

function* recordsIn(body) {
  for (let at = 0; at < body.length;) {
    const length = body.readUInt32BE(at);
    yield body.subarray(at + LENGTH_BYTES, at + LENGTH_BYTES + length);
    at += LENGTH_BYTES + length;
  }
}

function framed(content) {
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(content.length, 0);
  return Buffer.concat([length, content]);
}

/** The platform's metadata store: keyed topics, as its page describes them. */
export class Store {
  #partitions = new Map();

  #server = http.createServer((req, res) => {
    this.#serve(req, res).catch(() => res.destroy());
  });

  /** Appends that were refused because a record or the request was too large. */
  refused = [];

  address = '';

  async start(ip) {
    await new Promise((resolve) => {
      this.#server.listen(0, ip, resolve);
    });
    this.address = `${ip}:${this.#server.address().port}`;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes a record as the operator or a server does; undefined drops the key. */
  put(topic, key, value) {
    const keyBytes = Buffer.from(key);
    const valueBytes = Buffer.from(value === undefined ? '' : JSON.stringify(value));
    const content = Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, valueBytes]);
    this.#push(this.#partition(topic, 0), [content]);
  }

  /** Returns the newest value of a key as text; undefined if there is none. */
  newestText(topic, part, key) {
    const newest = this.#partition(topic, part).newest.get(key);
    return newest && valueOf(newest.content).toString('utf8');
  }

  #partition(topic, part) {
    const name = `${topic}/${part}`;
    const known = this.#partitions.get(name);
    if (known) return known;
    const created = {
      records: [],
      newest: new Map(),
      producers: new Map(),
      busyUntilMs: 0,
      waiting: [],
    };
    this.#partitions.set(name, created);
    return created;
  }

  async #serve(req, res) {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const url = new URL(req.url, 'http://store');
    const query = url.searchParams;
    const partition = this.#partition(query.get('topic'), Number(query.get('part') ?? 0));
    const { status, json, raw } = await this.#answer(url, partition, Buffer.concat(chunks));
    const body = raw ?? Buffer.from(JSON.stringify(json ?? {}));
    res.writeHead(status, { 'Content-Length': body.length });
    res.end(body);
  }

  #answer({ pathname, searchParams: query }, partition, body) {
    switch (pathname) {
      case '/v1/log-append':
        return this.#append(partition, query, body);
      case '/v1/log-read':
        return this.#read(partition, Number(query.get('from')), Number(query.get('wait_ms') ?? 0));
      case '/v1/log-newest':
        return this.#newest(partition, query.get('after') ?? '');
      default:
        return { status: 404 };
    }
  }

  async #append(partition, query, body) {
    const records = [...recordsIn(body)];
    const largest = Math.max(0, ...records.map(({ length }) => length));
    if (largest > RECORD_BYTES || body.length > REQUEST_BYTES) {
      this.refused.push({ atMs: Date.now(), largest, total: body.length });
      return { status: 413 };
    }
    const nowMs = performance.now();
    const startMs = Math.max(nowMs, partition.busyUntilMs);
    if (startMs - nowMs > MAX_QUEUE_MS) return { status: 503 };
    const endMs = startMs + APPEND_MS + body.length / BYTES_PER_MS;
    Object.assign(partition, { busyUntilMs: endMs });
    await sleep(endMs - nowMs);
    return this.#store(partition, query, records);
  }

  #store(partition, query, records) {
    const end = partition.records.length;
    const at = query.get('at');
    const producer = query.get('producer');
    const [epoch, sequence] = [Number(query.get('epoch')), Number(query.get('sequence'))];
    const before = producer === null ? undefined : partition.producers.get(producer);
    if (before && epoch < before.epoch) return { status: 409, json: { reason: 'fenced' } };
    const isSameEpoch = before?.epoch === epoch;
    if (isSameEpoch && sequence !== before.sequence + 1) {
      const first = before.answers.get(sequence);
      if (first) return first;
      return { status: 409, json: { reason: 'seq', sequence: before.sequence + 1 } };
    }
    if (at !== null && Number(at) !== end) return { status: 412, json: { end_offset: end } };
    this.#push(partition, records);
    const answer = { status: 200, json: { offset: end, end_offset: partition.records.length } };
    if (producer !== null) {
      const answers = new Map(isSameEpoch ? [...before.answers].slice(1 - REPEATS) : []);
      answers.set(sequence, answer);
      partition.producers.set(producer, { epoch, sequence, answers });
    }
    return answer;
  }

  #push(partition, contents) {
    for (const content of contents) {
      const key = keyOf(content);
      if (valueOf(content).length === 0) partition.newest.delete(key);
      else partition.newest.set(key, { content, offset: partition.records.length });
      partition.records.push(content);
    }
    const { waiting } = partition;
    Object.assign(partition, { waiting: [] });
    for (const wake of waiting) wake();
  }

  async #read(partition, from, waitMs) {
    if (from >= partition.records.length && waitMs > 0) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, waitMs);
        partition.waiting.push(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(partition.records.length), 0);
    const parts = [head];
    let bytes = 0;
    for (let i = from; i < partition.records.length && bytes < PAGE_BYTES; i += 1) {
      parts.push(framed(partition.records[i]));
      bytes += partition.records[i].length;
    }
    return { status: 200, raw: Buffer.concat(parts) };
  }

  #newest(partition, after) {
    const keys = [...partition.newest.keys()].filter((key) => key > after).sort();
    const items = [];
    let bytes = 0;
    for (const key of keys) {
      if (items.length >= PAGE_ITEMS || bytes >= PAGE_BYTES) break;
      const { content, offset } = partition.newest.get(key);
      items.push({ key, value: valueOf(content).toString('base64'), offset });
      bytes += content.length;
    }
    const hasMore = items.length < keys.length;
    return {
      status: 200,
      json: { items, has_more: hasMore, end_offset: partition.records.length },
    };
  }
}
