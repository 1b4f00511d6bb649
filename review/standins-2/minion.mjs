import http from 'node:http';
import { randomBytes } from 'node:crypto';

/** A longer lease is shortened to this, in milliseconds: the sample's `max_hold_ms`. */
const MAX_HOLD_MS = 6_000;

/** How long a stop takes, in milliseconds; the sample allows 900. */
const STOP_MS = 50;

/** How long a task that lasts starts up before it is at work, in milliseconds. */
const START_UP_MS = 200;

const MAX_LISTED_ENDS = 500;

const TICK_MS = 20;

/** A minion: capacity, runs, their leases, the fencing token, and the list of ends. */
export class Minion {
  #running = new Map();

  #ended = [];

  #endCount = 0;

  #highestEnded = new Map();

  #token = 0;

  #leaseEndMs = -Infinity;

  #bornMs = performance.now();

  #waiters = new Set();

  #server = http.createServer((req, res) => {
    this.#serve(req, res).catch(() => res.destroy());
  });

  #timer;

  #workOf;

  #onEvent;

  address = '';

  /** Whether it fails all that it runs, though it looks healthy. */
  isGrey = false;

  /**
   * `workOf` returns for a task and its `spec` how long it works (Infinity for one that lasts) or its
   * `gangs`, its claims, and its rough measure; `onEvent` receives each start and each end.
   */
  constructor({
    capacity,
    labels,
    zone,
    workOf,
    onEvent,
    id = `i-${randomBytes(4).toString('hex')}`,
  }) {
    Object.assign(this, { id, capacity, labels, zone });
    this.#workOf = workOf;
    this.#onEvent = onEvent;
  }

  async start(ip, port = 0) {
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, ip, resolve);
    });
    this.port = this.#server.address().port;
    this.address = `${ip}:${this.port}`;
    this.#timer = setInterval(() => this.#tick(), TICK_MS);
  }

  /** Ends at once, as a process that is killed: its connections are reset. */
  async crash() {
    clearInterval(this.#timer);
    for (const run of this.#running.values()) this.#event('lost', run, {});
    this.#running.clear();
    const closed = new Promise((resolve) => {
      this.#server.close(resolve);
    });
    this.#server.closeAllConnections();
    await closed;
  }

  get runningCount() {
    return this.#running.size;
  }

  /** The processor time that its tasks claim, in thousandths of a core. */
  get usedMilli() {
    let sum = 0;
    for (const { claim } of this.#running.values()) sum += claim.cpu;
    return sum;
  }

  /** The entry that it writes into the store. */
  entry(sequence) {
    return {
      service: 'pool',
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence,
      capacity: this.capacity,
      labels: this.labels,
    };
  }

  #clockMs() {
    return Math.floor(performance.now() - this.#bornMs);
  }

  #event(kind, { task, run }, fields) {
    this.#onEvent({ kind, worker: this.id, task, run, ...fields });
  }

  #tick() {
    const nowMs = performance.now();
    if (this.#clockMs() > this.#leaseEndMs) {
      for (const run of [...this.#running.values()]) this.#end(run, 'lapsed');
      return;
    }
    for (const run of [...this.#running.values()]) {
      if (nowMs >= run.stopMs) this.#end(run, 'stopped');
      else {
        const how = this.#endOf(run, nowMs);
        if (how) this.#end(run, how);
      }
    }
  }

  /** Returns how a run ends by itself now; undefined while it goes on. */
  #endOf({ task, run, claim, startedMs }, nowMs) {
    if (claim.gangs) return claim.gangs.endOf(task, run, startedMs, this.isGrey);
    if (nowMs - startedMs < claim.workMs) return undefined;
    return this.isGrey ? 'failed' : 'done';
  }

  #end(run, how) {
    this.#running.delete(run.task);
    this.#highestEnded.set(run.task, Math.max(run.run, this.#highestEnded.get(run.task) ?? 0));
    run.claim.gangs?.left(run.task, run.run, how);
    this.#endCount += 1;
    this.#ended.push([this.#endCount, run.task, run.run, how, '']);
    this.#event('ended', run, { how });
    for (const wake of this.#waiters) wake();
  }

  async #serve(req, res) {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const { status, json } = await this.#answer(req, JSON.parse(Buffer.concat(chunks).toString()));
    const text = JSON.stringify({ clock_ms: this.#clockMs(), ...json });
    res.writeHead(status, { 'Content-Length': Buffer.byteLength(text) });
    res.end(text);
  }

  async #answer(req, body) {
    const expected = req.headers['x-redwingcrank-expected-instance'];
    if (expected !== undefined && expected !== this.id) return { status: 421 };
    const token = body.fencing_token ?? 0;
    if (token < this.#token) return { status: 409, json: { reason: 'fence' } };
    this.#token = token;
    switch (req.url) {
      case '/v1/run-start':
        return this.#start(body);
      case '/v1/run-stop':
        return this.#stopRun(body);
      case '/v1/hold':
        return this.#hold(body);
      case '/v1/pace':
        return { status: 200 };
      default:
        return { status: 404 };
    }
  }

  #extend(deadlineMs) {
    if (deadlineMs === undefined) return;
    const endMs = Math.min(deadlineMs, this.#clockMs() + MAX_HOLD_MS);
    this.#leaseEndMs = Math.max(this.#leaseEndMs, endMs);
  }

  #start({ task, run, spec, deadline_ms: deadlineMs }) {
    if (deadlineMs < this.#clockMs()) return { status: 409, json: { reason: 'late' } };
    const known = this.#running.get(task);
    if (known?.run === run) return { status: 200 };
    this.#extend(deadlineMs);
    if (known || run <= (this.#highestEnded.get(task) ?? 0)) {
      return { status: 409, json: { reason: 'old' } };
    }
    const claim = this.#workOf(task, spec);
    if (!claim.fills && this.usedMilli + claim.cpu > this.capacity.cpu) {
      return { status: 409, json: { reason: 'room' } };
    }
    const started = { task, run, spec, claim, startedMs: performance.now(), stopMs: Infinity };
    this.#running.set(task, started);
    claim.gangs?.joined(task, run);
    this.#event('started', started, { token: this.#token });
    return { status: 200 };
  }

  #stopRun({ task, run }) {
    this.#highestEnded.set(task, Math.max(run, this.#highestEnded.get(task) ?? 0));
    const running = this.#running.get(task);
    if (running?.run === run)
      running.stopMs = Math.min(running.stopMs, performance.now() + STOP_MS);
    return { status: 200 };
  }

  async #hold({ deadline_ms: deadlineMs, last_acked: lastAcked = 0, wait_ms: waitMs = 0 }) {
    this.#extend(deadlineMs);
    this.#ended = this.#ended.filter(([number]) => number > lastAcked);
    if (this.#ended.length === 0 && waitMs > 0) await this.#untilEnd(waitMs);
    const running = [...this.#running.values()].map((run) => this.#row(run));
    return { status: 200, json: { running, finished: this.#ended.slice(0, MAX_LISTED_ENDS) } };
  }

  async #untilEnd(waitMs) {
    await new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        this.#waiters.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      this.#waiters.add(finish);
    });
  }

  #row({ task, run, startedMs, claim }) {
    const tookMs = performance.now() - startedMs;
    const lasts = claim.workMs === Infinity;
    const percent = lasts
      ? 100
      : Math.min(99, Math.floor((100 * tookMs) / (claim.workMs ?? 1_000)));
    const isStarting = lasts && tookMs < START_UP_MS;
    return [task, run, '', isStarting ? 0 : percent, claim.measure ?? 0];
  }
}
