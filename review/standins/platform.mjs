/** A small deployment on loopback addresses: the project's nodes, and stand-ins for all else. */

import { spawn } from 'node:child_process';
import { randomInt } from 'node:crypto';
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { createInterface } from 'node:readline';
import { Store } from './store.mjs';

export const HOST = 'jobs.example';

const REPOSITORY = path.join(import.meta.dirname, '..', '..');

const MINION = path.join(import.meta.dirname, 'minion.mjs');

/** The command of `deploy/system.toml`, but for the number of the port. */
const nodeCommand = (metricsPort) => [
  '--max-old-space-size=160',
  'target/redwingcrank-node.cjs',
  '--metrics-port',
  String(metricsPort),
];

const HEARTBEAT_MS = 1_500;

/** An entry is removed after this many intervals of silence. */
const MISSED_HEARTBEATS = 3;

const READY_TIMEOUT_MS = 20_000;

const CALL_TIMEOUT_MS = 5_000;

/**
 * The ports to choose from: below those that a system gives to outgoing connections, so that none of
 * them takes a port while its minion is down.
 */
const PORTS = { from: 20_000, to: 30_000 };

function isFree(port) {
  const server = net.createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/** Returns a port that was free just now. */
async function freePort() {
  for (;;) {
    const port = randomInt(PORTS.from, PORTS.to);
    if (await isFree(port)) return port;
  }
}

/** What was sent, answered and run, one line for each event, with its time in milliseconds. */
export class Record {
  #file;

  #startedMs = performance.now();

  constructor(file) {
    this.#file = file;
    writeFileSync(file, '');
  }

  get nowMs() {
    return Math.round(performance.now() - this.#startedMs);
  }

  add(text) {
    appendFileSync(this.#file, `${String(this.nowMs).padStart(6)} ${text}\n`);
  }
}

/** One machine for tasks; each of its lifetimes is a process. */
class Minion {
  port;

  id;

  life = 0;

  isSilent = false;

  #number;

  #platform;

  #process;

  #upMs = -Infinity;

  constructor(platform, number) {
    this.#platform = platform;
    this.#number = number;
  }

  get isUp() {
    return this.#process !== undefined;
  }

  async start() {
    const { record, options } = this.#platform;
    this.port ??= await freePort();
    this.life += 1;
    // Where ids stay, a lifetime is told by the time at which it was born.
    const lifetime = options.keepsIds ? 0 : this.life;
    this.id = `i-${lifetime.toString(16).padStart(2, '0')}${this.#number.toString(16).padStart(8, '0')}`;
    const born = options.keepsIds ? Date.now() : undefined;
    const { slots: capacity, maxHoldMs } = options;
    const settings = JSON.stringify({ id: this.id, port: this.port, capacity, maxHoldMs, born });
    const child = spawn(process.execPath, [MINION, settings], {
      stdio: ['pipe', 'pipe', 'inherit'],
    });
    this.#process = child;
    const { id, life } = this;
    await new Promise((resolve) => {
      createInterface({ input: child.stdout }).on('line', (line) => {
        const event = JSON.parse(line);
        if (event.event === 'up') resolve();
        const atMs = record.nowMs;
        record.add(`minion ${id} life ${life}: ${line}`);
        this.#platform.events.push({ ...event, atMs, minion: this, id, life });
      });
    });
    this.#register(born);
  }

  async crash() {
    const child = this.#process;
    this.#platform.record.add(`minion ${this.id} life ${this.life}: killed`);
    this.#process = undefined;
    const ended = new Promise((resolve) => {
      child.once('exit', resolve);
    });
    child.kill('SIGKILL');
    await ended;
  }

  /** Ends all that the minion does and answers, as a loss of its power does. */
  fallSilent() {
    this.#platform.record.add(`minion ${this.id} life ${this.life}: silent from now on`);
    this.isSilent = true;
    this.#process.kill('SIGSTOP');
  }

  async stop() {
    if (this.#process) await this.crash();
  }

  /** Ends the process without waiting for its end. */
  kill() {
    this.#process?.kill('SIGKILL');
  }

  /** Writes the entry now and after each interval, until some intervals after the process has ended. */
  async #register(born) {
    const { store, options } = this.#platform;
    const { id, port } = this;
    const child = this.#process;
    const isAlive = () => this.#process === child && !this.isSilent && !this.#platform.isStopping;
    for (let sequence = 1; isAlive(); sequence += 1) {
      this.#upMs = performance.now();
      store.put('keyed.servers', id, {
        ...(born !== undefined && { born }),
        service: 'pool',
        address: `127.0.0.1:${port}`,
        zone: 'zone-a',
        version: 'v1',
        slots: 8,
        state: 'ready',
        cold_remaining_ms: 0,
        capacity: options.capacity,
        labels: ['a', `r-${this.#number}`],
        machine: `m-${this.#number}`,
        sequence,
      });
      await sleep(HEARTBEAT_MS, undefined, { ref: false });
    }
    const leftMs = this.#upMs + MISSED_HEARTBEATS * HEARTBEAT_MS - performance.now();
    await sleep(Math.max(0, leftMs), undefined, { ref: false });
    const isReplaced = this.id === id && this.isUp && !this.isSilent;
    if (!isReplaced && !this.#platform.isStopping) store.put('keyed.servers', id, undefined);
  }
}

/** The whole deployment. */
export class Platform {
  store = new Store();

  minions = [];

  nodes = [];

  /** What minions have printed, in order. */
  events = [];

  record;

  options;

  isStopping = false;

  #directory = mkdtempSync(path.join(os.tmpdir(), 'review-'));

  constructor(record, options) {
    this.record = record;
    this.options = options;
    // However the script ends, nothing that it started stays, silent minions included.
    process.once('SIGTERM', () => process.exit(2));
    process.once('exit', () => this.#killAll());
  }

  async start() {
    const { minions, nodes, routes } = this.options;
    await this.store.start();
    this.configure(1, routes);
    for (let number = 1; number <= minions; number += 1) {
      const minion = new Minion(this, number);
      this.minions.push(minion);
      await minion.start();
    }
    const starting = Array.from({ length: nodes }, (_, i) => this.#startNode(`edge-${i + 1}`));
    await Promise.all(starting);
  }

  async stop() {
    this.isStopping = true;
    for (const { process: child } of this.nodes) {
      if (child.exitCode === null && child.signalCode === null) {
        const ended = new Promise((resolve) => {
          child.once('exit', resolve);
        });
        child.kill('SIGKILL');
        await ended;
      }
    }
    for (const minion of this.minions) await minion.stop();
    this.store.stop();
    rmSync(this.#directory, { recursive: true });
  }

  /** Writes a version of the configuration, as the operator does. */
  configure(version, routes) {
    const services = [{ name: 'pool', rejects_overload: true }];
    this.store.put('keyed.op', 'config', { version, routes, services, limits: {} });
  }

  /** The numbers of the nodes whose processes run. */
  get liveNodes() {
    return [...this.nodes.keys()].filter((node) => this.nodes[node].process.signalCode === null);
  }

  /** Sends a call as a consumer does; the status is 0 if there was no answer. */
  async call(node, method, target, body) {
    const { address } = this.nodes[node];
    const result = await send(address, method, target, body);
    const { status, json } = result;
    const sent = body && JSON.stringify(body);
    this.record.add(
      `${method} ${target} at ${this.nodes[node].name}${sent ? ` ${sent.slice(0, 200)}` : ''} -> ${status} ${JSON.stringify(json)}`,
    );
    return result;
  }

  #killAll() {
    for (const { process: child } of this.nodes) child.kill('SIGKILL');
    for (const minion of this.minions) minion.kill();
    rmSync(this.#directory, { recursive: true, force: true });
  }

  async #startNode(name) {
    const [front, ready, admin, peers, control, metrics] = await freePorts(6);
    const file = path.join(this.#directory, `${name}.conf`);
    const ports = { front, ready, admin, peers, control };
    writeFileSync(file, settingsOf(name, ports, this.store.address, this.options.bounds));
    const child = spawn(process.execPath, nodeCommand(metrics), {
      cwd: REPOSITORY,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, REDWINGCRANK_NODE_FILE: file },
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const log = this.options.nodeLog;
    child.stdout.on('data', (data) => {
      if (log) appendFileSync(log, data);
    });
    this.nodes.push({ name, address: `127.0.0.1:${front}`, process: child });
    const endMs = performance.now() + READY_TIMEOUT_MS;
    while ((await send(`127.0.0.1:${ready}`, 'GET', '/v1/readyz')).status !== 200) {
      if (performance.now() > endMs) throw new Error(`${name} is not ready`);
      await sleep(50);
    }
    this.record.add(`node ${name} is ready`);
  }
}

/** Sends a request; resolves with status 0 if there is no answer. */
function send(address, method, target, body) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const req = http.request({
      host,
      port,
      method,
      path: target,
      agent: false,
      timeout: CALL_TIMEOUT_MS,
      headers: { Host: HOST, 'X-Redwingcrank-Deadline-Ms': '3000' },
    });
    const fail = () => resolve({ status: 0, json: {} });
    req.on('error', fail);
    req.on('timeout', () => req.destroy());
    req.on('response', (res) => {
      const chunks = [];
      res.on('data', (chunk) => chunks.push(chunk));
      res.on('error', fail);
      res.on('end', () => {
        const text = Buffer.concat(chunks).toString();
        resolve({ status: res.statusCode, json: text ? JSON.parse(text) : {} });
      });
    });
    req.end(body && JSON.stringify(body));
  });
}

async function freePorts(count) {
  const ports = [];
  while (ports.length < count) {
    const port = await freePort();
    if (!ports.includes(port)) ports.push(port);
  }
  return ports;
}

/** Returns a settings file as `DEPLOY.md` shows one. */
function settingsOf(name, { front, ready, admin, peers, control }, store, bounds) {
  return [
    `node_name=${name}`,
    'role=node',
    'machine_class=edge',
    'serves=edge',
    'ip=127.0.0.1',
    'zone=zone-a',
    'region=region-a',
    'zones.zone-a=region-a',
    `listen.front=127.0.0.1:${front}`,
    `listen.ready=127.0.0.1:${ready}`,
    `listen.control=127.0.0.1:${control}`,
    `internal_ports=${admin},${peers}`,
    `seeds=127.0.0.1:${control}`,
    'bootstrap=true',
    'loss_counts=false',
    'limits.cpu_share=0.27',
    'limits.cores=1',
    'limits.memory_mb=350',
    'limits.max_fds=4100',
    'limits.link_mbps=1000.0',
    'limits.disk_mb=0',
    'discovery=platform',
    'entry=vip',
    `heartbeat_ms=${HEARTBEAT_MS}`,
    'fault_tolerance.machines=2',
    'fault_tolerance.zones=1',
    'fault_tolerance.regions=0',
    ...Object.entries(bounds).map(([field, value]) => `bounds.${field}=${value}`),
    'orders=call',
    `platform.address=${store}`,
    'platform.form=log',
    'platform.writes_per_s=800',
    'platform.reads_per_s=2000',
    'platform.parts=8',
    'platform.append_ms=4.0',
    'platform.record_bytes=262144',
    'platform.request_bytes=2097152',
    'platform.keep_s=300',
  ].join('\n');
}
