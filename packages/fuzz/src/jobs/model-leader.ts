import type {
  Decisions,
  EventLogger,
  Order,
  OrderOutcome,
  RoundLimits,
  WorkerReport,
  WorkerState,
} from '@redwingcrank/jobs';
import { Scheduler } from '@redwingcrank/jobs';
import type { LeaderRecord, SilentWorkers } from '@redwingcrank/runtime/leases';
import {
  FIRST_ANSWER_MS,
  LEASE_MS,
  MAX_ACK_AGE_MS,
  START_WINDOW_MS,
  SilenceDetector,
  StartViews,
  TermLeases,
  withClockDrift,
} from '@redwingcrank/runtime/leases';
import { DRAIN_MS, EVACUATE_MS, MAX_ATTEMPTS } from './jobs-oracle.js';
import type { ModelNode } from './model-node.js';
import type { ModelWorker } from './model-worker.js';

/** An order in flight; an order without an answer is sent again. */
export interface SentOrder {
  readonly order: Order;
  /** The scheduler's state of the process that the order was meant for. */
  readonly worker: WorkerState | undefined;
  readonly deadline: number;
  /** How long from `sentMs` on a start may take effect, in milliseconds. */
  readonly windowMs: number;
  readonly sentMs: number;
  isAnswered: boolean;
  /** Whether it has arrived at its worker. */
  hasArrived: boolean;
  mayRun: boolean;
}

/** A renewal in flight. */
export interface RenewRequest {
  readonly token: number;
  readonly ackedEnd: number;
  /** The lease's end on the worker's clock; undefined if the renewal only asks for a report. */
  readonly deadline: number | undefined;
  readonly askedMs: number;
}

/** The records that one round appends, and the actions that wait until they are stored. */
export interface Append {
  readonly progress: readonly { readonly id: string; readonly text: string }[];
  /** Undefined if the round has changed jobs and there is no news of workers to record. */
  readonly rec: LeaderRecord | undefined;
  readonly sentMs: number;
  readonly starts: readonly Order[];
  readonly acks: Decisions['acks'];
  readonly ahead: Decisions['ahead'];
  /** Whether another round follows at once. */
  readonly isCutShort: boolean;
}

/** What a link to one process of a worker knows of it. */
interface Link {
  /** The scheduler's state of the process. */
  readonly worker: WorkerState;
  readonly clock: number;
  readonly atMs: number;
  /** The last end that the newest report lists; 0 if it lists none. */
  listedEnd: number;
}

const QUEUE = {
  name: 'q',
  pool: 'p',
  priority: 0,
  maxAttempts: MAX_ATTEMPTS,
  stretch: 1,
  targetLatencyMs: 0,
};

/** Allows one start a round: rounds that have more to start are cut short. */
const FEW_STARTS = { placingMs: Infinity, starts: 1, clockMs: () => 0 };

const NO_STARTS = { ...FEW_STARTS, starts: 0 };

const NO_LIMITS = { ...FEW_STARTS, starts: Infinity };

/**
 * One term of a leader: the real scheduler and the real bookkeeping of leases, with calls in place
 * of sockets.
 */
export class ModelLeader {
  readonly epoch: number;

  readonly node: ModelNode;

  readonly scheduler: Scheduler;

  readonly inFlight: SentOrder[] = [];

  /** Workers that this leader cannot reach, although others may. */
  readonly unreachable = new Set<string>();

  /** When the newest append that the store has confirmed was first sent. */
  confirmedMs: number;

  /** Whether the leader knows that it is replaced, or its process has ended. */
  hasEnded = false;

  /** The append that got no answer: the leader does not know whether it is stored. */
  unansweredAppend: Append | undefined;

  /** Since when the leader's list of workers is incomplete; undefined if it is complete. */
  listAsOfMs: number | undefined;

  /** Since when the leader lacks requests of the operators; undefined if it has read them all. */
  operatorsAsOfMs: number | undefined;

  nowMs: number;

  readonly #bindsAhead: boolean;

  readonly #views: StartViews;

  readonly #startedMs: number;

  readonly #leases: TermLeases;

  readonly #silence: SilenceDetector;

  readonly #links = new Map<string, Link>();

  /** Workers whose newest renewal got no answer. */
  readonly #lostRenewals = new Set<string>();

