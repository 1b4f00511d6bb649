import type { KeyedAnswer, KeyedRequest, Service } from '@redwingcrank/protocol';
import type { Endpoint, EndpointPicker, EntryHost, RandomSource } from '@redwingcrank/decisions';
import {
  LeastExpectedTime,
  RandomPicker,
  RoundRobin,
  TwoChoices,
  endpointsOf,
  keyHome,
  seededRandom,
} from '@redwingcrank/decisions';
import type { ControlTask } from './control-task.js';
import { Dispatcher } from './dispatcher.js';
import { EndpointPool } from './endpoint-pool.js';
import { EntryMetrics } from './entry-metrics.js';
import { EntryTask } from './entry-task.js';
import { registerIncarnation } from './home-history.js';
import { KeyHomeTask } from './key-home-task.js';
import { KeyedRequests, digestOfHosts } from './keyed-requests.js';
import type { NodeContext } from './node-context.js';
import type { Settings } from './settings.js';
import { sleep } from './sleep.js';

/**
 * The role `entry`: serves callers, and is the home of a share of the idempotency keys.
 *
 * Lifecycle: construct, `listen`, `drain`, `stop`.
 */
export class EntryRole {
  readonly #ctx: NodeContext;

  readonly #remotes: ReadonlyMap<string, ControlTask>;

  readonly #endpointPool: EndpointPool;

  readonly #dispatcher: Dispatcher;

  /** The endpoints of each service; cleared when any of them may have changed. */
  readonly #endpointCache = new Map<string, Endpoint[][]>();

  readonly #keyHome: KeyHomeTask;

  readonly #entry: EntryTask;

  /** @param remotes - The control streams of other data centres, by data centre. */
  constructor(ctx: NodeContext, remotes: ReadonlyMap<string, ControlTask>) {
    this.#ctx = ctx;
    this.#remotes = remotes;
    const metrics = new EntryMetrics(ctx.registry);
    this.#endpointPool = this.#makeEndpointPool();
    this.#dispatcher = this.#makeDispatcher(metrics);
    this.#keyHome = this.#makeKeyHome(metrics);
    this.#entry = this.#makeEntry(metrics);
  }

  /** @returns The port in use. */
  listen(port: number, ip: string): Promise<number> {
    this.#openKeyHome();
    return this.#entry.listen(port, ip);
  }

  /** Answers a request whose key has its home on this node. */
  answerKeyed(call: KeyedRequest): Promise<KeyedAnswer> {
    return this.#keyHome.answer(call);
  }

  /**
   * Accepts no new requests, answers all that are open, and hands over the keys to peers.
   *
   * @returns The number of requests that were still open at the limit.
   */
  async drain(): Promise<number> {
    const left = await this.#entry.drain(this.#ctx.settings.drainMs);
    await this.#handOverKeys();
    return left;
  }

  stop(): void {
    this.#endpointPool.destroy();
  }

  async #openKeyHome(): Promise<void> {
    const { nodeId } = this.#ctx.settings;
    const predecessor = await registerIncarnation(this.#ctx.log, nodeId, this.#ctx.incarnation);
    if (predecessor.type === 'known') {
      this.#keyHome.open(await this.#ctx.peers.takeKeys(nodeId, predecessor.incarnation));
    } else {
      this.#keyHome.open(predecessor.type === 'nobody' ? 'nobody' : undefined);
    }
    this.#ctx.events.emit('info', 'key-home-opened', { predecessor: predecessor.type });
  }

  async #handOverKeys(): Promise<void> {
    const { nodeId, drainMs } = this.#ctx.settings;
    // Peers may forward keyed requests until now; those that run are still answered.
    this.#keyHome.drain();
    await Promise.race([this.#keyHome.whenIdle(), sleep(drainMs)]);
    const { incarnation } = this.#ctx;
    await this.#ctx.peers.handOverKeys({ nodeId, incarnation, ...this.#keyHome.export() });
  }

  /** Discards the cached endpoints, and closes connections to those that were removed. */
  endpointsChanged(): void {
    this.#endpointCache.clear();
    const services = this.#ctx.manifest.manifest$.value?.services ?? [];
    const endpoints = services.flatMap((service) => this.#endpointsOf(service).flat());
    this.#dispatcher.endpointsChanged(new Set(endpoints.map(({ address }) => address)));
  }

  #endpointsOf(service: Service): Endpoint[][] {
    const known = this.#endpointCache.get(service.name);
    if (known) return known;
    const leaving = this.#ctx.hostList.leaving();
    const { dataCentre } = this.#ctx.settings;
    const local = [...endpointsOf(this.#ctx.control.fold, dataCentre, service.name, leaving)];
    const remote = [...this.#remotes].flatMap(([dc, task]) => [
      ...endpointsOf(task.fold, dc, service.name, leaving),
    ]);
    this.#endpointCache.set(service.name, [local, remote]);
    return [local, remote];
  }

  #makeEndpointPool(): EndpointPool {
    const { dataCentre } = this.#ctx.settings;
    return new EndpointPool({
      dataCentre,
      entryHosts: this.#entryHosts().length,
      localEntryHosts: () => {
        const alive = this.#ctx.peers
          .alive()
          .filter((peer) => peer.dataCentre === dataCentre && peer.roles.includes('entry'));
        return alive.length + 1;
      },
    });
  }

  #makeDispatcher(metrics: EntryMetrics): Dispatcher {
    const { picker, seed } = this.#ctx.settings;
    return new Dispatcher({
      metrics,
      pool: this.#endpointPool,
      picker: makePicker(picker, seededRandom(seed)),
      endpoints: (service) => this.#endpointsOf(service),
    });
  }

  #makeKeyHome(metrics: EntryMetrics): KeyHomeTask {
    const { nodeId, keyWindowMs } = this.#ctx.settings;
    const hosts = this.#entryHosts();
    return new KeyHomeTask({
      metrics,
      dispatcher: this.#dispatcher,
      service: (name) => this.#ctx.manifest.manifest$.value?.services.find((s) => s.name === name),
      isHome: (key) => keyHome(key, hosts) === nodeId,
      hostsDigest: digestOfHosts(hosts),
      windowMs: keyWindowMs,
    });
  }

  #makeEntry(metrics: EntryMetrics): EntryTask {
    const { nodeId, drainIdleMs } = this.#ctx.settings;
    return new EntryTask({
      metrics,
      drainIdleMs,
      events: this.#ctx.events,
      dispatcher: this.#dispatcher,
      keyed: new KeyedRequests({
        nodeId,
        hosts: this.#entryHosts(),
        home: this.#keyHome,
        homeClient: this.#ctx.peers,
      }),
      manifest: () => this.#ctx.manifest.manifest$.value,
    });
  }

  /** Returns all entry hosts in the settings, whether they are alive or not. */
  #entryHosts(): EntryHost[] {
    const { nodeId, dataCentre, peers, entryHosts } = this.#ctx.settings;
    const all = [{ nodeId, dataCentre }, ...peers];
    return entryHosts.length === 0 ? all : all.filter((host) => entryHosts.includes(host.nodeId));
  }
}

function makePicker(name: Settings['picker'], random: RandomSource): EndpointPicker {
  switch (name) {
    case 'round-robin':
      return new RoundRobin();
    case 'random':
      return new RandomPicker(random);
    case 'two-choices':
      return new TwoChoices(random);
    default:
      return new LeastExpectedTime(random);
  }
}
