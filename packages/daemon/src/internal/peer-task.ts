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
  /** For calls that last as long as a request: they end by their own signal. */
  readonly patient: TRPCClient<PeerRouter>;
  hello?: Hello;
  heardAt: number;
}

export interface PeerTaskOptions {
  readonly peers: readonly PeerSetting[];
  readonly helloMs: number;
  /** A peer not heard for so long counts as silent. */
  readonly silenceMs: number;
  readonly clock: HybridClock;
  /** What nodes show one another. */
  readonly keys: SharedKeys;
  /** This node's own state, asked for at each exchange. */
  readonly self: () => Hello;
  /** Runs a request whose key has its home on this node. */
  readonly runKeyed: (call: KeyedRequest) => Promise<KeyedAnswer>;
  /** This node's state of a stream, for a peer that has none or an older one. */
  readonly streamState: (stream: string) => object | undefined;
}

const KEEPERS = 2;

/** Longer than the other's pause with its round trip, and short beside the limit of silence. */
const SECOND_SPEAKER_FACTOR = 1.5;

const STOP_GRACE_MS = 300;

const CLOSE = { connection: 'close' };

const PEER_BODY_LIMIT = 4 * 1024 * 1024;

/**
 * Talks with the other nodes: state goes both ways in each exchange. Silence is measured on this
 * process's own monotonic clock, so no two clocks are ever compared.
 */
export class PeerTask {
  readonly #options: PeerTaskOptions;

  readonly #peers: readonly Peer[];

  readonly #server: http.Server;

  readonly #keeper = new KeyMemoryStore();

  #stopped = false;

  /** Worker reports that peers fetched. */
  readonly workerReports$ = new Subject<PolledReport>();

  /** Fires after each exchange. */
  readonly hellos$ = new Subject<Hello>();

  constructor(options: PeerTaskOptions) {
    this.#options = options;
    this.#peers = options.peers.map((setting) => ({
      setting,
      client: connect(setting.address, options.keys, options.silenceMs),
      patient: connect(setting.address, options.keys),
      heardAt: -Infinity,
    }));
    const router = makePeerRouter({
      hello: (from) => this.#heard(from),
      workerReport: (asked) => this.workerReports$.next(asked),
      runKeyed: (call) => options.runKeyed(call),
      keepKeys: (memory) => this.#keeper.keep(memory),
      takeKeys: (nodeId) => this.#keeper.take(nodeId),
      streamState: options.streamState,
    });
    const handler = createHTTPHandler({ router, maxBodySize: PEER_BODY_LIMIT });
    this.#server = http.createServer(LISTENER_LIMITS, (req, res) => {
      if (options.keys.accepts(req.headers.authorization)) handler(req, res);
      // The body of a stranger is not read: its connection cannot be used again.
      else sendProblem(res, new CodedError('unauthorized', 'expected a key'), CLOSE);
    });
  }

  /** The peers that were heard in time and are not shutting down. */
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

  /** Ends the exchanges; answers on their way to peers get a moment to go out. */
  async stop(): Promise<void> {
    this.#stopped = true;
    const closed = new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
    });
    await Promise.race([closed, sleep(STOP_GRACE_MS)]);
    this.#server.closeAllConnections();
  }

  /** Tells every peer at once, without waiting for the next exchange. */
  async announce(): Promise<void> {
    await Promise.all(this.#peers.map((peer) => this.#sayHello(peer)));
  }

  /** Hands a worker's report to the node that decides about its data centre. */
  async sendReport(nodeId: string, asked: PolledReport): Promise<void> {
    const peer = this.#peers.find((p) => p.setting.nodeId === nodeId);
    // A lost report is made good by the next one.
    await peer?.client.workerReport.mutate(asked).catch(() => undefined);
  }

  /** Whether a node was heard once, but not of late. */
  silent(nodeId: string): boolean {
    const peer = this.#peers.find((p) => p.setting.nodeId === nodeId);
    const silentMs = performance.now() - (peer?.heardAt ?? 0);
    return peer?.hello !== undefined && silentMs > this.#options.silenceMs;
  }

  /** Gives peers this node's keys to keep: two, in case that one is replaced as well. */
  async handOverKeys(memory: KeyMemorySnapshot): Promise<void> {
    const alive = this.alive().map(({ nodeId }) => nodeId);
    const keepers = this.#peers
      .filter(({ setting }) => alive.includes(setting.nodeId))
      .slice(0, KEEPERS);
    // A memory that cannot be handed on is lost: the successor then trusts no unknown key.
    await Promise.all(
      keepers.map(({ client }) => client.keepKeys.mutate(memory).catch(() => undefined)),
    );
  }

  /** Takes back the keys of this node's predecessor from whoever keeps them. */
  async takeKeys(nodeId: string, incarnation: string): Promise<StoredKeyMemory | undefined> {
    const found = await Promise.all(
      this.#peers.map(({ client }) => client.takeKeys.mutate(nodeId).catch(() => null)),
    );
    return found.find((kept) => kept?.memory.incarnation === incarnation) ?? undefined;
  }

  /** Brings a keyed request to its home; see KeyHomeClient. */
  async runKeyed(nodeId: string, call: KeyedRequest, signal: AbortSignal): Promise<KeyedAnswer> {
    const peer = this.#peers.find((p) => p.setting.nodeId === nodeId);
    if (!peer) throw new Error(`no address of ${nodeId}`);
    return peer.patient.runKeyed.mutate(call, { signal });
  }

  /** Asks a peer for its state of a stream; undefined where it has none or does not answer. */
  async fetchState(nodeId: string, stream: string): Promise<unknown> {
    const peer = this.#peers.find((p) => p.setting.nodeId === nodeId);
    // The next exchange asks again.
    return (await peer?.client.streamState.query(stream).catch(() => undefined)) ?? undefined;
  }

  async #exchange(peer: Peer): Promise<void> {
    const pauseMs = this.#pauseMs(peer);
    while (!this.#stopped) {
      const sinceHeard = performance.now() - peer.heardAt;
      // An exchange carries both states: a peer that has just spoken need not be asked as well.
      if (sinceHeard >= pauseMs) await this.#sayHello(peer);
      const left = sinceHeard < pauseMs ? pauseMs - sinceHeard : pauseMs;
      await sleep(Math.max(1, left));
    }
  }

  /**
   * Of two nodes the one with the lower name speaks first, so that a pair makes one exchange and
   * not two; the other waits longer, and speaks only where the first cannot reach it.
   */
  #pauseMs(peer: Peer): number {
    const { helloMs, self } = this.#options;
    return self().nodeId < peer.setting.nodeId ? helloMs : helloMs * SECOND_SPEAKER_FACTOR;
  }

  async #sayHello(peer: Peer): Promise<void> {
    try {
      // A peer of another release may answer without a field: what is not checked here would
      // end the process where the field is read. Such a peer counts as silent.
      this.#heard(helloSchema.parse(await peer.client.hello.mutate(this.#options.self())));
    } catch {
      // Silence is what counts; it shows in heardAt.
    }
  }

  #heard(hello: Hello): Hello {
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
        // A connection that went silent must not hold the exchange for ever.
        fetch: (input, init) =>
          fetch(input as string, {
            ...(init as RequestInit),
            ...(timeoutMs !== undefined && { signal: AbortSignal.timeout(timeoutMs) }),
          }),
      }),
    ],
  });
}
