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

  constructor(peer: PeerHello) {
    super();
    this.peer = peer;
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

  constructor(time: VirtualTime) {
    this.time = time;
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

  constructor(network: VirtualNetwork, node: string, cores: number) {
    super();
    this.#network = network;
    this.self = { node, cores, processId: `${node}@${network.time.nowMs}` };
    network.processes.set(node, this);
  }

  get address(): string {
    return this.self.node;
  }

  async open(address: string, signal: AbortSignal): Promise<PeerLink> {
    await this.#network.time.after(CONNECT_MS);
    const target = this.#network.processes.get(address);
    if (!target || target.reachability === 'refused') throw new PeerGoneError('refused');
    if (target.reachability === 'silent') {
      await this.#network.time.after(CONNECT_TIMEOUT_MS);
      throw new PeerUnreachedError('timeout');
    }
    if (signal.aborted) throw new PeerUnreachedError('aborted');
    const local = new VirtualLink(target.self);
    const accepted = new VirtualLink(this.self);
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
