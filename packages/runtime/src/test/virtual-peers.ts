import { Subject } from 'rxjs';
import type { PeerHello } from '../peer-port.js';
import { PeerGoneError, PeerLink, PeerPort, PeerUnreachedError } from '../peer-port.js';
import type { VirtualTime } from './virtual-fleet.js';

/** What connecting takes, in milliseconds. */
const WAY_MS = 2;

/** An attempt that nobody answers is given up after so long, in milliseconds. */
const GIVE_UP_MS = 2_000;

class VirtualLink extends PeerLink {
  readonly peer: PeerHello;

  readonly closed: Promise<void>;

  #close: () => void = () => {};

  other: VirtualLink | undefined;

  constructor(peer: PeerHello) {
    super();
    this.peer = peer;
    this.closed = new Promise((resolve) => {
      this.#close = resolve;
    });
  }

  /** The network tells this side that the connection has ended. */
  end(): void {
    this.#close();
  }

  close(): void {
    this.end();
    this.other?.end();
  }
}

/** How connections to a process come out: a cut one, and one whose queue is full, are silent. */
export type PeerReachability = 'reachable' | 'silent' | 'refused';

/** Connects virtual processes by their addresses. */
export class VirtualNetwork {
  readonly time: VirtualTime;

  readonly processes = new Map<string, VirtualPeers>();

  constructor(time: VirtualTime) {
    this.time = time;
  }
}

/** One process of a virtual network, reached at the name of its node. */
export class VirtualPeers extends PeerPort {
  readonly self: PeerHello;

  readonly accepted$ = new Subject<PeerLink>();

  readonly #network: VirtualNetwork;

  readonly #links = new Set<VirtualLink>();

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
    await this.#network.time.after(WAY_MS);
    const target = this.#network.processes.get(address);
    if (!target || target.reachability === 'refused') throw new PeerGoneError('refused');
    if (target.reachability === 'silent') {
      await this.#network.time.after(GIVE_UP_MS);
      throw new PeerUnreachedError('timeout');
    }
    if (signal.aborted) throw new PeerUnreachedError('aborted');
    const near = new VirtualLink(target.self);
    const far = new VirtualLink(this.self);
    Object.assign(near, { other: far });
    Object.assign(far, { other: near });
    this.#links.add(near);
    target.#links.add(far);
    target.accepted$.next(far);
    return near;
  }

  /** Every connection of this process is reset; it lives on. */
  reset(): void {
    for (const link of this.#links) link.close();
    this.#links.clear();
  }

  /** The process is killed: its connections are closed, and nothing listens at its address. */
  kill(): void {
    const { processes } = this.#network;
    if (processes.get(this.self.node) === this) processes.delete(this.self.node);
    this.reset();
  }
}
