/**
 * A small deployment on loopback addresses: a store, minions and nodes. The nodes are the project's
 * own programs, started with the command of the deploy file.
 */
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { createInterface } from 'node:readline';
import { Store } from './store.mjs';

const ROOT = path.join(import.meta.dirname, '..', '..');

const MINION = path.join(import.meta.dirname, 'minion.mjs');

/** The exit code of a script whose case could not run. */
const NOT_RUN = 2;

export const SERVICE = 'booking-desk';

export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

export async function freePort() {
  const server = net.createServer();
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address();
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

/** Sends a call of a consumer; its status is 0 if there is no complete answer. */
export function call(address, method, url, body) {
  const [host, port] = address.split(':');
  const headers = { Host: 'desk.example', 'X-Redwingcrank-Deadline-Ms': '3000' };
  return new Promise((resolve) => {
    const req = http.request({ host, port, method, path: url, headers, timeout: 5_000 });
    const fail = () => resolve({ status: 0, text: '' });
    req.on('error', fail);
    req.on('timeout', () => req.destroy());
    req.on('response', (res) => {
      let text = '';
      res.on('data', (chunk) => {
        text += chunk;
      });
      res.on('error', fail);
      res.on('end', () => resolve({ status: res.statusCode, text }));
    });
    req.end(body && JSON.stringify(body));
  });
}

export class Deployment {
  store = new Store();

  /** Nodes and minions by name. */
  nodes = new Map();

  minions = new Map();

  /** What the minions have printed. */
  events = [];

  /** Called with each event of a minion. */
  onEvent = () => {};

  #settings;

  #directory = mkdtempSync(path.join(tmpdir(), 'review-'));

  #recordFile;

  #lines = [];

  #startedMs = Date.now();

  /** `settings`: lines of the settings file that all nodes share. */
  constructor(recordFile, settings) {
    this.#recordFile = recordFile;
    this.#settings = settings;
  }

  /** Adds a line to the record of the case. */
  note(text, atMs = Date.now()) {
    this.#lines.push([atMs, text]);
  }

  configure(version, routes) {
    const services = [{ name: SERVICE, rejects_overload: true }];
    this.note(`operator: config ${version} with routes ${routes.map(({ name }) => name).join()}`);
    this.store.put('keyed.op', 'config', { version, routes, services, limits: {} });
  }

  /** Starts a life of a minion, at the same port as a former one of this name. */
  async startMinion(name, { id, born, zone, labels = [], cpu = 32_000, maxHoldMs, viaPort }) {
    const port = this.minions.get(name)?.port ?? (await freePort());
    const capacity = { cpu, mem_mb: 128_000, gpu: 0 };
    const args = JSON.stringify({ id, port, maxHoldMs, capacity, born });
    const child = spawn(process.execPath, [MINION, args], { stdio: ['pipe', 'pipe', 'inherit'] });
    const life = { id, born, port, child, zone, labels, capacity, viaPort };
    this.minions.set(name, life);
    await new Promise((resolve, reject) => {
      child.once('exit', () => reject(new Error(`minion ${name} has ended`)));
      createInterface({ input: child.stdout }).on('line', (line) => {
        const event = JSON.parse(line);
        const { atMs, event: kind, task, run, how } = event;
        this.events.push(event);
        const about = task ? ` ${task} run ${run}${how ? ` ${how}` : ''}` : '';
        this.note(`minion ${id}${born ? ` (born ${born})` : ''}: ${kind}${about}`, atMs);
        this.onEvent(event);
        if (kind === 'up') resolve();
      });
    });
    this.putEntry(name);
    return life;
  }

  /** Writes the entry of a minion; `state` overrides its fields. */
  putEntry(name, state = {}) {
    const { id, born, port, zone, labels, capacity, viaPort = port } = this.minions.get(name);
    this.store.put('keyed.servers', id, {
      service: SERVICE,
      address: `127.0.0.1:${viaPort}`,
      zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence: 1,
      capacity,
      labels,
      ...(born !== undefined && { born }),
      ...state,
    });
  }

  /** Sends a command to the minion with this id. */
  tell(id, command) {
    const { child } = [...this.minions.values()].find((minion) => minion.id === id);
    child.stdin.write(`${JSON.stringify(command)}\n`);
  }

  /** Ends a life of a minion as a crash does. */
  async crashMinion(name) {
    const { id, child } = this.minions.get(name);
    const ended = new Promise((resolve) => {
      child.once('exit', resolve);
    });
    child.kill('SIGKILL');
    this.note(`minion ${id}: crashed`);
    this.events.push({ atMs: Date.now(), minion: id, event: 'crashed' });
    await ended;
  }

  /** Starts a node, at the addresses of a former process of this name, and waits until it is ready. */
  async startNode(name, zone, ip) {
    const known = this.nodes.get(name);
    const ports = known?.ports ?? [await freePort(), await freePort(), await freePort()];
    const [front, ready, admin] = ports;
    const peers = known?.peers ?? (await freePort());
    const storeAddress = known?.storeAddress ?? (await this.store.listenFor(name));
    const file = path.join(this.#directory, `${name}.conf`);
    const own = [
      `node_name=${name}`,
      `zone=${zone}`,
      `ip=${ip}`,
      `listen.front=${ip}:${front}`,
      `listen.ready=${ip}:${ready}`,
      `internal_ports=${admin},${peers}`,
      `platform.address=${storeAddress}`,
    ];
    writeFileSync(file, [...own, ...this.#settings].join('\n'));
    const deploy = readFileSync(path.join(ROOT, 'deploy', 'system.toml'), 'utf8');
    const [program, ...args] = /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
    const { PATH, HOME, LANG } = process.env;
    const env = { PATH, HOME, LANG, REDWINGCRANK_NODE_FILE: file };
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT,
      env,
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const node = { name, zone, ip, ports, peers, storeAddress, child, address: `${ip}:${front}` };
    node.output = known?.output ?? '';
    child.stdout.on('data', (data) => {
      node.output += data;
    });
    this.nodes.set(name, node);
    await this.until(`${name} is ready`, async () => {
      const { status } = await call(`${ip}:${ready}`, 'GET', '/v1/readyz');
      return status === 200;
    });
    this.note(`node ${name}: ready`);
    return node;
  }

  async killNode(name) {
    const { child } = this.nodes.get(name);
    const ended = new Promise((resolve) => {
      child.once('exit', resolve);
    });
    child.kill('SIGKILL');
    this.note(`node ${name}: killed`);
    await ended;
  }

  /** Sends a call of a consumer to a node, and records it with its answer. */
  async call(nodeName, method, url, body) {
    const sentMs = Date.now();
    const answer = await call(this.nodes.get(nodeName).address, method, url, body);
    this.note(`consumer: ${method} ${url} to ${nodeName}`, sentMs);
    this.note(`consumer: ${method} ${url} answered ${answer.status} ${answer.text}`);
    return answer;
  }

  /** Waits until a condition holds; a case that does not get there could not run. */
  async until(what, holds, timeoutMs = 20_000) {
    const endMs = Date.now() + timeoutMs;
    while (!(await holds())) {
      if (Date.now() > endMs) throw new Error(`not in time: ${what}`);
      await sleep(20);
    }
  }

  /** The runs that minions have begun, with their ends as far as there are any. */
  runs(isWanted = () => true) {
    const runs = [];
    for (const event of [...this.events].sort((a, b) => a.atMs - b.atMs)) {
      const { atMs, minion, task, run } = event;
      const isSame = (other) => other.minion === minion && other.endMs === undefined;
      if (event.event === 'started') runs.push({ task, run, minion, startMs: atMs });
      else if (event.event === 'ended') {
        const ended = runs.find((row) => isSame(row) && row.task === task && row.run === run);
        if (ended) Object.assign(ended, { endMs: atMs, how: event.how });
      } else if (event.event === 'crashed') {
        for (const row of runs.filter(isSame)) Object.assign(row, { endMs: atMs, how: 'crashed' });
      }
    }
    return runs.filter(isWanted);
  }

  /** Ends all that was started and writes the record. */
  async stop() {
    const children = [...this.nodes.values(), ...this.minions.values()].map(({ child }) => child);
    for (const child of children) child.kill('SIGKILL');
    this.store.stop();
    await sleep(100);
    rmSync(this.#directory, { recursive: true, force: true });
    const lines = this.#lines
      .sort(([a], [b]) => a - b)
      .map(([atMs, text]) => {
        const seconds = ((atMs - this.#startedMs) / 1_000).toFixed(3).padStart(8);
        return `${seconds} ${text}`;
      });
    writeFileSync(this.#recordFile, `${lines.join('\n')}\n`);
  }
}

/**
 * Runs a case and exits with its result: 1 if `play` returns a sentence that says how the rule was
 * broken, 0 if it returns none, 2 if it could not run.
 */
export async function runCase(deployment, play) {
  let code = NOT_RUN;
  try {
    const broken = await play();
    deployment.note(broken ? `BROKEN: ${broken}` : 'the rule held');
    process.stdout.write(broken ? `BROKEN: ${broken}\n` : 'the rule held\n');
    code = broken ? 1 : 0;
  } catch (err) {
    deployment.note(`could not run: ${err.message}`);
    process.stdout.write(`could not run: ${err.stack}\n`);
  }
  if (process.env.KEEP_OUTPUT) {
    for (const { name, output } of deployment.nodes.values())
      writeFileSync(`${process.env.KEEP_OUTPUT}-${name}.log`, output);
  }
  await deployment.stop();
  process.exit(code);
}
