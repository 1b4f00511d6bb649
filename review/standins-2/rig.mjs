import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { Store } from './store.mjs';
import { Vip } from './vip.mjs';

const ROOT = path.join(import.meta.dirname, '..', '..');

/** The command of the role in deploy/system.toml. */
const RUN = ['--max-old-space-size=160', 'target/redwingcrank-node.cjs', '--metrics-port', '9464'];

const PORTS = { front: 8161, ready: 8167, internal: [7720, 7735] };

const READY_TIMEOUT_MS = 15_000;

const CALL_TIMEOUT_MS = 3_000;

/** How soon the platform starts a node again that has ended by itself, in milliseconds. */
const RESTART_MS = 300;

const MINION_BEAT_MS = 1_500;

export const HOST = 'jobs.example';

/** The script ends by itself after this time, in milliseconds, whatever happens. */
const MAX_RUN_MS = 115_000;

/** A small deployment on loopback addresses: store, minions, and nodes as processes of their own. */
export class Rig {
  store = new Store();

  minions = new Set();

  nodes = [];

  /** How often nodes have ended by themselves; the platform starts them again. */
  ownEnds = 0;

  #directory = mkdtempSync(path.join(tmpdir(), 'redwingcrank-review-'));

  /** Each rig has a loopback network of its own, so that the ports of a machine are free there. */
  #network = `127.${100 + (process.pid % 100)}.${Math.floor(process.pid / 100) % 250}`;

  #recordFile;

  #leader;

  #startMs = performance.now();

  #sequence = 0;

  #beat;

  constructor(caseDirectory) {
    this.#recordFile = path.join(caseDirectory, 'record.txt');
    writeFileSync(this.#recordFile, '');
    setTimeout(() => this.end(2, 'the script took too long'), MAX_RUN_MS).unref();
    for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => this.end(2, signal));
  }

