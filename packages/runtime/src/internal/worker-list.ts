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

/** The pause between reads of the worker log, in milliseconds. */
const READ_GAP_MS = 250;

/**
 * How long a read waits at the store for an entry, in milliseconds. The list becomes older by this
 * time, and no task starts based on an old list: with a longer wait, no task could start during a
 * part of each read of a slow store.
 */
const READ_WAIT_MS = 400;

const UNKNOWN_POOL: RecordFault = { reason: 'unknown-pool', field: 'pool' };

/**
 * Keeps the scheduler's list of workers up to date from their entries in the store. A worker whose
 * entry cannot be used is unlisted and gets no tasks. Its running tasks are kept, as on any worker
 * that is no longer listed: its link continues to renew leases and to read reports, so no task is
 * considered ended, and restarted elsewhere, before the worker reports its end or its leases have
 * expired even on the slowest clock. The next valid entry lists the worker again, and everything
 * that runs there is still counted.
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

  /** The newest valid entries, by worker. */
  readonly #entries = new Map<string, WorkerEntry>();

  #isLoaded = false;

  /** Listed workers whose entries were not read yet while the list is loaded again. */
  #unconfirmed: Set<string> | undefined;

  /** `link` starts a link to a worker unless there is one. */
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
      gapMs: READ_GAP_MS,
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
      this.#follower.messages$.subscribe((message) => this.#onMessage(message)),
    );
    await this.#follower.run();
  }

  stop(): void {
    for (const subscription of this.#subscriptions) subscription.unsubscribe();
    this.#follower.stop();
  }

  #onMessage(message: FollowerMessage): void {
    if (message.kind === 'record') this.#read(message.rec);
    else if (message.kind === 'reset') this.#unconfirmed = new Set(this.#entries.keys());
    else this.#caughtUp();
  }

  #caughtUp(): void {
    this.#isLoaded = true;
    // A worker without an entry in the reloaded list is no longer listed.
    for (const id of this.#unconfirmed ?? []) this.#drop(id);
    this.#unconfirmed = undefined;
  }

  #read(rec: KeyedRecord): void {
    const id = this.#port.workerIdOf(rec);
    if (id === undefined) {
      if (rec.fault) this.#faults.unusable('workers', rec.key, rec.fault);
      return;
    }
    this.#unconfirmed?.delete(id);
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
    this.#applyEntry(decoded.value);
  }

  /**
   * The earliest time at which an entry that is read now may have been written, on the steady
   * clock: the remaining time of a worker that it states counts from then.
   */
  get #writtenMs(): number {
    return this.completeAsOfMs === -Infinity ? steadyMs() : this.completeAsOfMs;
  }

  #drop(id: string): void {
    this.#entries.delete(id);
    this.#scheduler.unlistWorker(id);
  }

  #poolsChanged(): void {
    for (const entry of this.#entries.values()) this.#applyEntry(entry);
  }

  #applyEntry(entry: WorkerEntry): void {
    const { id } = entry;
    if (this.#isConfiguredPool(entry.pool)) {
      this.#faults.usable('workers', id);
      this.#scheduler.listWorker(entry, this.#writtenMs, steadyMs());
      this.#link(id);
      return;
    }
    this.#faults.unusable('workers', id, UNKNOWN_POOL);
    // Tasks may run there from a time when the pool was configured, and the entry contains the
    // address for the link.
    if (this.#scheduler.workers.has(id)) {
      this.#scheduler.listWorker(entry, this.#writtenMs, steadyMs());
      this.#link(id);
    }
    this.#scheduler.unlistWorker(id);
  }

  /**
   * Before a configuration is known no task can start anywhere, but running tasks must be followed.
   */
  #isConfiguredPool(pool: string): boolean {
    return this.#config.current?.pools.has(pool) ?? true;
  }
}
