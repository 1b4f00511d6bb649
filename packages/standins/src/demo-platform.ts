import { createRequire } from 'node:module';
import { fileURLToPath } from 'node:url';
import type { Resources } from '@redwingcrank/protocol';
import { freePort } from './free-ports.js';
import type { Child } from './launcher.js';
import { Launcher } from './launcher.js';

const IP = '127.0.0.1';

const DAEMON_ENTRY = createRequire(import.meta.url).resolve('@redwingcrank/daemon');

const HOSTS_PER_RACK = 2;

export interface DemoOptions {
  readonly dataCentres: readonly string[];
  readonly nodesPerDataCentre: number;
  readonly hostsPerDataCentre: number;
  readonly capacity: Resources;
  readonly leaseMs: number;
  readonly jobMs: number;
  readonly serviceMs: number;
  /** Additional flags for each node. */
  readonly nodeFlags?: readonly string[];
  /** Additional flags for the process of the log. */
  readonly logFlags?: readonly string[];
  /** Keys that the nodes' administration listeners accept; without keys they require none. */
  readonly adminKeys?: readonly string[];
}

/** Key with which the nodes authenticate to each other. */
export const DEMO_PEER_KEY = 'demo-peer-key-0123456789';

/** A node process with its identity and its assigned ports. */
export interface DemoNode {
  readonly nodeId: string;
  readonly dataCentre: string;
  readonly callerPort: number;
  readonly peerPort: number;
  readonly adminPort: number;
  /** Undefined until the node is started. */
  child: Child;
}

export interface DemoWorker {
  readonly hostId: string;
  readonly dataCentre: string;
  readonly rack: string;
  readonly address: string;
  readonly faultPort: number;
}

/** Runs the stand-ins and the nodes as separate processes, for the demo and for failure tests. */
export class DemoPlatform {
  readonly launcher = new Launcher();

  readonly nodes: DemoNode[] = [];

  readonly workers: DemoWorker[] = [];

  /** The worker process of each data centre. */
  readonly workerChildren = new Map<string, Child>();

  readonly #options: DemoOptions;

  #log: Child | undefined;

  #hostList: Child | undefined;

  constructor(options: DemoOptions) {
    this.#options = options;
  }

  get logUrl(): string {
    return `http://${IP}:${this.#log?.ready.port}`;
  }

  get logFaultUrl(): string {
    return `http://${IP}:${this.#log?.ready.faultPort}`;
  }

  get hostListFaultUrl(): string {
    return `http://${IP}:${this.#hostList?.ready.faultPort}`;
  }

  get log(): Child | undefined {
    return this.#log;
  }

  /** The administration addresses of all nodes, as `ip:port`. */
  get adminAddresses(): string[] {
    return this.nodes.map((node) => `${IP}:${node.adminPort}`);
  }

  callerUrl(node: DemoNode): string {
    return `http://${IP}:${node.callerPort}`;
  }

  /** Starts the stand-ins, then the nodes. */
  async start(): Promise<void> {
    const { logFlags = [] } = this.#options;
    const script = scriptPath('platform-main.js');
    this.#log = await this.launcher.start('log', script, ['--serve', 'log', ...logFlags]);
    this.#hostList = await this.launcher.start('host-list', script, ['--serve', 'host-list']);
    for (const dc of this.#options.dataCentres) await this.#startWorkers(dc);
    for (const dc of this.#options.dataCentres) await this.#allocateNodes(dc);
    await Promise.all(this.nodes.map((node) => this.startNode(node)));
  }

  /** Starts a node, or restarts a node that has exited. */
  async startNode(node: DemoNode): Promise<void> {
    const started = await this.launcher.start(node.nodeId, daemonScriptPath(), this.#flagsOf(node));
    Object.assign(node, { child: started });
  }

  /**
   * Stops the nodes gracefully, then kills the stand-ins.
   *
   * @returns The nodes' exit codes.
   */
  async stop(): Promise<(number | null)[]> {
    try {
      return await Promise.all(
        this.nodes.map((node) => node.child && this.launcher.stop(node.child)),
      );
    } finally {
      // A child that does not stop or whose start failed would keep this process alive.
      this.launcher.killAll();
    }
  }

  /** Replaces the faults of a stand-in through its fault port. */
  async setFaults(faultUrl: string, faults: object): Promise<void> {
    await post(`${faultUrl}/faults`, faults);
  }

  async #startWorkers(dataCentre: string): Promise<void> {
    const { hostsPerDataCentre, jobMs, serviceMs } = this.#options;
    const ids = Array.from({ length: hostsPerDataCentre }, (_, i) => `${dataCentre}-w${i + 1}`);
    const times = ['--job-ms', String(jobMs), '--service-ms', String(serviceMs)];
    const flags = [...ids.flatMap((id) => ['--hosts', id]), ...times];
    const name = `workers-${dataCentre}`;
    const child = await this.launcher.start(name, scriptPath('worker-main.js'), flags);
    this.workerChildren.set(dataCentre, child);
    const started = child.ready.workers as Omit<DemoWorker, 'dataCentre' | 'rack'>[];
    for (const [i, worker] of started.entries()) {
      const rack = `${dataCentre}-r${Math.floor(i / HOSTS_PER_RACK) + 1}`;
      this.workers.push({ ...worker, dataCentre, rack });
      await this.listHost({ ...worker, dataCentre, rack }, 'live');
    }
  }

  /** Adds or updates a host on the platform's list; readers see the change after the list's lag. */
  async listHost(worker: DemoWorker, state: 'live' | 'leaving'): Promise<void> {
    const { faultPort: _faultPort, ...host } = worker;
    const { capacity } = this.#options;
    await post(`${this.hostListFaultUrl}/put`, { ...host, capacity, state });
  }

  async #allocateNodes(dataCentre: string): Promise<void> {
    for (let i = 1; i <= this.#options.nodesPerDataCentre; i += 1) {
      this.nodes.push({
        nodeId: `${dataCentre}-n${i}`,
        dataCentre,
        callerPort: await freePort(),
        peerPort: await freePort(),
        adminPort: await freePort(),
        child: undefined as unknown as Child,
      });
    }
  }

  #flagsOf(node: DemoNode): string[] {
    const peers = this.nodes
      .filter((other) => other !== node)
      .map((other) => `${other.nodeId}@${other.dataCentre}=${IP}:${other.peerPort}`);
    const flags = {
      'node-id': node.nodeId,
      'data-centre': node.dataCentre,
      'caller-port': node.callerPort,
      'peer-port': node.peerPort,
      'admin-port': node.adminPort,
      'log-url': this.logUrl,
      'host-list-url': `http://${IP}:${this.#hostList?.ready.port}`,
      'lease-ms': this.#options.leaseMs,
      'log-level': 'warn',
    };
    const { nodeFlags = [], adminKeys = [] } = this.#options;
    return [
      ...Object.entries(flags).flatMap(([name, value]) => [`--${name}`, String(value)]),
      ...peers.flatMap((peer) => ['--peers', peer]),
      ...['--peer-keys', DEMO_PEER_KEY],
      ...adminKeys.flatMap((key) => ['--admin-keys', key]),
      ...nodeFlags,
    ];
  }
}

function scriptPath(name: string): string {
  return fileURLToPath(new URL(name, import.meta.url));
}

function daemonScriptPath(): string {
  return fileURLToPath(new URL('main.js', `file://${DAEMON_ENTRY}`));
}

async function post(url: string, body: object): Promise<void> {
  const res = await fetch(url, { method: 'POST', body: JSON.stringify(body) });
  if (!res.ok) throw new Error(`${url}: status ${res.status}`);
}
