import type { Order, OrderOutcome, WorkerReport, WorkerState } from '@redwingcrank/jobs';
import { Scheduler } from '@redwingcrank/jobs';
import type { LeaderRecord } from '@redwingcrank/runtime/leases';
import {
  FIRST_ANSWER_MS,
  LEASE_MS,
  SILENT_WORKER_MS,
  START_WINDOW_MS,
  StartViews,
  TermLeases,
  withClockDrift,
} from '@redwingcrank/runtime/leases';
import { DRAIN_MS, MAX_ATTEMPTS } from './jobs-oracle.js';
import type { ModelNode } from './model-node.js';
import type { ModelWorker } from './model-worker.js';

/** An order on its way; without an answer it is sent again. */
export interface SentOrder {
  readonly order: Order;
  readonly deadline: number;
  /** How long from `sentMs` on a start may take effect, in milliseconds. */
  readonly windowMs: number;
  readonly sentMs: number;
  isAnswered: boolean;
  mayRun: boolean;
}

/** A renewal on its way. */
export interface RenewCall {
  readonly token: number;
  readonly ackedEnd: number;
  /** On the worker's clock; undefined where it only looks. */
  readonly deadline: number | undefined;
  readonly askedMs: number;
}

/** What one round appends, and what waits until the leader knows that it is stored. */
export interface Append {
  readonly progress: readonly { readonly id: string; readonly text: string }[];
  /** Undefined where the round has changed jobs and nothing is to be told of workers. */
  readonly rec: LeaderRecord | undefined;
  readonly sentMs: number;
  readonly starts: readonly Order[];
  readonly acks: ReadonlyMap<string, number>;
  /** Another round follows at once. */
  readonly isCutShort: boolean;
}

interface ClockReading {
  readonly clock: number;
  readonly atMs: number;
}

const QUEUE = {
  name: 'q',
  pool: 'p',
  priority: 0,
  maxAttempts: MAX_ATTEMPTS,
  stretch: 1,
  targetLatencyMs: 0,
};

/** Rounds that have more to start are cut short. */
const FEW_STARTS = { placingMs: Infinity, starts: 1, clockMs: () => 0 };

const NO_STARTS = { ...FEW_STARTS, starts: 0 };

/**
 * One term of a scheduling node: the scheduler of the nodes, and what they may promise and tell of
 * leases, with calls in place of sockets.
 */
export class ModelLeader {
  readonly epoch: number;

  readonly node: ModelNode;

  readonly scheduler: Scheduler;

  readonly inFlight: SentOrder[] = [];

  /** Workers that it cannot reach, though others may. */
  readonly unreachable = new Set<string>();

  /** When the newest append was first sent that the store has confirmed. */
  confirmedMs: number;

  /** It knows that it is replaced, or its process is gone. */
  isOver = false;

  /** An append that got no answer: it is stored, but the leader does not know. */
  unanswered: Append | undefined;

  /** Since when its list of workers lacks something; undefined where it is complete. */
  listAsOfMs: number | undefined;

  nowMs: number;

  readonly #views: StartViews;

  readonly #startedMs: number;

  readonly #leases: TermLeases;

  readonly #clocks = new Map<string, ClockReading>();

  /** Workers whose newest renewal got no answer. */
  readonly #lost = new Set<string>();

