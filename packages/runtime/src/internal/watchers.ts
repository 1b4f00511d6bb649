import type { PeerLink, PeerPort } from '../peer-port.js';

/** The processes that are connected to this one to watch it while it is leader. */
export class Watchers {
  readonly #links = new Set<PeerLink>();

  constructor(peers: PeerPort) {
    peers.accepted$.subscribe((link) => this.#accepted(link));
  }

  /** The connections, the newest last. */
  get links(): Iterable<PeerLink> {
    return this.#links;
  }

  /** The largest node among them, which claims leadership first when this process ends. */
  get standby(): string | undefined {
    let largest: PeerLink | undefined;
    for (const link of this.#links) {
      if (!largest || link.peer.cores > largest.peer.cores) largest = link;
    }
    return largest?.peer.node;
  }

  /** The number of nodes, of those that are connected and this one. */
  get nodeCount(): number {
    return new Set([...this.#links].map(({ peer }) => peer.node)).size + 1;
  }

  async #accepted(link: PeerLink): Promise<void> {
    this.#links.add(link);
    await link.closed;
    this.#links.delete(link);
  }
}
