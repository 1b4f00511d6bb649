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
import { KeyedLog, StoreUnavailableError } from '../keyed-log.js';
import type { LogFields } from '../node-log.js';
import { NodeLog } from '../node-log.js';
import { nodeSettings } from './fixtures.js';
import { platformPort } from './port-fixtures.js';
import { StaticLog } from './static-log.js';
import { VirtualNetwork, VirtualPeers } from './virtual-peers.js';

/** Waiting reads look for a new record so often, in milliseconds. */
const LOOK_MS = 5;

/** Turns of the event loop until all that a timer has set off is done. */
const TURNS = 2;

const DRAW_PRIME = 2 ** 31 - 1;

const DRAW_FACTOR = 48_271;

interface Timer {
  readonly dueMs: number;
  readonly fire: () => void;
}

/**
 * The steady clock, all waits and all draws of the process stand under the test: a second of many
 * nodes passes in a few milliseconds, and a seed repeats it.
 */
export class VirtualTime {
  #nowMs = 1_000;

  #state = 1;

  /** By when they are due. */
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

  /** Draws from now on depend on this alone. */
  seed(seed: number): void {
    this.#state = seed % DRAW_PRIME;
    // The first draws of neighbouring seeds are alike.
    for (let i = 0; i < 10; i += 1) this.randomInt(1);
  }

