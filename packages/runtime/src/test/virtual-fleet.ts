import crypto from 'node:crypto';
import { syncBuiltinESMExports } from 'node:module';
import type { TestContext } from 'node:test';
import { ConfigWatch } from '../internal/config-watch.js';
import { Leadership } from '../internal/leadership.js';
import type { LeaderRecord } from '../internal/work-records.js';
import { decodeLeader, leaderKey } from '../internal/work-records.js';
import { WorkFollower } from '../internal/work-follower.js';
import { WorkTable } from '../internal/work-table.js';
import type {
  AppendOptions,
  AppendResult,
  KeyedRecord,
  KeyedWrite,
  NewestPage,
  ReadResult,
} from '../keyed-log.js';
import { KeyedLog, RecordsExpiredError, StoreUnavailableError } from '../keyed-log.js';
import type { LogFields } from '../node-log.js';
import type { NodeSettings } from '../node-settings.js';
import { NodeLog } from '../node-log.js';
import type { PlatformPort } from '../platform-port.js';
import { nodeSettings } from './fixtures.js';
import { platformPort } from './port-fixtures.js';
import { StaticLog } from './static-log.js';
import { VirtualNetwork, VirtualPeers } from './virtual-peers.js';

/** Interval at which waiting reads check for a new record, in milliseconds. */
const POLL_INTERVAL_MS = 5;

/** Turns of the event loop in which everything that a timer triggers completes. */
const EVENT_LOOP_TURNS = 2;

/** Modulus of the random number generator, a prime. */
const RANDOM_MODULUS = 2 ** 31 - 1;

/** Multiplier of the random number generator. */
const RANDOM_MULTIPLIER = 48_271;

interface Timer {
  readonly dueMs: number;
  readonly fire: () => void;
}

/**
 * Replaces the steady clock, the timers and the random numbers of the process: a second of many
 * nodes takes a few milliseconds, and a run can be repeated with its seed.
 */
export class VirtualTime {
  #nowMs = 1_000;

  /** State of the random number generator. */
  #state = 1;

  /** Pending timers, ordered by due time. */
  #timers: Timer[] = [];

