import http from 'node:http';
import { Subject } from 'rxjs';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import type { TRPCClient } from '@trpc/client';
import { createTRPCClient, httpLink } from '@trpc/client';
import type {
  KeyMemorySnapshot,
  Hello,
  HybridClock,
  StoredKeyMemory,
  KeyedAnswer,
  KeyedRequest,
  PolledReport,
} from '@redwingcrank/protocol';
import { CodedError, helloSchema } from '@redwingcrank/protocol';
import type { SharedKeys } from '@redwingcrank/ports';
import { LISTENER_LIMITS } from '@redwingcrank/ports';
import { KeyMemoryStore } from './key-memory-store.js';
import type { PeerRouter } from './peer-router.js';
import { makePeerRouter } from './peer-router.js';
import { sendProblem } from './problem.js';
import type { PeerSetting } from './settings.js';
import { sleep } from './sleep.js';

interface Peer {
  readonly setting: PeerSetting;
  readonly client: TRPCClient<PeerRouter>;
  /** For calls that last as long as a request; their own signal limits them. */
  readonly longCallClient: TRPCClient<PeerRouter>;
  hello?: Hello;
  heardAt: number;
}

export interface PeerTaskOptions {
  readonly peers: readonly PeerSetting[];
  readonly helloMs: number;
  /** Time in milliseconds after which a peer that was not heard counts as silent. */
  readonly silenceMs: number;
  readonly clock: HybridClock;
  /** The keys by which nodes authenticate to each other. */
  readonly keys: SharedKeys;
  /** Returns this node's own state; called at each exchange. */
  readonly self: () => Hello;
  /** Runs a request whose key has its home on this node. */
  readonly runKeyed: (call: KeyedRequest) => Promise<KeyedAnswer>;
  /** Returns this node's state of a stream, for a peer that has none or an older one. */
  readonly streamState: (stream: string) => object | undefined;
}

/** Two, so that one replica remains if a peer that stores the memory is replaced as well. */
const KEY_MEMORY_REPLICAS = 2;

/** Longer than the other node's pause plus a round trip, and well below the silence limit. */
const RESPONDER_PAUSE_FACTOR = 1.5;

const STOP_GRACE_MS = 300;

const CLOSE_CONNECTION = { connection: 'close' };

const PEER_BODY_LIMIT = 4 * 1024 * 1024;

/**
 * Exchanges state with the other nodes, in both directions at once. Silence is measured on this
 * process's own monotonic clock, so the clocks of two nodes are never compared.
 */
export class PeerTask {
  readonly #options: PeerTaskOptions;

  readonly #peers: readonly Peer[];

  readonly #server: http.Server;

  readonly #keyMemories = new KeyMemoryStore();

  #stopped = false;

  /** Worker reports that peers forwarded to this node. */
  readonly workerReports$ = new Subject<PolledReport>();

  /** Emits the state of a peer after each exchange with it. */
  readonly hellos$ = new Subject<Hello>();