  /** Seconds since the start. */
  get nowS() {
    return (performance.now() - this.#startMs) / 1_000;
  }

  record(kind, fields) {
    appendFileSync(this.#recordFile, `${this.nowS.toFixed(3)} ${kind} ${JSON.stringify(fields)}\n`);
  }

  async startStore(routes) {
    await this.store.start(`${this.#network}.2`);
    this.configure(1, routes);
    this.#beat = setInterval(() => this.#writeEntries(), MINION_BEAT_MS);
  }

  /** Writes a version of the configuration, as the operator does. */
  configure(version, routes) {
    const services = [{ name: 'pool' }];
    this.record('config', { version, routes: routes.map(({ name }) => name) });
    this.store.put('keyed.op', 'config', { version, routes, services, limits: {} });
  }

  /** The node that began the latest term; undefined before the first one. */
  get leader() {
    return this.#leader;
  }

  async addMinion(minion, port) {
    await minion.start(`${this.#network}.3`, port);
    this.minions.add(minion);
    this.#write(minion);
  }

  /** Kills a minion; its entry expires after three intervals of silence. */
  async crashMinion(minion) {
    this.minions.delete(minion);
    await minion.crash();
    setTimeout(() => this.store.put('keyed.servers', minion.id, undefined), 3 * MINION_BEAT_MS);
  }

  /** Starts nodes with the command of the deploy file, and waits until they are ready. */
  async startNodes(count) {
    for (let i = 0; i < count; i += 1) {
      const ip = `${this.#network}.${11 + i}`;
      this.nodes.push(this.#spawn({ name: `edge-a-${i + 1}`, ip }));
    }
    for (const node of this.nodes) await this.#untilReady(node);
  }

  /** Kills a node, as if its machine lost power: the kernel closes its connections. */
  killNode(node) {
    this.record('kill', { node: node.name });
    Object.assign(node, { isDown: true });
    node.child.kill('SIGKILL');
  }

  /** Starts a node again that was killed. */
  async restartNode(node) {
    this.#spawn(node);
    await this.#untilReady(node);
    Object.assign(node, { isDown: false });
  }

  async #untilReady(node) {
    const endMs = performance.now() + READY_TIMEOUT_MS;
    while (!(await this.#isReady(node))) {
      if (performance.now() > endMs) this.end(2, `${node.name} did not become ready`);
      await sleep(50);
    }
  }

  /** Opens the platform's address for consumers; returns it, and the address as the target of calls. */
  async startVip() {
    const vip = new Vip(this.nodes, PORTS.front);
    const ip = `${this.#network}.4`;
    return { vip, target: { name: 'vip', ip, port: await vip.start(ip) } };
  }

  /**
   * Sends a call to a node, or to the platform's address, as a consumer does; resolves with status 0 if
   * there is no answer. The channel of `agent` is used again; without it each call has its own.
   */
  async call(node, method, target, body, agent) {
    const answer = await this.#request(node, method, target, body, agent);
    this.record('call', {
      node: node.name,
      method,
      target,
      status: answer.status,
      body: answer.body,
    });
    return answer;
  }

  #request({ ip, port = PORTS.front }, method, target, body, agent) {
    return new Promise((resolve) => {
      const req = http.request({
        host: ip,
        port,
        method,
        ...(agent && { agent }),
        path: target,
        headers: { Host: HOST, 'X-Redwingcrank-Deadline-Ms': String(CALL_TIMEOUT_MS) },
        timeout: CALL_TIMEOUT_MS,
      });
      req.on('error', () => resolve({ status: 0, body: '' }));
      req.on('timeout', () => req.destroy());
      req.on('response', (res) => {
        let text = '';
        res.on('data', (chunk) => {
          text += chunk;
        });
        res.on('error', () => resolve({ status: 0, body: '' }));
        res.on('end', () => resolve({ status: res.statusCode, body: text }));
      });
      req.end(body && JSON.stringify(body));
    });
  }

  /** Ends all processes and exits: 1 if the rule was broken, 0 if it held, 2 if the case did not run. */
  end(code, why) {
    this.record('result', { code, why });
    process.stdout.write(`${['held', 'BROKEN', 'not run'][code]}: ${why}\n`);
    clearInterval(this.#beat);
    for (const { child } of this.nodes) child.kill('SIGKILL');
    rmSync(this.#directory, { recursive: true, force: true });
    process.exit(code);
  }

  #writeEntries() {
    for (const minion of this.minions) this.#write(minion);
  }

  #write(minion) {
    this.#sequence += 1;
    this.store.put('keyed.servers', minion.id, minion.entry(this.#sequence));
  }

  /** Starts the process of a node and notes it there. */
  #spawn(node) {
    const { name, ip } = node;
    const file = path.join(this.#directory, `${name}.conf`);
    writeFileSync(file, this.#settings(name, ip));
    const child = spawn(process.execPath, RUN, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, REDWINGCRANK_NODE_FILE: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = (data) => {
      for (const line of String(data).split('\n')) {
        if (isNotable(line)) this.record(name, line);
        if (line.includes('event=term-start')) this.#leader = node;
      }
    };
    child.stdout.on('data', log);
    child.stderr.on('data', log);
    child.once('exit', (code, signal) => {
      this.record('exit', { node: name, code, signal });
      if (node.isDown) return;
      this.ownEnds += 1;
      setTimeout(() => this.#spawn(node), RESTART_MS);
    });
    return Object.assign(node, { child });
  }

  #settings(name, ip) {
    return [
      `node_name=${name}`,
      'zone=naivasha-a',
      'region=ke-rift',
      'zones.naivasha-a=ke-rift',
      `ip=${ip}`,
      `listen.front=${ip}:${PORTS.front}`,
      `listen.ready=${ip}:${PORTS.ready}`,
      `internal_ports=${PORTS.internal.join(',')}`,
      'limits.cpu_share=0.27',
      'limits.cores=1',
      'limits.memory_mb=350',
      'fault_tolerance.zones=1',
      'bounds.contact_ms=3000',
      'bounds.ack_ms=4000',
      'bounds.drain_ms=2000',
      'bounds.grace_s=6',
      'bounds.config_apply_ms=2000',
      'bounds.max_hold_ms=6000',
      'bounds.stop_timeout_ms=900',
      'bounds.gang_timeout_ms=3000',
      'bounds.cancel_ms=3000',
      'bounds.visible_ms=3000',
      'bounds.finish_s=14',
      'bounds.status_s=120',
      'bounds.remote_factor=1.5',
      'bounds.lease_ms=3000',
      'orders=call',
      `platform.address=${this.store.address}`,
      'platform.form=log',
      'platform.record_bytes=262144',
      'platform.request_bytes=2097152',
    ].join('\n');
  }

  async #isReady({ ip }) {
    const res = await fetch(`http://${ip}:${PORTS.ready}/v1/readyz`).catch(() => undefined);
    return res?.status === 200;
  }
}

/** Whether a log line of a node tells who leads, what it could not store, or why it has ended. */
function isNotable(line) {
  return /event=(claim|term-|leader-replaced|store-lost|store-regained|job-ended|worker-crash|worker-restarted|part-failed)|level=error|FATAL/.test(
    line,
  );
}