  constructor(claim: LeaderRecord, node: ModelNode, nowMs: number) {
    const { former } = node;
    this.epoch = claim.epoch;
    this.node = node;
    this.confirmedMs = nowMs;
    this.#startedMs = nowMs;
    this.nowMs = nowMs;
    const freshMs = (): number => this.listAsOfMs ?? this.nowMs;
    const presentMs = (): number => this.nowMs;
    this.#views = new StartViews(
      {
        get completeAsOfMs() {
          return freshMs();
        },
      },
      {
        get jobsCompleteAsOfMs() {
          return presentMs();
        },
      },
      { drainMs: DRAIN_MS, cancelMs: Infinity },
      new AbortController().signal,
    );
    this.#leases = new TermLeases(claim, this, former);
    this.scheduler = new Scheduler(
      {
        leaseMs: withClockDrift(LEASE_MS),
        inheritedLeaseMs: Math.max(0, former.generalEndMs - nowMs),
        stallTimeoutMs: Infinity,
        stopRetryMs: 1_000,
      },
      nowMs,
      () => {},
    );
    this.scheduler.setQueues([QUEUE]);
  }

  reaches(worker: ModelWorker): boolean {
    return worker.isAlive && !worker.isCut && !this.unreachable.has(worker.entry.id);
  }

  /** Decides, sends the stops, and returns what is to be appended; with it may resign. */
  decide(nowMs: number, resigns: boolean): Append {
    const isOpen = this.#views.windowMs(nowMs) > 0;
    const decisions = this.scheduler.decide(nowMs, nowMs, isOpen ? FEW_STARTS : NO_STARTS);
    const { changed, orders, acks } = decisions;
    const isCutShort = isOpen && decisions.isCutShort;
    const { silent, isComplete } = this.#silentWorkers(nowMs);
    const isNews = this.#leases.updateSilent(silent, isComplete);
    const tells = resigns || isNews || changed.length === 0;
    const rec = tells ? this.#leases.record(resigns, nowMs) : undefined;
    const progress = changed.map((job) => ({ id: job.spec.id, text: job.encode() }));
    const starts = orders.filter(({ kind }) => kind === 'start');
    for (const order of orders) if (order.kind !== 'start') this.#send(order, nowMs, false);
    return { progress, rec, sentMs: nowMs, starts, acks, isCutShort };
  }

  /** Sends the stops that are due; an append may be under way. */
  sendStops(nowMs: number): void {
    for (const order of this.scheduler.decideStops(nowMs)) this.#send(order, nowMs, false);
  }

  /** The leader hears that its append is stored. */
  stored({ rec, sentMs, starts, acks }: Append, nowMs: number): void {
    this.confirmedMs = sentMs;
    if (rec) this.#leases.recordStored();
    this.scheduler.acknowledge(acks);
    for (const order of starts) this.#send(order, nowMs, false);
  }

  /**
   * Sends an order again to which no answer came. The first one stays on its way and may arrive a
   * second time.
   */
  resend(sent: SentOrder, nowMs: number): void {
    if (sent.isAnswered) return;
    Object.assign(sent, { isAnswered: true });
    this.#send(sent.order, nowMs, true);
  }

  /** Tells the scheduler what came of an order. */
  settle(sent: SentOrder, outcome: OrderOutcome, nowMs: number): void {
    if (this.isOver || sent.isAnswered) return;
    Object.assign(sent, { isAnswered: true });
    // An earlier attempt without an answer may run, whatever this one met with.
    const isUnknown = outcome === 'unknown' || (sent.mayRun && outcome !== 'done');
    const settledMs = isUnknown ? sent.sentMs + withClockDrift(sent.windowMs) : nowMs;
    this.scheduler.answered(sent.order, isUnknown ? 'unknown' : outcome, nowMs, settledMs);
  }

  /** Begins a renewal; undefined where it holds no such worker. */
  renew(id: string, nowMs: number): RenewCall | undefined {
    const known = this.scheduler.workers.get(id);
    if (this.isOver || !known) return undefined;
    const leaseMs = Math.floor(Math.min(LEASE_MS, this.#leases.limitMs(id, nowMs)));
    const extend = this.#clocks.has(id) && !this.#lost.has(id) && leaseMs > 0;
    if (extend) this.scheduler.leaseSent(id, nowMs + withClockDrift(leaseMs));
    return {
      token: this.epoch,
      ackedEnd: known.ackedEnd,
      deadline: extend ? this.#clockOf(id, nowMs) + leaseMs : undefined,
      askedMs: nowMs,
    };
  }

  renewed(id: string, report: WorkerReport, askedMs: number, nowMs: number): void {
    this.#clocks.set(id, { clock: report.clockMs, atMs: nowMs });
    this.#lost.delete(id);
    this.scheduler.report(id, report, askedMs, nowMs);
  }

  /** Whether the newest renewal got no answer. */
  isLost(id: string): boolean {
    return this.#lost.has(id);
  }

  /** A renewal got no answer. */
  missed(id: string): void {
    this.#lost.add(id);
  }

  #silentWorkers(nowMs: number): { silent: WorkerState[]; isComplete: boolean } {
    const silent: WorkerState[] = [];
    const isFirstOverdue = nowMs - this.#startedMs > FIRST_ANSWER_MS;
    let isComplete = true;
    for (const worker of this.scheduler.workers.values()) {
      if (worker.runs.size > 0 && !worker.fenced) {
        if (isFirstOverdue) silent.push(worker);
        else isComplete = false;
      } else if (worker.runs.size > 0 && this.#lost.has(worker.entry.id)) {
        if (nowMs - worker.answeredMs > SILENT_WORKER_MS) silent.push(worker);
      }
    }
    return { silent, isComplete };
  }

  #send(order: Order, nowMs: number, mayRun: boolean): void {
    const { worker } = order;
    const windowMs = this.#views.windowMs(nowMs);
    const sent = {
      order,
      deadline: this.#clockOf(worker, nowMs) + windowMs,
      windowMs,
      sentMs: nowMs,
      isAnswered: false,
      mayRun,
    };
    if (order.kind === 'start') {
      const mayStart = windowMs > 0 && this.#leases.limitMs(worker, nowMs) >= START_WINDOW_MS;
      if (!mayStart || !this.scheduler.shouldSend(order)) {
        // Nothing was sent now, but an earlier attempt may be on its way.
        this.settle(sent, mayRun ? 'unknown' : 'too-late', nowMs);
        return;
      }
      this.scheduler.leaseSent(worker, nowMs + withClockDrift(windowMs));
    }
    this.inFlight.push(sent);
  }

  #clockOf(id: string, nowMs: number): number {
    const reading = this.#clocks.get(id);
    return reading ? reading.clock + (nowMs - reading.atMs) : 0;
  }
}
