import type { Subscription } from 'rxjs';
import type { Scheduler, WorkerEntry } from '@redwingcrank/jobs';
import type { KeyedRecord } from '../keyed-log.js';
import type { NodeLog } from '../node-log.js';
import type { PlatformPort } from '../platform-port.js';
import type { RecordFault } from '../record-fault.js';
import type { ConfigWatch } from './config-watch.js';
import { steadyMs } from './delay.js';
import type { FaultLog } from './fault-log.js';
import type { FollowerMessage } from './keyed-follower.js';
import { KeyedFollower } from './keyed-follower.js';

/** How often the entries of workers are read, in milliseconds. */
const WORKER_LIST_GAP_MS = 250;

/**
 * How long a read waits at the store for an entry, in milliseconds. The list grows older by it, and by
 * an old list no task begins: with a longer wait none would for a part of each read of a slow store.
 */
const READ_WAIT_MS = 400;

const UNKNOWN_POOL: RecordFault = { reason: 'unknown-pool', field: 'pool' };

/**
 * Tells the scheduler which workers there are, by their entries in the store. An entry that cannot
 * be used counts as none: its worker gets no tasks. What runs there already is kept, as on any
 * worker that is no longer listed: its link goes on renewing leases and reading reports, so no task
 * is taken to be over, and started elsewhere, before the worker says so or its leases are surely
 * over. The next sound entry lists it again, with all that runs there still counted.
 */
export class WorkerList {
  readonly #port: PlatformPort;

  readonly #log: NodeLog;

  readonly #config: ConfigWatch;

  readonly #scheduler: Scheduler;

  readonly #link: (id: string) => void;

  readonly #faults: FaultLog;

  readonly #follower: KeyedFollower;

  readonly #subscriptions: Subscription[] = [];

  /** The newest entries that could be read, by worker. */
  readonly #entries = new Map<string, WorkerEntry>();

  #isLoaded = false;

  /** Workers that a list which is being loaded anew has not named yet. */
  #unnamed: Set<string> | undefined;

  /** `link` begins to talk to a worker, if nobody does. */
  constructor(
    port: PlatformPort,
    log: NodeLog,
    config: ConfigWatch,
    scheduler: Scheduler,
    link: (id: string) => void,
    faults: FaultLog,
  ) {
    this.#port = port;
    this.#log = log;
    this.#config = config;
    this.#scheduler = scheduler;
    this.#link = link;
    this.#faults = faults;
    this.#follower = new KeyedFollower(port.workerLog, log, {
      name: 'workers',
      waitMs: READ_WAIT_MS,
      gapMs: WORKER_LIST_GAP_MS,
    });
  }

  /** When the list was last known to be complete, on the steady clock. */
  get completeAsOfMs(): number {
    return this.#follower.completeAsOfMs;
  }

  /** Whether the list has been read to its end at least once. */
  get isLoaded(): boolean {
    return this.#isLoaded;
  }

  /** Follows the entries until stopped. */
  async run(): Promise<void> {
    this.#subscriptions.push(
      this.#config.changes$.subscribe(() => this.#poolsChanged()),
      this.#follower.messages$.subscribe((message) => this.#told(message)),
    );
    await this.#follower.run();
  }

  stop(): void {
    for (const subscription of this.#subscriptions) subscription.unsubscribe();
    this.#follower.stop();
  }

  #told(message: FollowerMessage): void {
    if (message.kind === 'record') this.#read(message.rec);
    else if (message.kind === 'reset') this.#unnamed = new Set(this.#entries.keys());
    else this.#caughtUp();
  }

  #caughtUp(): void {
    this.#isLoaded = true;
    // What a fresh list does not name is not listed any more.
    for (const id of this.#unnamed ?? []) this.#drop(id);
    this.#unnamed = undefined;
  }

  #read(rec: KeyedRecord): void {
    const id = this.#port.workerIdOf(rec);
    if (id === undefined) {
      if (rec.fault) this.#faults.unusable('workers', rec.key, rec.fault);
      return;
    }
    this.#unnamed?.delete(id);
    if (rec.value === undefined && !rec.fault) {
      this.#log.emit('info', 'worker-unlisted', { worker: id });
      this.#faults.forget('workers', id);
      this.#drop(id);
      return;
    }
    const decoded = this.#port.decodeWorker(rec);
    if ('fault' in decoded) {
      this.#faults.unusable('workers', id, decoded.fault);
      this.#drop(id);
      return;
    }
    this.#entries.set(id, decoded.value);
    this.#weigh(decoded.value);
  }

  /**
   * The earliest time at which what is read now may have been written, on the steady clock: what it
   * says of a worker's remaining time counts from then.
   */
  get #writtenMs(): number {
    return this.completeAsOfMs === -Infinity ? steadyMs() : this.completeAsOfMs;
  }

  #drop(id: string): void {
    this.#entries.delete(id);
    this.#scheduler.unlistWorker(id);
  }

  #poolsChanged(): void {
    for (const entry of this.#entries.values()) this.#weigh(entry);
  }

  #weigh(entry: WorkerEntry): void {
    const { id } = entry;
    if (this.#isNamed(entry.pool)) {
      this.#faults.usable('workers', id);
      this.#scheduler.listWorker(entry, this.#writtenMs);
      this.#link(id);
      return;
    }
    this.#faults.unusable('workers', id, UNKNOWN_POOL);
    // Tasks may run there from a time when the pool was named: the entry says where to ask.
    if (this.#scheduler.workers.has(id)) {
      this.#scheduler.listWorker(entry, this.#writtenMs);
      this.#link(id);
    }
    this.#scheduler.unlistWorker(id);
  }

  /** Before a configuration is known no task can start anywhere, but what runs must be watched. */
  #isNamed(pool: string): boolean {
    return this.#config.current?.pools.has(pool) ?? true;
  }
}
