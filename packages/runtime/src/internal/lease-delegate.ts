import { from, lastValueFrom, mergeMap } from 'rxjs';
import type { NodeLog } from '../node-log.js';
import type { NodeSettings } from '../node-settings.js';
import type { PeerLink } from '../peer-port.js';
import type { RenewResult, TaskWorkers, WorkerAddress } from '../task-workers.js';
import { delay, steadyMs } from './delay.js';
import type { LeaseGrantsMessage } from './lease-grants-message.js';
import { decodeLeaseGrants } from './lease-grants-message.js';
import { CONFIRMED_LEASE_MS } from './timing.js';
import type { LeaderRecord } from './work-records.js';

/**
 * A leader whose newest message is older than this may be behind a network partition, in
 * milliseconds. A leader that is short of processor time sends late, and the leases that it renewed
 * last for another three seconds.
 */
const MAX_SILENCE_MS = 2_500;

/** Interval of checks whether messages still arrive, in milliseconds. */
const CHECK_INTERVAL_MS = 250;

/** Interval of renewals of a worker that did not answer or needs another one, in milliseconds. */
const RENEW_INTERVAL_MS = 1_000;

/** How many renewals are sent at once: each costs a connection and about a millisecond. */
const PARALLEL_RENEWALS = 16;

/** How the renewals of a worker went: `silent` if no answer arrived. */
type DelegatedOutcome = 'renewed' | 'refused' | 'silent';

type DoneReason = 'messages' | 'later-leader' | 'passed' | 'stopped';

/** A grant of the leader. */
interface HeldGrant {
  readonly worker: WorkerAddress;
  /** On the worker's clock. */
  readonly untilMs: number;
  /** On this node's clock: the grant ends at most `CONFIRMED_LEASE_MS` later. */
  readonly receivedMs: number;
  /** When the leases were last renewed, on this node's clock. */
  sentMs: number;
  /** Whether no further renewal can extend the leases. */
  isExhausted: boolean;
}

/**
 * Renews leases in the leader's name while no messages of the leader arrive, on the workers and up
 * to the times that the leader has granted. It starts nothing, stops nothing, and acknowledges no
 * end. The times are absolute on the workers' clocks, and a worker that has seen the token of a
 * later leader refuses, so a delegate that is late or mistaken extends no lease beyond what every
 * later leader waits for.
 */
export class LeaseDelegate {
  readonly #workers: TaskWorkers;

  readonly #settings: Pick<NodeSettings, 'dataCentre' | 'maxLeaseMs'>;

  readonly #log: NodeLog;

  readonly #stopping = new AbortController();

  /** The highest epoch in the store or in a message. */
  #epoch = 0;

  /** The grants by the worker's id. */
  readonly #grants = new Map<string, HeldGrant>();

  /** When the newest message arrived. */
  #heardMs = -Infinity;

  #isWatching = false;

  /** The outcomes by worker, while this node renews. */
  #outcomes: Map<string, DelegatedOutcome> | undefined;

  constructor(
    workers: TaskWorkers,
    settings: Pick<NodeSettings, 'dataCentre' | 'maxLeaseMs'>,
    log: NodeLog,
  ) {
    this.#workers = workers;
    this.#settings = settings;
    this.#log = log;
  }

