import type http from 'node:http';
import type { Service } from '@redwingcrank/protocol';
import type { Endpoint } from '@redwingcrank/decisions';
import { GuardedAgent } from './guarded-agent.js';

/** This entry host's connections to one endpoint. */
export interface PooledEndpoint {
  readonly agent: http.Agent;
  inFlight: number;
}

export interface EndpointPoolOptions {
  readonly dataCentre: string;
  /** The number of all entry hosts, including this one. */
  readonly entryHosts: number;
  /** Returns how many entry hosts of this data centre are alive, including this one. */
  readonly localEntryHosts: () => number;
}

/**
 * Entry hosts do not know each other's load. With 1.5 times an equal share, one host can use slots
 * that another leaves idle; requests beyond the endpoint's slots wait there briefly.
 */
const SLOT_SHARE = 1.5;

/** Peers count as silent only after seconds, so a more frequent count would gain nothing. */
const RECOUNT_MS = 100;

/**
 * The connections of one entry host to endpoints. An endpoint has a hard limit of connections for
 * all entry hosts together. Each host keeps to an equal share, so that the sum never exceeds the
 * limit, whatever the hosts know of each other. Slots are no hard limit; they are divided among the
 * hosts that are alive in the data centre.
 */
export class EndpointPool {
  readonly #options: EndpointPoolOptions;

  readonly #pool = new Map<string, PooledEndpoint>();

  #localHosts = 1;

  #localHostsUntil = -Infinity;

  constructor(options: EndpointPoolOptions) {
    this.#options = options;
  }

  /** Returns how many connections this entry host may open to an endpoint of the service. */
  shareOf(service: Service): number {
    return Math.max(1, Math.floor(service.connections / this.#options.entryHosts));
  }

  get(endpoint: Endpoint, service: Service): PooledEndpoint {
    const known = this.#pool.get(endpoint.address);
    if (known) return known;
    const pooled = { agent: new GuardedAgent(this.shareOf(service)), inFlight: 0 };
    this.#pool.set(endpoint.address, pooled);
    return pooled;
  }

  inFlightOf(endpoint: Endpoint): number {
    return this.#pool.get(endpoint.address)?.inFlight ?? 0;
  }

  /** Returns how many requests this entry host may have in flight at an endpoint at most. */
  limitOf(endpoint: Endpoint, service: Service): number {
    const { dataCentre, entryHosts } = this.#options;
    const isLocal = endpoint.dataCentre === dataCentre;
    const slots = isLocal
      ? Math.ceil((service.slots * SLOT_SHARE) / this.#countLocalHosts())
      : Math.floor(service.slots / entryHosts);
    return Math.max(1, Math.min(slots, service.slots, this.shareOf(service)));
  }

  /** Returns a cached count: every request asks for the limit of every endpoint. */
  #countLocalHosts(): number {
    const now = performance.now();
    if (now > this.#localHostsUntil) {
      this.#localHosts = this.#options.localEntryHosts();
      this.#localHostsUntil = now + RECOUNT_MS;
    }
    return this.#localHosts;
  }

  /** Closes the connections to endpoints that are not listed and have no request in flight. */
  retain(addresses: ReadonlySet<string>): void {
    for (const [address, pooled] of this.#pool) {
      if (!addresses.has(address) && pooled.inFlight === 0) {
        pooled.agent.destroy();
        this.#pool.delete(address);
      }
    }
  }

  destroy(): void {
    for (const { agent } of this.#pool.values()) agent.destroy();
  }
}