  /** A whole number from 0, below a bound. */
  randomInt(below: number): number {
    // A multiplicative generator modulo a prime: enough to draw waits.
    this.#state = (this.#state * DRAW_FACTOR) % DRAW_PRIME;
    return Math.floor((this.#state / DRAW_PRIME) * below);
  }

  /** The process works for so long, and no timer fires meanwhile. */
  block(ms: number): void {
    this.#nowMs += ms;
  }

  async advance(ms: number): Promise<void> {
    const endMs = this.#nowMs + ms;
    await settle();
    while ((this.#timers[0]?.dueMs ?? Infinity) <= endMs) {
      this.#nowMs = Math.max(this.#nowMs, this.#timers[0]!.dueMs);
      while (this.#timers[0] && this.#timers[0].dueMs <= this.#nowMs) this.#timers.shift()!.fire();
      await settle();
    }
    this.#nowMs = Math.max(this.#nowMs, endMs);
  }

  /** Waits for something, at most so long; whether it came. */
  async advanceUntil(came: () => boolean, ms: number): Promise<boolean> {
    for (const endMs = this.#nowMs + ms; this.#nowMs < endMs && !came();)
      await this.advance(LOOK_MS);
    return came();
  }

  /** Resolves when so many milliseconds have passed. */
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

async function settle(): Promise<void> {
  for (let i = 0; i < TURNS; i += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

/** A store of one log: each call takes its time, and of each epoch one writer is let in. */
export class VirtualStore extends KeyedLog {
  readonly #time: VirtualTime;

  readonly #records: KeyedRecord[] = [];

  #epoch = 0;

  #sequence = -1;

  /** What a call takes to reach the store, and its answer to come back, in milliseconds. */
  oneWayMs = 5;

  /** How many claims were sent. */
  claimCount = 0;

  constructor(time: VirtualTime) {
    super();
    this.#time = time;
  }

  /** Stores a record of the test's own. */
  put(key: string, value: string): void {
    this.#records.push({ key, value });
  }

  override async append(
    records: readonly KeyedWrite[],
    { stamp }: AppendOptions = {},
  ): Promise<AppendResult> {
    const [first] = records;
    if (first?.key === leaderKey() && first.value?.includes('"number":0')) this.claimCount += 1;
    await this.#time.after(this.oneWayMs);
    const outcome = stamp ? this.#admit(stamp.epoch, stamp.sequence) : 'appended';
    if (outcome === 'appended') this.#records.push(...records);
    await this.#time.after(this.oneWayMs);
    return { outcome, reason: '' };
  }

  override async read(from: number, waitMs: number): Promise<ReadResult> {
    const askedMs = this.#time.nowMs;
    await this.#time.after(this.oneWayMs);
    for (let leftMs = waitMs; leftMs > 0 && this.#records.length <= from; leftMs -= LOOK_MS) {
      await this.#time.after(LOOK_MS);
    }
    const records = this.#records.slice(from);
    const end = from + records.length;
    await this.#time.after(this.oneWayMs);
    const asOfMs = records.length > 0 ? askedMs : this.#time.nowMs - this.oneWayMs;
    return { records, next: end, end, asOfMs };
  }

  override async newest(): Promise<NewestPage> {
    await this.#time.after(2 * this.oneWayMs);
    const newest = new Map(this.#records.map((rec) => [rec.key, rec]));
    return { records: [...newest.values()], hasMore: false, end: this.#records.length };
  }

  /** Who schedules, by the record of the highest epoch. */
  get leader(): Pick<LeaderRecord, 'node' | 'epoch' | 'standby'> | undefined {
    const rec = this.#records.findLast(({ key }) => key === leaderKey());
    const decoded = decodeLeader(rec?.value ?? '');
    return 'value' in decoded ? decoded.value : undefined;
  }

  #admit(epoch: number, sequence: number): AppendResult['outcome'] {
    if (epoch < this.#epoch) return 'fenced';
    if (epoch === this.#epoch && sequence !== this.#sequence + 1) return 'out-of-sequence';
    this.#epoch = epoch;
    this.#sequence = sequence;
    return 'appended';
  }
}

/** A log in which nothing ever stands. */
class EmptyLog extends StaticLog {
  override async append(): Promise<AppendResult> {
    return { outcome: 'refused', reason: 'empty' };
  }
}

/** The store as one node reaches it, until that node loses power. */
class CutOffLog extends KeyedLog {
  readonly #store: VirtualStore;

  isCut = false;

  constructor(store: VirtualStore) {
    super();
    this.#store = store;
  }

  override async append(
    records: readonly KeyedWrite[],
    options?: AppendOptions,
  ): Promise<AppendResult> {
    // Whatever would end the node's part: it is not there any more.
    if (this.isCut) return { outcome: 'fenced', reason: 'cut' };
    return this.#store.append(records, options);
  }

  override async read(from: number, waitMs: number): Promise<ReadResult> {
    if (this.isCut) throw new StoreUnavailableError('cut');
    return this.#store.read(from, waitMs);
  }

  override async newest(): Promise<NewestPage> {
    if (this.isCut) throw new StoreUnavailableError('cut');
    return this.#store.newest();
  }
}

/** One node, as far as the scheduling role goes. */
export class VirtualNode {
  readonly name: string;

  readonly cores: number;

  /** The names of its events. */
  readonly events: { readonly event: string; readonly fields: LogFields }[] = [];

  readonly #log: CutOffLog;

  readonly #follower: WorkFollower;

  readonly #leadership: Leadership;

  /** How other nodes reach it; undefined where nodes meet in the store alone. */
  readonly peers: VirtualPeers | undefined;

  constructor(name: string, cores: number, store: VirtualStore, peers?: VirtualPeers) {
    this.peers = peers;
    this.name = name;
    this.cores = cores;
    this.#log = new CutOffLog(store);
    const log = new NodeLog(name, 'silent');
    log.observe((event, fields) => this.events.push({ event, fields }));
    const empty = new EmptyLog();
    const logs = { workLog: this.#log, jobLog: empty, workerLog: empty, operatorLog: empty };
    const port = platformPort({ ...logs, ...(peers && { peers }) });
    const table = new WorkTable(name);
    this.#follower = new WorkFollower(port, log, table);
    const settings = { ...nodeSettings(name), cores };
    const config = new ConfigWatch(port, log);
    this.#leadership = new Leadership(port, settings, log, table, this.#follower, config);
  }

  get isLeading(): boolean {
    return this.#leadership.isLeading && !this.#log.isCut;
  }

  start(): void {
    this.#follower.run().catch(() => {});
    this.#leadership.run().catch(() => {});
  }

  /** Its process is killed, and its connections are closed with it. */
  kill(): void {
    this.losePower();
    this.peers?.kill();
  }

  /** It loses power: no word of it reaches anybody from now on. */
  losePower(): void {
    this.#log.isCut = true;
    if (this.peers) this.peers.reachability = 'silent';
    this.#follower.stop();
    this.#leadership.stop().catch(() => {});
  }
}

/** Large and small nodes on one store. */
export class VirtualFleet {
  readonly time: VirtualTime;

  readonly store: VirtualStore;

  readonly nodes: VirtualNode[] = [];

  readonly #network: VirtualNetwork | undefined;

  /** `isConnected`: whether its nodes reach each other, too, and not the store alone. */
  constructor(time: VirtualTime, isConnected = false) {
    this.time = time;
    if (isConnected) this.#network = new VirtualNetwork(time);
    this.store = new VirtualStore(time);
  }

  add(name: string, cores: number): VirtualNode {
    const peers = this.#network && new VirtualPeers(this.#network, name, cores);
    const node = new VirtualNode(name, cores, this.store, peers);
    this.nodes.push(node);
    node.start();
    return node;
  }

  /** Adds nodes of one size that start within 0.3 s of each other. */
  async addMany(sizes: readonly number[]): Promise<void> {
    const starts = sizes.map((cores) => ({ cores, inMs: this.time.randomInt(300) }));
    starts.sort((a, b) => a.inMs - b.inMs);
    let passedMs = 0;
    for (const { cores, inMs } of starts) {
      await this.time.advance(inMs - passedMs);
      passedMs = inMs;
      this.add(`n${this.nodes.length}`, cores);
    }
  }

  get leader(): VirtualNode | undefined {
    return this.nodes.find(({ isLeading }) => isLeading);
  }

  async stop(): Promise<void> {
    for (const node of this.nodes) node.losePower();
    await this.time.advance(1_000);
  }
}
