/**
 * The platform's store: keyed topics in memory, with the calls that a node makes. It loses nothing
 * that it has acknowledged, and checks conditions and producers as the page on the store says.
 */
import http from 'node:http';

const APPEND_MS = 4;

const PAGE_KEYS = 500;

const REPEATS = 5;

const RECORD_BYTES = 262_144;

const REQUEST_BYTES = 2_097_152;

/** Yields the contents of the records of an append. */
function* contentsOf(body) {
  let at = 0;
  while (at < body.length) {
    const length = body.readUInt32BE(at);
    at += 4;
    yield body.subarray(at, at + length);
    at += length;
  }
}

function keyedContent(key, value) {
  const keyBytes = Buffer.from(key);
  const valueBytes = Buffer.from(value === undefined ? '' : JSON.stringify(value));
  return Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, valueBytes]);
}

const keyOf = (content) => content.toString('utf8', 1, 1 + content[0]);

class Partition {
  records = [];

  producers = new Map();

  #waiting = [];

  /** When the appends that were received up to now are done. */
  #busyUntilMs = 0;

  /** Waits for the turn of an append: a partition processes one at a time. */
  async turn() {
    const nowMs = performance.now();
    this.#busyUntilMs = Math.max(nowMs, this.#busyUntilMs) + APPEND_MS;
    await new Promise((resolve) => {
      setTimeout(resolve, this.#busyUntilMs - nowMs);
    });
  }

  push(contents) {
    this.records.push(...contents);
    const waiting = this.#waiting;
    this.#waiting = [];
    for (const wake of waiting) wake();
  }

  async waitForRecord(waitMs) {
    await new Promise((resolve) => {
      const timer = setTimeout(resolve, waitMs);
      this.#waiting.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  /** The newest record of each key that was not deleted. */
  newest() {
    const byKey = new Map();
    for (const [offset, content] of this.records.entries()) {
      const key = keyOf(content);
      const value = content.subarray(1 + content[0]);
      if (value.length === 0) byKey.delete(key);
      else byKey.set(key, { key, value: value.toString('base64'), offset });
    }
    return [...byKey.values()].sort((a, b) => (a.key < b.key ? -1 : 1));
  }
}

export class Store {
  #partitions = new Map();

  #servers = [];

  /** The name of the caller that last had an append with a producer accepted. */
  lastWriter;

  /** Writes a record as operators and minions do. */
  put(topic, key, value) {
    this.#partition(topic, 0).push([keyedContent(key, value)]);
  }

  /** Listens for the calls of one node, by which its name is known; returns HOST:PORT. */
  async listenFor(caller) {
    const server = http.createServer((req, res) => {
      this.#serve(caller, req, res).catch((err) => res.destroy(err));
    });
    this.#servers.push(server);
    await new Promise((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${server.address().port}`;
  }

  stop() {
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  #partition(topic, part) {
    const name = `${topic}/${part}`;
    if (!this.#partitions.has(name)) this.#partitions.set(name, new Partition());
    return this.#partitions.get(name);
  }

  async #serve(caller, req, res) {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const { pathname, searchParams: query } = new URL(req.url, 'http://store');
    const partition = this.#partition(query.get('topic'), Number(query.get('part')));
    const body = Buffer.concat(chunks);
    if (pathname === '/v1/log-append') await this.#append(caller, partition, query, body, res);
    else if (pathname === '/v1/log-read') await Store.#read(partition, query, res);
    else if (pathname === '/v1/log-newest') Store.#newest(partition, query, res);
    else Store.#json(res, 404, {});
  }

  async #append(caller, partition, query, body, res) {
    const contents = [...contentsOf(body)];
    if (body.length > REQUEST_BYTES || contents.some(({ length }) => length > RECORD_BYTES)) {
      Store.#json(res, 413, {});
      return;
    }
    await partition.turn();
    const end = partition.records.length;
    const answer = { offset: end, end_offset: end + contents.length };
    const producer = query.get('producer');
    const former = producer === null ? undefined : partition.producers.get(producer);
    const [epoch, sequence] = [Number(query.get('epoch')), Number(query.get('sequence'))];
    if (former && epoch < former.epoch) {
      Store.#json(res, 409, { reason: 'fenced' });
      return;
    }
    const isSameEpoch = former?.epoch === epoch;
    const repeated = isSameEpoch && former.answers.find((row) => row.sequence === sequence);
    if (repeated) {
      Store.#json(res, 200, repeated.answer);
      return;
    }
    if (isSameEpoch && sequence !== former.sequence + 1) {
      Store.#json(res, 409, { reason: 'seq', sequence: former.sequence + 1 });
      return;
    }
    if (query.has('at') && Number(query.get('at')) !== end) {
      Store.#json(res, 412, { end_offset: end });
      return;
    }
    if (producer !== null) {
      const answers = [...(isSameEpoch ? former.answers : []), { sequence, answer }];
      partition.producers.set(producer, { epoch, sequence, answers: answers.slice(-REPEATS) });
      this.lastWriter = caller;
    }
    partition.push(contents);
    Store.#json(res, 200, answer);
  }

  static async #read(partition, query, res) {
    const from = Number(query.get('from'));
    const waitMs = Number(query.get('wait_ms') ?? 0);
    if (from >= partition.records.length && waitMs > 0) await partition.waitForRecord(waitMs);
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(partition.records.length), 0);
    const records = partition.records.slice(from).flatMap((content) => {
      const length = Buffer.alloc(4);
      length.writeUInt32BE(content.length, 0);
      return [length, content];
    });
    res.writeHead(200).end(Buffer.concat([head, ...records]));
  }

  static #newest(partition, query, res) {
    const rest = partition.newest().filter(({ key }) => key > (query.get('after') ?? ''));
    const items = rest.slice(0, PAGE_KEYS);
    const hasMore = rest.length > items.length;
    const end = partition.records.length;
    Store.#json(res, 200, { items, has_more: hasMore, end_offset: end });
  }

  static #json(res, status, fields) {
    res.writeHead(status, { 'Content-Type': 'application/json' }).end(JSON.stringify(fields));
  }
}