  constructor(context: TestContext) {
    const { mock } = context;
    const wait = (fire: () => void, ms: number): Timer => this.#add(ms, fire);
    mock.method(globalThis, 'setTimeout', wait as unknown as typeof setTimeout);
    mock.method(globalThis, 'clearTimeout', (timer: unknown) => this.#remove(timer));
    mock.method(performance, 'now', () => this.#nowMs);
    mock.method(crypto, 'randomInt', (below: number) => this.randomInt(below));
    syncBuiltinESMExports();
    context.after(() => {
      mock.restoreAll();
      syncBuiltinESMExports();
    });
  }

  get nowMs(): number {
    return this.#nowMs;
  }

  /** Seeds the random number generator: later numbers depend only on the seed. */
  seed(seed: number): void {
    this.#state = seed % RANDOM_MODULUS;
    // The first numbers of neighbouring seeds are similar.
    for (let i = 0; i < 10; i += 1) this.randomInt(1);
  }

  /** Returns a random integer from 0 to `below` - 1. */
  randomInt(below: number): number {
    // A multiplicative congruential generator is random enough for wait times.
    this.#state = (this.#state * RANDOM_MULTIPLIER) % RANDOM_MODULUS;
    return Math.floor((this.#state / RANDOM_MODULUS) * below);
  }

  /** Simulates work that blocks the event loop for the given time: no timer fires meanwhile. */
  block(ms: number): void {
    this.#nowMs += ms;
  }

  /** Advances the clock by the given time and fires the timers that become due. */
  async advance(ms: number): Promise<void> {
    const endMs = this.#nowMs + ms;
    await runPendingWork();
    while ((this.#timers[0]?.dueMs ?? Infinity) <= endMs) {
      this.#nowMs = Math.max(this.#nowMs, this.#timers[0]!.dueMs);
      while (this.#timers[0] && this.#timers[0].dueMs <= this.#nowMs) this.#timers.shift()!.fire();
      await runPendingWork();
    }
    this.#nowMs = Math.max(this.#nowMs, endMs);
  }

  /** Advances the clock until the condition holds, by `ms` at most; returns whether it holds. */
  async advanceUntil(holds: () => boolean, ms: number): Promise<boolean> {
    for (const endMs = this.#nowMs + ms; this.#nowMs < endMs && !holds();)
      await this.advance(POLL_INTERVAL_MS);
    return holds();
  }

  /** Returns a promise that resolves after the given time on the virtual clock. */
  after(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.#add(ms, resolve);
    });
  }

  #remove(timer: unknown): void {
    this.#timers = this.#timers.filter((other) => other !== timer);
  }

  #add(ms: number, fire: () => void): Timer {
    const timer = { dueMs: this.#nowMs + Math.max(1, ms), fire };
    const index = this.#timers.findIndex(({ dueMs }) => dueMs > timer.dueMs);
    this.#timers.splice(index < 0 ? this.#timers.length : index, 0, timer);
    return timer;
  }
}

/** Waits until everything that the last timers triggered has completed. */
async function runPendingWork(): Promise<void> {
  for (let i = 0; i < EVENT_LOOP_TURNS; i += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

/**
 * A store with one log. Each call takes `oneWayMs` each way. Stamped appends are checked for the
 * writer's epoch and sequence number, so that each epoch has one writer.
 */
export class VirtualStore extends KeyedLog {
  readonly time: VirtualTime;

  readonly #records: KeyedRecord[] = [];

  /** Epoch of the newest accepted append. */
  #epoch = 0;

  /** Sequence number of the newest accepted append. */
  #sequence = -1;

  /** Latency of a call to the store, and again of its answer, in milliseconds. */
  oneWayMs = 5;

  /** Whether the store refuses every call. */
  isDown = false;

  /** Number of claims of the leadership that were sent. */
  claimCount = 0;

  /** The node that sent the latest claim. */
  claimant: string | undefined;

  constructor(time: VirtualTime) {
    super();
    this.time = time;
  }

  /** Stores a record that the test itself writes. */
  put(key: string, value: string): void {
    this.#records.push({ key, value });
  }

  override async append(
    records: readonly KeyedWrite[],
    { stamp }: AppendOptions = {},
  ): Promise<AppendResult> {
    const [first] = records;
    if (first?.key === leaderKey() && first.value?.includes('"number":0')) {
      this.claimCount += 1;
      this.claimant = leaderOf(first.value)?.node;
    }
    await this.time.after(this.oneWayMs);
    if (this.isDown) {
      await this.time.after(this.oneWayMs);
      return { outcome: 'refused', reason: 'down' };
    }
    const outcome = stamp ? this.#checkStamp(stamp.epoch, stamp.sequence) : 'appended';
    if (outcome === 'appended') this.#records.push(...records);
    await this.time.after(this.oneWayMs);
    return { outcome, reason: '' };
  }

  override async read(from: number, waitMs: number): Promise<ReadResult> {
    const calledMs = this.time.nowMs;
    await this.time.after(this.oneWayMs);
    for (
      let leftMs = waitMs;
      leftMs > 0 && this.#records.length <= from && !this.isDown;
      leftMs -= POLL_INTERVAL_MS
    ) {
      await this.time.after(POLL_INTERVAL_MS);
    }
    if (this.isDown) throw new StoreUnavailableError('down');
    const records = this.#records.slice(from);
    const end = from + records.length;
    await this.time.after(this.oneWayMs);
    const asOfMs = records.length > 0 ? calledMs : this.time.nowMs - this.oneWayMs;
    return { records, next: end, end, asOfMs };
  }

  override async newest(): Promise<NewestPage> {
    await this.time.after(2 * this.oneWayMs);
    if (this.isDown) throw new StoreUnavailableError('down');
    const newest = new Map(this.#records.map((rec) => [rec.key, rec]));
    return { records: [...newest.values()], hasMore: false, end: this.#records.length };
  }

  /** The newest leader record. */
  get leader(): LeaderRecord | undefined {
    return leaderOf(this.#records.findLast(({ key }) => key === leaderKey())?.value);
  }

  #checkStamp(epoch: number, sequence: number): AppendResult['outcome'] {
    if (epoch < this.#epoch) return 'fenced';
    if (epoch === this.#epoch && sequence !== this.#sequence + 1) return 'out-of-sequence';
    this.#epoch = epoch;
    this.#sequence = sequence;
    return 'appended';
  }
}

function leaderOf(text = ''): LeaderRecord | undefined {
  const decoded = decodeLeader(text);
  return 'value' in decoded ? decoded.value : undefined;
}

/** A log without records, which refuses appends. */
class EmptyLog extends StaticLog {
  override async append(): Promise<AppendResult> {
    return { outcome: 'refused', reason: 'empty' };
  }
}

/** One node's connection to the callers' log, which has no records. */
class NodeJobLog extends EmptyLog {
  readonly #time: VirtualTime;

  /** Additional time that each read takes, in milliseconds; infinite if reads are not answered. */
  delayMs = 0;

  /** Whether records that followers need have expired, so that they read the log from its start. */
  isExpired = false;

  constructor(time: VirtualTime) {
    super();
    this.#time = time;
  }

  override async read(from: number, waitMs: number): Promise<ReadResult> {
    if (this.isExpired) throw new RecordsExpiredError('expired');
    if (this.delayMs > 0) await this.#time.after(this.delayMs);
    return super.read(from, waitMs);
  }

  override async newest(after = ''): Promise<NewestPage> {
    // Only a page of a log that is read again replaces the view of it.
    const isFirst = this.isExpired && after === '';
    if (isFirst) return { records: [{ key: 'first', value: '' }], hasMore: true, end: 0 };
    if (this.delayMs > 0) await this.#time.after(this.delayMs);
    return super.newest();
  }
}

/** The connection of one node to the store, until that node loses power. */
class NodeStoreLog extends KeyedLog {
  readonly #store: VirtualStore;

  isDisconnected = false;

  /** Additional time until the answer to a read arrives, in milliseconds. */
  readDelayMs = 0;

  constructor(store: VirtualStore) {
    super();
    this.#store = store;
  }

  override async append(
    records: readonly KeyedWrite[],
    options?: AppendOptions,
  ): Promise<AppendResult> {
    // Any result would do that ends the node's work, as the node no longer exists.
    if (this.isDisconnected) return { outcome: 'fenced', reason: 'cut' };
    return this.#store.append(records, options);
  }

  override async read(from: number, waitMs: number): Promise<ReadResult> {
    if (this.isDisconnected) throw new StoreUnavailableError('cut');
    const result = await this.#store.read(from, waitMs);
    if (this.readDelayMs > 0) await this.#store.time.after(this.readDelayMs);
    return result;
  }

  override async newest(): Promise<NewestPage> {
    if (this.isDisconnected) throw new StoreUnavailableError('cut');
    return this.#store.newest();
  }
}

/** One node, with only the parts that leadership needs. */
export class VirtualNode {
  readonly name: string;

  readonly cores: number;

  /** The log events of the node. */
  readonly events: { readonly event: string; readonly fields: LogFields }[] = [];

  readonly #log: NodeStoreLog;

  /** The node's connection to the callers' log. */
  readonly jobLog: NodeJobLog;

  readonly #follower: WorkFollower;

  readonly #leadership: Leadership;

  /** The operators' configuration; undefined where the test has none. */
  readonly #config: ConfigWatch | undefined;

  /** The node's connections to other nodes; undefined where nodes only share the store. */
  readonly peers: VirtualPeers | undefined;

  /**
   * @param parts replaces parts of the platform, which has no jobs and no workers otherwise.
   * @param changed replaces settings of the node.
   */
  constructor(
    name: string,
    cores: number,
    { store, time }: Pick<VirtualFleet, 'store' | 'time'>,
    peers?: VirtualPeers,
    parts: Partial<PlatformPort> = {},
    changed: Partial<NodeSettings> = {},
  ) {
    this.peers = peers;
    this.name = name;
    this.cores = cores;
    this.#log = new NodeStoreLog(store);
    this.jobLog = new NodeJobLog(time);
    const log = new NodeLog(name, 'silent');
    log.observe((event, fields) => this.events.push({ event, fields }));
    const empty = new EmptyLog();
    const { jobLog } = this;
    const logs = { workLog: this.#log, jobLog, workerLog: empty, operatorLog: empty };
    const port = platformPort({ ...logs, ...(peers && { peers }), ...parts });
    const table = new WorkTable(name);
    this.#follower = new WorkFollower(port, log, table);
    const settings = { ...nodeSettings(name), cores, ...changed };
    const config = new ConfigWatch(port, log);
    if (parts.operatorLog) this.#config = config;
    this.#leadership = new Leadership(port, settings, log, table, this.#follower, config);
  }

  get isLeading(): boolean {
    return this.#leadership.isLeading && !this.#log.isDisconnected;
  }

  /** Whether the node has read the callers' log. */
  get hasReadJobs(): boolean {
    return this.#follower.isLoaded;
  }

  start(): void {
    this.#follower.run().catch(() => {});
    this.#config?.follower.run().catch(() => {});
    this.#leadership.run().catch(() => {});
  }

  /** Sets whether calls of the node to the store fail. */
  set isStoreUnreachable(isUnreachable: boolean) {
    this.#log.isDisconnected = isUnreachable;
  }

  /** Sets the additional time until the answer to a read of the work log arrives, in milliseconds. */
  set readDelayMs(ms: number) {
    this.#log.readDelayMs = ms;
  }

  /** Asks the process to stop: a leader resigns, and the process goes on for a while. */
  retire(): void {
    this.#leadership.stop().catch(() => {});
  }

  /** Simulates a planned stop of the process: a leader resigns first. */
  async stop(): Promise<void> {
    await this.#leadership.stop();
    this.kill();
  }

  /** Simulates that the process is killed, which closes its connections. */
  kill(): void {
    this.losePower();
    this.peers?.kill();
  }

  /** Simulates a power loss: the node sends nothing any more, and its connections stay open. */
  losePower(): void {
    this.#log.isDisconnected = true;
    if (this.peers) this.peers.reachability = 'silent';
    this.#follower.stop();
    this.#config?.follower.stop();
    this.#leadership.stop().catch(() => {});
  }
}

/** Nodes of different sizes that share one store. */
export class VirtualFleet {
  readonly time: VirtualTime;

  readonly store: VirtualStore;

  readonly nodes: VirtualNode[] = [];

  readonly #network: VirtualNetwork | undefined;

  readonly #parts: Partial<PlatformPort>;

  /**
   * @param isConnected whether the nodes also have connections to each other.
   * @param parts replaces parts of the platform of each node.
   */
  constructor(time: VirtualTime, isConnected = false, parts: Partial<PlatformPort> = {}) {
    this.time = time;
    this.#parts = parts;
    if (isConnected) this.#network = new VirtualNetwork(time);
    this.store = new VirtualStore(time);
  }

  /**
   * Adds a node and starts it. `jobDelayMs`: the additional time that each of its reads of the
   * callers' log takes, in milliseconds; infinite if they are not answered.
   */
  add(name: string, cores: number, jobDelayMs = 0): VirtualNode {
    const peers = this.#network && new VirtualPeers(this.#network, name, cores);
    const node = new VirtualNode(name, cores, this, peers, this.#parts);
    node.jobLog.delayMs = jobDelayMs;
    this.nodes.push(node);
    node.start();
    return node;
  }

  /**
   * Adds a node for each of the sizes, in cores; they start within 0.3 s of each other. For
   * `jobDelayMs` see `add`.
   */
  async addMany(sizes: readonly number[], jobDelayMs = 0): Promise<void> {
    const startups = sizes.map((cores) => ({ cores, delayMs: this.time.randomInt(300) }));
    startups.sort((a, b) => a.delayMs - b.delayMs);
    let passedMs = 0;
    for (const { cores, delayMs } of startups) {
      await this.time.advance(delayMs - passedMs);
      passedMs = delayMs;
      this.add(`n${this.nodes.length}`, cores, jobDelayMs);
    }
  }

  /** The node that is leader at present. */
  get leader(): VirtualNode | undefined {
    return this.nodes.find(({ isLeading }) => isLeading);
  }

  async stop(): Promise<void> {
    for (const node of this.nodes) node.losePower();
    await this.time.advance(1_000);
  }
}
