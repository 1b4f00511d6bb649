import { Subject } from 'rxjs';
import type { PeerHello } from '../peer-port.js';
import { PeerGoneError, PeerLink, PeerPort, PeerUnreachedError } from '../peer-port.js';
import type { VirtualTime } from './virtual-fleet.js';

/** Time that it takes to connect, in milliseconds. */
const CONNECT_MS = 2;

/** Timeout of a connection attempt without an answer, in milliseconds. */
const CONNECT_TIMEOUT_MS = 2_000;

/** One side of a connection. */
class VirtualLink extends PeerLink {
  readonly peer: PeerHello;

  readonly closed: Promise<void>;

  #close: () => void = () => {};

  /** The other side of the connection. */
  remote: VirtualLink | undefined;

  readonly isWritable = true;

  readonly #network: VirtualNetwork;

  /** Lines that arrived before there was a receiver. */
  readonly #kept: string[] = [];

  #listener: (line: string) => void = (line) => this.#kept.push(line);

  constructor(peer: PeerHello, network: VirtualNetwork) {
    super();
    this.peer = peer;
    this.#network = network;
    this.closed = new Promise((resolve) => {
      this.#close = resolve;
    });
  }

  /** Resolves `closed`: the connection has ended. */
  markClosed(): void {
    this.#close();
  }

  close(): void {
    this.markClosed();
    this.remote?.markClosed();
  }

  send(line: string): void {
    const { remote } = this;
    this.#network.sentBytes += line.length + 1;
    if (remote) this.#network.deliver(this.peer, remote.peer, () => remote.#listener(line));
  }

  receive(listener: (line: string) => void): void {
    this.#listener = listener;
    for (const line of this.#kept.splice(0)) listener(line);
  }
}

/**
 * The outcome of connection attempts to a process. A process that is cut off, or whose accept queue
 * is full, is silent.
 */
export type PeerReachability = 'reachable' | 'silent' | 'refused';

/** Connects virtual processes by address. */
export class VirtualNetwork {
  readonly time: VirtualTime;

  /** The listening processes by address. */
  readonly processes = new Map<string, VirtualPeers>();

  /** The size of all lines that were sent. */
  sentBytes = 0;

  /** The data centre that is partitioned from the others. */
  #partitioned: string | undefined;

  /** Deliveries that wait for the end of the partition, as TCP repeats what was lost. */
  readonly #waiting: (() => void)[] = [];

  constructor(time: VirtualTime) {
    this.time = time;
  }

  set partitioned(dataCentre: string | undefined) {
    this.#partitioned = dataCentre;
    if (dataCentre === undefined) for (const deliver of this.#waiting.splice(0)) deliver();
  }

  /** Whether the partition separates the two processes. */
  separates(a: PeerHello, b: PeerHello): boolean {
    const isInside = (peer: PeerHello): boolean => peer.dataCentre === this.#partitioned;
    return this.#partitioned !== undefined && isInside(a) !== isInside(b);
  }

  /** Calls `deliver` now, or at the end of a partition that separates the two processes. */
  deliver(a: PeerHello, b: PeerHello, deliver: () => void): void {
    if (this.separates(a, b)) this.#waiting.push(deliver);
    else deliver();
  }
}

/** One process of a virtual network; its address is the name of its node. */
export class VirtualPeers extends PeerPort {
  readonly self: PeerHello;

  readonly accepted$ = new Subject<PeerLink>();

  readonly #network: VirtualNetwork;

  readonly #links = new Set<VirtualLink>();

  /** The outcome of attempts of other processes to connect to this one. */
  reachability: PeerReachability = 'reachable';

  constructor(network: VirtualNetwork, node: string, cores: number, dataCentre = 'a') {
    super();
    this.#network = network;
    this.self = { node, cores, processId: `${node}@${network.time.nowMs}`, dataCentre };
    network.processes.set(node, this);
  }

  get address(): string {
    return this.self.node;
  }

  async open(address: string, signal: AbortSignal): Promise<PeerLink> {
    await this.#network.time.after(CONNECT_MS);
    const target = this.#network.processes.get(address);
    if (!target || target.reachability === 'refused') throw new PeerGoneError('refused');
    if (target.reachability === 'silent' || this.#network.separates(this.self, target.self)) {
      await this.#network.time.after(CONNECT_TIMEOUT_MS);
      throw new PeerUnreachedError('timeout');
    }
    if (signal.aborted) throw new PeerUnreachedError('aborted');
    const local = new VirtualLink(target.self, this.#network);
    const accepted = new VirtualLink(this.self, this.#network);
    Object.assign(local, { remote: accepted });
    Object.assign(accepted, { remote: local });
    this.#links.add(local);
    target.#links.add(accepted);
    target.accepted$.next(accepted);
    return local;
  }

  /** Resets every connection of this process, which continues to run. */
  reset(): void {
    for (const link of this.#links) link.close();
    this.#links.clear();
  }

  /** Simulates that the process is killed: its connections close, and its address refuses new ones. */
  kill(): void {
    const { processes } = this.#network;
    if (processes.get(this.self.node) === this) processes.delete(this.self.node);
    this.reset();
  }
}