  /** Receives the grants of the leader at the other end of the connection. */
  linked(link: PeerLink): void {
    let token = 0;
    let workers = new Map<number, WorkerAddress>();
    link.receive((line) => {
      const message = decodeLeaseGrants(line);
      if (!message || message.token < this.#epoch) return;
      // The indices of an earlier term of the same process mean other workers.
      if (message.token !== token) workers = new Map();
      token = message.token;
      for (const [index, worker] of message.workers) workers.set(index, worker);
      this.#received(message, workers);
    });
  }

  /** Called when a leader record was read: grants of earlier leaders no longer count. */
  leaderSeen({ epoch, resigned }: Pick<LeaderRecord, 'epoch' | 'resigned'>): void {
    if (epoch > this.#epoch || (resigned && epoch === this.#epoch)) this.#drop('later-leader');
    this.#epoch = Math.max(this.#epoch, epoch);
  }

  stop(): void {
    this.#stopping.abort();
    this.#drop('stopped');
  }

  #received(
    { token, until }: LeaseGrantsMessage,
    workers: ReadonlyMap<number, WorkerAddress>,
  ): void {
    if (this.#stopping.signal.aborted) return;
    if (token > this.#epoch) this.#drop('later-leader');
    this.#epoch = token;
    this.#heardMs = steadyMs();
    this.#done('messages');
    for (const [index, untilMs] of until) {
      const worker = workers.get(index);
      const state = { receivedMs: this.#heardMs, sentMs: -Infinity, isExhausted: false };
      if (worker) this.#grants.set(worker.id, { worker, untilMs, ...state });
    }
    if (this.#isWatching) return;
    this.#watch().catch((err) => {
      this.#log.emit('error', 'part-failed', { part: 'lease-delegate', reason: String(err) });
    });
  }

  async #watch(): Promise<void> {
    this.#isWatching = true;
    try {
      while (this.#grants.size > 0) {
        await delay(CHECK_INTERVAL_MS, this.#stopping.signal);
        this.#dropPassed();
        if (this.#isLeaderSilent) await this.#renewDue();
      }
      this.#done('passed');
    } finally {
      this.#isWatching = false;
    }
  }

  get #isLeaderSilent(): boolean {
    return steadyMs() - this.#heardMs > MAX_SILENCE_MS;
  }

  #dropPassed(): void {
    const nowMs = steadyMs();
    for (const [id, { receivedMs }] of this.#grants)
      if (nowMs - receivedMs > CONFIRMED_LEASE_MS) this.#grants.delete(id);
  }

  async #renewDue(): Promise<void> {
    const nowMs = steadyMs();
    const due = [...this.#grants.values()].filter(
      ({ isExhausted, sentMs }) => !isExhausted && nowMs - sentMs >= RENEW_INTERVAL_MS,
    );
    if (due.length === 0) return;
    if (!this.#outcomes) this.#begin(due);
    await lastValueFrom(from(due).pipe(mergeMap((grant) => this.#renew(grant), PARALLEL_RENEWALS)));
  }

  #begin(due: readonly HeldGrant[]): void {
    this.#outcomes = new Map();
    const newestMs = Math.max(...due.map(({ receivedMs }) => receivedMs));
    this.#log.emit('info', 'delegate-renews', {
      dataCentre: this.#settings.dataCentre,
      workers: due.length,
      untilMs: Math.round(newestMs + CONFIRMED_LEASE_MS - steadyMs()),
    });
  }

  async #renew(grant: HeldGrant): Promise<void> {
    const { worker, untilMs } = grant;
    // Earlier renewals of the same round may have taken seconds.
    if (!this.#isLeaderSilent || this.#grants.get(worker.id) !== grant) return;
    Object.assign(grant, { sentMs: steadyMs() });
    const result = await this.#extend(worker, untilMs);
    if (this.#grants.get(worker.id) === grant) this.#renewed(grant, result);
  }

  /**
   * Renews the leases of the process that the grant is for. `untilMs` is a time on its clock: one that
   * has restarted under the same id would take it for a lease as long as the platform allows.
   */
  async #extend(worker: WorkerAddress, untilMs: number): Promise<RenewResult> {
    const req = { token: this.#epoch, ackedEnd: 0, waitMs: 0 };
    if (worker.incarnation !== undefined) {
      const found = await this.#workers.renew(worker, req);
      if (found.outcome !== 'done') return found;
      if (found.report.incarnation !== worker.incarnation)
        return { outcome: 'other-life', reason: 'restarted' };
    }
    return this.#workers.renew(worker, { ...req, deadlineMs: untilMs });
  }

  #renewed(grant: HeldGrant, result: RenewResult): void {
    const { worker, untilMs } = grant;
    if (result.outcome === 'done') {
      const leftMs = untilMs - result.report.clockMs;
      this.#outcomes?.set(worker.id, leftMs > 0 ? 'renewed' : 'refused');
      // The platform shortens longer leases.
      Object.assign(grant, { isExhausted: leftMs <= this.#settings.maxLeaseMs });
    } else if (result.outcome === 'fenced' || result.outcome === 'other-life') {
      this.#outcomes?.set(worker.id, 'refused');
      this.#grants.delete(worker.id);
    } else if (this.#outcomes?.get(worker.id) === undefined) {
      this.#outcomes?.set(worker.id, 'silent');
    }
  }

  #drop(reason: DoneReason): void {
    this.#grants.clear();
    this.#done(reason);
  }

  /** Ends the renewals, if there were any, and logs how they went. */
  #done(reason: DoneReason): void {
    if (!this.#outcomes) return;
    const outcomes = [...this.#outcomes.values()];
    this.#outcomes = undefined;
    const count = (outcome: DelegatedOutcome): number =>
      outcomes.filter((other) => other === outcome).length;
    this.#log.emit('info', 'delegate-done', {
      reason,
      renewed: count('renewed'),
      refused: count('refused'),
      silent: count('silent'),
    });
  }
}