  constructor(options: PeerTaskOptions) {
    this.#options = options;
    this.#peers = options.peers.map((setting) => ({
      setting,
      client: connect(setting.address, options.keys, options.silenceMs),
      longCallClient: connect(setting.address, options.keys),
      heardAt: -Infinity,
    }));
    const router = makePeerRouter({
      hello: (from) => this.#onHello(from),
      workerReport: (polled) => this.workerReports$.next(polled),
      runKeyed: (call) => options.runKeyed(call),
      keepKeys: (memory) => this.#keyMemories.keep(memory),
      takeKeys: (nodeId) => this.#keyMemories.take(nodeId),
      streamState: options.streamState,
    });
    const handler = createHTTPHandler({ router, maxBodySize: PEER_BODY_LIMIT });
    this.#server = http.createServer(LISTENER_LIMITS, (req, res) => {
      if (options.keys.accepts(req.headers.authorization)) handler(req, res);
      // The body of an unauthorized request is not read, so its connection cannot be reused.
      else sendProblem(res, new CodedError('unauthorized', 'expected a key'), CLOSE_CONNECTION);
    });
  }

  /** Returns the peers that were heard within the silence limit and are not shutting down. */
  alive(): readonly Hello[] {
    const oldest = performance.now() - this.#options.silenceMs;
    return this.#peers
      .filter((peer) => peer.heardAt > oldest)
      .map((peer) => peer.hello)
      .filter((hello) => hello !== undefined)
      .filter((hello) => !hello.draining);
  }

  listen(port: number, ip: string): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, ip, () => {
        const address = this.#server.address();
        resolve(typeof address === 'object' && address ? address.port : port);
      });
    });
  }

  start(): void {
    for (const peer of this.#peers) this.#exchange(peer);
  }

  /** Ends the exchanges. Answers to peers in flight get a grace period to complete. */
  async stop(): Promise<void> {
    this.#stopped = true;
    const closed = new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
    });
    await Promise.race([closed, sleep(STOP_GRACE_MS)]);
    this.#server.closeAllConnections();
  }

  /** Sends this node's state to every peer at once, without waiting for the next exchange. */
  async announce(): Promise<void> {
    await Promise.all(this.#peers.map((peer) => this.#sendHello(peer)));
  }

  /** Forwards a worker's report to the node that holds the data centre. */
  async sendReport(nodeId: string, polled: PolledReport): Promise<void> {
    const peer = this.#peers.find((p) => p.setting.nodeId === nodeId);
    // The next report makes up for a lost one.
    await peer?.client.workerReport.mutate(polled).catch(() => undefined);
  }

  /** Returns whether a node was heard before, but not within the silence limit. */
  silent(nodeId: string): boolean {
    const peer = this.#peers.find((p) => p.setting.nodeId === nodeId);
    const silentMs = performance.now() - (peer?.heardAt ?? 0);
    return peer?.hello !== undefined && silentMs > this.#options.silenceMs;
  }

  /** Hands this node's key memory to two peers, in case one of them is replaced as well. */
  async handOverKeys(memory: KeyMemorySnapshot): Promise<void> {
    const alive = this.alive().map(({ nodeId }) => nodeId);
    const replicas = this.#peers
      .filter(({ setting }) => alive.includes(setting.nodeId))
      .slice(0, KEY_MEMORY_REPLICAS);
    // A memory that is not handed over is lost; the successor then refuses possibly older keys.
    await Promise.all(
      replicas.map(({ client }) => client.keepKeys.mutate(memory).catch(() => undefined)),
    );
  }

  /** Fetches the key memory of this node's predecessor from the peers that store it. */
  async takeKeys(nodeId: string, incarnation: string): Promise<StoredKeyMemory | undefined> {
    const found = await Promise.all(
      this.#peers.map(({ client }) => client.takeKeys.mutate(nodeId).catch(() => null)),
    );
    return found.find((stored) => stored?.memory.incarnation === incarnation) ?? undefined;
  }

  /** Sends a keyed request to its home; see KeyHomeClient. */
  async runKeyed(nodeId: string, call: KeyedRequest, signal: AbortSignal): Promise<KeyedAnswer> {
    const peer = this.#peers.find((p) => p.setting.nodeId === nodeId);
    if (!peer) throw new Error(`no address of ${nodeId}`);
    return peer.longCallClient.runKeyed.mutate(call, { signal });
  }

  /** Fetches a peer's state of a stream; undefined if it has none or does not answer. */
  async fetchState(nodeId: string, stream: string): Promise<unknown> {
    const peer = this.#peers.find((p) => p.setting.nodeId === nodeId);
    // The next exchange retries.
    return (await peer?.client.streamState.query(stream).catch(() => undefined)) ?? undefined;
  }

  async #exchange(peer: Peer): Promise<void> {
    const pauseMs = this.#pauseMs(peer);
    while (!this.#stopped) {
      const sinceHeard = performance.now() - peer.heardAt;
      // An exchange carries both states, so a peer that was just heard need not be called as well.
      if (sinceHeard >= pauseMs) await this.#sendHello(peer);
      const remainingMs = sinceHeard < pauseMs ? pauseMs - sinceHeard : pauseMs;
      await sleep(Math.max(1, remainingMs));
    }
  }

  /**
   * Returns the pause between exchanges. Of two nodes, the one with the lower id calls first, so
   * that a pair makes one exchange instead of two; the other waits longer, and calls only if the
   * first cannot reach it.
   */
  #pauseMs(peer: Peer): number {
    const { helloMs, self } = this.#options;
    return self().nodeId < peer.setting.nodeId ? helloMs : helloMs * RESPONDER_PAUSE_FACTOR;
  }

  async #sendHello(peer: Peer): Promise<void> {
    try {
      // A peer of another release may omit a field; without this check, the process would fail
      // where the field is read. Such a peer counts as silent.
      this.#onHello(helloSchema.parse(await peer.client.hello.mutate(this.#options.self())));
    } catch {
      // No action: heardAt shows how long the peer has been silent.
    }
  }

  #onHello(hello: Hello): Hello {
    this.#options.clock.observe(hello.hlc);
    const peer = this.#peers.find((p) => p.setting.nodeId === hello.nodeId);
    if (peer) {
      peer.hello = hello;
      peer.heardAt = performance.now();
    }
    this.hellos$.next(hello);
    return this.#options.self();
  }
}

function connect(address: string, keys: SharedKeys, timeoutMs?: number): TRPCClient<PeerRouter> {
  return createTRPCClient<PeerRouter>({
    links: [
      httpLink({
        url: `http://${address}`,
        headers: () => keys.headers(),
        // A connection that became silent must not block the exchange forever.
        fetch: (input, init) =>
          fetch(input as string, {
            ...(init as RequestInit),
            ...(timeoutMs !== undefined && { signal: AbortSignal.timeout(timeoutMs) }),
          }),
      }),
    ],
  });
}