  constructor(
    claim: LeaderRecord,
    node: ModelNode,
    nowMs: number,
    bindsAhead: boolean,
    logEvent: EventLogger = () => {},
  ) {
    this.#bindsAhead = bindsAhead;
    const { former } = node;
    this.epoch = claim.epoch;
    this.node = node;
    this.confirmedMs = nowMs;
    this.#startedMs = nowMs;
    this.nowMs = nowMs;
    const workersAsOfMs = (): number => this.listAsOfMs ?? this.nowMs;
    const operatorsAsOfMs = (): number => this.operatorsAsOfMs ?? this.nowMs;
    const jobsAsOfMs = (): number => this.nowMs;
    this.#views = new StartViews(
      {
        workers: {
          get completeAsOfMs() {
            return workersAsOfMs();
          },
        },
        work: {
          get jobsCompleteAsOfMs() {
            return jobsAsOfMs();
          },
        },
        operators: {
          get completeAsOfMs() {
            return operatorsAsOfMs();
          },
        },
      },
      { drainMs: DRAIN_MS, cancelMs: Infinity, evacuateMs: EVACUATE_MS },
      new AbortController().signal,
    );
    this.#leases = new TermLeases(claim, this, former);
    this.#silence = new SilenceDetector(former.namedEndMs);
    this.scheduler = new Scheduler(
      {
        leaseMs: withClockDrift(LEASE_MS),
        inheritedLeaseMs: Math.max(0, former.generalEndMs - nowMs),
        stallTimeoutMs: Infinity,
        stopRetryMs: 1_000,
      },
      nowMs,
      logEvent,
    );
    this.scheduler.setQueues([QUEUE]);
  }

  reaches(worker: ModelWorker): boolean {
    return worker.isAlive && !worker.isCut && !this.unreachable.has(worker.entry.id);
  }

  /** Decides, sends the stops, and returns the append, which may contain the resignation. */
  decide(nowMs: number, resigns: boolean): Append {
    const isOpen = this.#views.windowMs(nowMs) > 0;
    const limits = isOpen ? this.#limits(resigns) : NO_STARTS;
    const decisions = this.scheduler.decide(nowMs, nowMs, limits);
    const { changed, orders, acks, ahead } = decisions;
    const isCutShort = isOpen && decisions.isCutShort;
    const { silent, isComplete } = this.#silentWorkers(nowMs);
    const hasSilentChanged = this.#leases.updateSilent(silent, isComplete);
    const writesRecord = resigns || hasSilentChanged || changed.length === 0;
    const rec = writesRecord ? this.#leases.record(resigns, nowMs) : undefined;
    const progress = changed.map((job) => ({ id: job.spec.id, text: job.encode() }));
    const starts = orders.filter(({ kind }) => kind === 'start');
    for (const order of orders) if (order.kind !== 'start') this.#send(order, nowMs, false);
    return { progress, rec, sentMs: nowMs, starts, acks, ahead, isCutShort };
  }

  #limits(resigns: boolean): RoundLimits {
    if (!this.#bindsAhead) return FEW_STARTS;
    return { ...FEW_STARTS, ahead: resigns ? 'release' : 'plan' };
  }

  /** Sends the starts that are bound ahead, and returns how many these are. */
  startAhead(nowMs: number): number {
    if (this.hasEnded || this.#views.windowMs(nowMs) === 0) return 0;
    const starts = this.scheduler.startAhead(nowMs, NO_LIMITS, 0);
    for (const order of starts) this.#send(order, nowMs, false);
    return starts.length;
  }

  /** Sends the stops that are due, and starts that are bound ahead; an append may be in progress. */
  sendStops(nowMs: number): void {
    for (const order of this.scheduler.decideStops(nowMs)) this.#send(order, nowMs, false);
    this.startAhead(nowMs);
  }

  /** Handles the confirmation that the append is stored. */
  stored({ rec, sentMs, starts, acks, ahead }: Append, nowMs: number): void {
    this.confirmedMs = sentMs;
    this.scheduler.aheadStored(ahead);
    if (rec) this.#leases.recordStored();
    this.scheduler.acknowledge(acks);
    for (const order of starts) this.#send(order, nowMs, false);
  }

  /**
   * Sends an unanswered order again. The first order stays in flight and may arrive a second time.
   */
  resend(sent: SentOrder, nowMs: number): void {
    if (sent.isAnswered) return;
    Object.assign(sent, { isAnswered: true });
    this.#send(sent.order, nowMs, true);
  }

  /** Reports the outcome of an order to the scheduler. */
  complete(sent: SentOrder, outcome: OrderOutcome, nowMs: number): void {
    if (this.hasEnded || sent.isAnswered) return;
    Object.assign(sent, { isAnswered: true });
    // The link to a former process is closed: its calls get no answer.
    if (sent.worker !== this.scheduler.workers.get(sent.order.worker)) return;
    // An earlier unanswered attempt may be running, whatever the outcome of this attempt.
    const isUnknown = outcome === 'unknown' || (sent.mayRun && outcome !== 'done');
    const sendCompletedMs = isUnknown ? sent.sentMs + withClockDrift(sent.windowMs) : nowMs;
    this.scheduler.answered(sent.order, isUnknown ? 'unknown' : outcome, nowMs, sendCompletedMs);
  }

  /** Starts a renewal; returns undefined if the leader has ended or does not know the worker. */
  renew(id: string, nowMs: number): RenewRequest | undefined {
    const known = this.scheduler.workers.get(id);
    if (this.hasEnded || !known) return undefined;
    const leaseMs = Math.floor(Math.min(LEASE_MS, this.#leases.limitMs(id, nowMs)));
    const link = this.#linkTo(id);
    const isFresh = link !== undefined && nowMs - link.atMs <= MAX_ACK_AGE_MS;
    const extend = link !== undefined && !this.#lostRenewals.has(id) && leaseMs > 0;
    if (extend) this.#leaseSent(id, nowMs + withClockDrift(leaseMs));
    return {
      token: this.epoch,
      ackedEnd: isFresh ? Math.min(link.listedEnd, known.ackedEnd) : 0,
      deadline: extend ? this.#clockOf(id, nowMs) + leaseMs : undefined,
      askedMs: nowMs,
    };
  }

  renewed(id: string, report: WorkerReport, askedMs: number, nowMs: number): void {
    this.#lostRenewals.delete(id);
    this.#silence.contacted(id);
    this.scheduler.report(id, report, askedMs, nowMs);
    const worker = this.scheduler.workers.get(id);
    const listedEnd = report.ended.at(-1)?.number ?? 0;
    if (worker) this.#links.set(id, { worker, clock: report.clockMs, atMs: nowMs, listedEnd });
  }

  /** Returns whether the worker's newest renewal got no answer. */
  isRenewalLost(id: string): boolean {
    return this.#lostRenewals.has(id);
  }

  /** Records that a renewal got no answer. */
  renewalLost(id: string): void {
    this.#lostRenewals.add(id);
    const link = this.#links.get(id);
    if (link) link.listedEnd = 0;
  }

  /** Returns the link to the present process of a worker; undefined if it has not answered. */
  #linkTo(id: string): Link | undefined {
    const link = this.#links.get(id);
    return link?.worker === this.scheduler.workers.get(id) ? link : undefined;
  }

  #leaseSent(id: string, leaseEndMs: number): void {
    this.#silence.contacted(id);
    this.scheduler.leaseSent(id, leaseEndMs);
  }

  #silentWorkers(nowMs: number): SilentWorkers {
    const { workers } = this.scheduler;
    const isOverdue = (): boolean => nowMs - this.#startedMs > FIRST_ANSWER_MS;
    const links = new Map(
      [...workers.keys()].map((id) => [id, { isOverdue, isLost: this.#lostRenewals.has(id) }]),
    );
    return this.#silence.find({ workers, links, isListLoaded: true, isFullyLoaded: true }, nowMs);
  }

  #send(order: Order, nowMs: number, mayRun: boolean): void {
    const { worker } = order;
    const windowMs = this.#views.windowMs(nowMs);
    const sent = {
      order,
      worker: this.scheduler.workers.get(worker),
      deadline: this.#clockOf(worker, nowMs) + windowMs,
      windowMs,
      sentMs: nowMs,
      isAnswered: false,
      hasArrived: false,
      mayRun,
    };
    if (order.kind === 'start') {
      const mayStart = windowMs > 0 && this.#leases.limitMs(worker, nowMs) >= START_WINDOW_MS;
      if (!mayStart || !this.scheduler.shouldSend(order)) {
        // Nothing was sent now, but an earlier attempt may be in flight.
        this.complete(sent, mayRun ? 'unknown' : 'too-late', nowMs);
        return;
      }
      this.#silence.contacted(worker);
      this.scheduler.startSent(order, nowMs + withClockDrift(windowMs), nowMs);
    }
    this.inFlight.push(sent);
  }

  #clockOf(id: string, nowMs: number): number {
    const reading = this.#linkTo(id);
    return reading ? reading.clock + (nowMs - reading.atMs) : 0;
  }
}
