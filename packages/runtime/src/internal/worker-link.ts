import type { Order, OrderOutcome, WorkerEntry, WorkerReport } from '@redwingcrank/jobs';
import { taskName } from '@redwingcrank/jobs';
import type { NodeLog } from '../node-log.js';
import type { RenewResult, TaskWorkers, WorkerAddress } from '../task-workers.js';
import { Pause, delay, steadyMs } from './delay.js';
import type { StartViews } from './start-views.js';
import {
  IDLE_RENEW_WAIT_MS,
  RENEW_RETRY_MS,
  RENEW_WAIT_MS,
  FIRST_ANSWER_MS,
  SHORT_RENEW_WAIT_MS,
  START_ATTEMPTS,
  START_WINDOW_MS,
  withClockDrift,
} from './timing.js';

/** What a link tells the scheduling node. */
export interface LinkListener {
  readonly token: number;
  /**
   * How long from now a lease on the worker may last at most, in milliseconds; 0 or less where none
   * may be given. Later nodes rely on it.
   */
  leaseLimitMs(worker: string): number;
  /** Ends up to this number may be forgotten by the worker. */
  ackedEnd(worker: string): number;
  /** Whether anything runs on the worker, or may. */
  isBusy(worker: string): boolean;
  leaseSent(worker: string, leaseEndMs: number): void;
  /** For how long a start may take effect, by the ages of the views that it rests on. */
  readonly views: Pick<StartViews, 'windowMs' | 'ages'>;
  /** A start is being sent; what it begins holds a lease until its time is surely over. */
  startSent(order: Order, windowEndMs: number): void;
  /** Whether an order is still to be sent. */
  isDue(order: Order): boolean;
  reported(worker: string, report: WorkerReport, askedMs: number): void;
  answered(order: Order, outcome: OrderOutcome, settledMs: number): void;
  workerEnded(worker: string, why: string): void;
  fenced(worker: string, reason: string): void;
}

/** The longest wait for ends to be stored before the next renewal, in ms: leases must go on. */
const ACK_WAIT_MS = 400;

interface ClockReading {
  readonly clockMs: number;
  readonly atMs: number;
}

/**
 * The scheduling node's conversation with one life of a worker: renews its leases without end,
 * takes its reports, and sends it orders.
 */
export class WorkerLink {
  readonly address: WorkerAddress;

  readonly #workers: TaskWorkers;

  readonly #listener: LinkListener;

  readonly #log: NodeLog;

  readonly #leaseMs: number;

  readonly #stopping = new AbortController();

  #clock: ClockReading | undefined;

  #isLost = false;

  #startedMs = Infinity;

  readonly #ackWait = new Pause();

  constructor(
    entry: WorkerEntry,
    workers: TaskWorkers,
    listener: LinkListener,
    log: NodeLog,
    leaseMs: number,
  ) {
    this.address = { id: entry.id, address: entry.address };
    this.#workers = workers;
    this.#listener = listener;
    this.#log = log;
    this.#leaseMs = leaseMs;
  }

  get id(): string {
    return this.address.id;
  }

  /** Whether its first answer is missing that a worker which lives has given by now. */
  isOverdue(nowMs: number): boolean {
    return this.#clock === undefined && nowMs - this.#startedMs > FIRST_ANSWER_MS;
  }

  /** Whether the newest renewal was not answered. */
  get isLost(): boolean {
    return this.#isLost;
  }

  async run(): Promise<void> {
    this.#startedMs = steadyMs();
    while (!this.#stopping.signal.aborted) await this.#renew();
  }

  stop(): void {
    this.#stopping.abort();
    this.#ackWait.end();
  }

  /** Ends that this worker has listed may be acknowledged now. */
  acknowledged(): void {
    this.#ackWait.end();
  }

  /** Sends an order until it is answered or it is of no more use, and tells what came of it. */
  async order(order: Order): Promise<void> {
    let outcome: OrderOutcome = 'unknown';
    let settledMs = Infinity;
    let mayRun = false;
    for (let attempt = 0; attempt < START_ATTEMPTS && outcome === 'unknown'; attempt += 1) {
      if (this.#stopping.signal.aborted) return;
      const sentMs = steadyMs();
      const windowMs =
        order.kind === 'start' ? this.#listener.views.windowMs(sentMs) : START_WINDOW_MS;
      const objection = this.#objection(order, windowMs);
      if (objection) {
        if (!mayRun) outcome = 'too-late';
        this.#logOrder(order, outcome, objection, attempt, sentMs);
        break;
      }
      const deadlineMs = this.#workerTime(sentMs) + windowMs;
      const overMs = sentMs + withClockDrift(windowMs);
      if (order.kind === 'start') this.#listener.startSent(order, overMs);
      const result = await this.#workers.order(
        this.address,
        order,
        this.#listener.token,
        deadlineMs,
      );
      this.#readClock(result.clockMs);
      outcome = result.outcome;
      if (outcome === 'unknown') {
        mayRun = true;
        settledMs = overMs;
      } else if (!mayRun || outcome === 'done') {
        settledMs = steadyMs();
      }
      this.#logOrder(order, outcome, result.reason, attempt, sentMs);
    }
    if (this.#stopping.signal.aborted) return;
    if (outcome === 'fenced') this.#listener.fenced(this.id, 'order');
    // An earlier attempt without an answer may run, whatever this one met with.
    else if (mayRun && isRefusal(outcome)) this.#listener.answered(order, 'unknown', settledMs);
    else this.#listener.answered(order, outcome, settledMs);
  }

  /** Why a start must not be sent now, though it was decided on. */
  #objection(order: Order, windowMs: number): string | undefined {
    if (order.kind !== 'start') return undefined;
    // A node that was frozen and replaced would start here what the next one starts elsewhere.
    if (this.#listener.leaseLimitMs(this.id) < START_WINDOW_MS) return 'no lease may be given';
    if (windowMs === 0) return 'the lists are too old';
    return this.#listener.isDue(order) ? undefined : 'not due any more';
  }

  #logOrder(
    order: Order,
    outcome: OrderOutcome,
    reason: string,
    attempt: number,
    sentMs: number,
  ): void {
    const level = outcome === 'done' ? 'debug' : 'info';
    this.#log.emit(level, 'order', {
      kind: order.kind,
      task: taskName(order.task),
      run: order.run,
      worker: this.id,
      outcome,
      reason,
      attempt,
      tookMs: Math.round(steadyMs() - sentMs),
      ...(order.kind === 'start' && this.#listener.views.ages(steadyMs())),
    });
  }

  async #renew(): Promise<void> {
    const askedMs = steadyMs();
    // A lease that is offered counts as given. Offered again and again to a worker that is gone, it
    // would hold back for seconds what ran there; one look without a lease tells whether it lives.
    const leaseMs = Math.floor(Math.min(this.#leaseMs, this.#listener.leaseLimitMs(this.id)));
    const extend = this.#clock !== undefined && !this.#isLost && leaseMs > 0;
    const req = {
      token: this.#listener.token,
      ackedEnd: this.#listener.ackedEnd(this.id),
      waitMs: this.#waitMs(leaseMs),
      ...(extend && { deadlineMs: this.#workerTime(askedMs) + leaseMs }),
    };
    if (extend) {
      this.#listener.leaseSent(this.id, askedMs + withClockDrift(leaseMs));
    }
    const result = await this.#workers.renew(this.address, req);
    if (!this.#stopping.signal.aborted) await this.#renewed(result, askedMs);
  }

  #waitMs(leaseMs: number): number {
    if (!this.#clock || this.#isLost) return 0;
    if (leaseMs < this.#leaseMs / 2) return SHORT_RENEW_WAIT_MS;
    return this.#listener.isBusy(this.id) ? RENEW_WAIT_MS : IDLE_RENEW_WAIT_MS;
  }

  async #renewed(result: RenewResult, askedMs: number): Promise<void> {
    if (result.outcome === 'done') {
      this.#readClock(result.report.clockMs);
      this.#found();
      this.#listener.reported(this.id, result.report, askedMs);
      await this.#untilAcked(result.report);
      return;
    }
    if (result.outcome === 'fenced') {
      this.#listener.fenced(this.id, 'renew');
      return;
    }
    if (result.outcome === 'other-life') {
      this.#listener.workerEnded(this.id, result.reason);
      return;
    }
    this.#missed(result.reason);
    await delay(RENEW_RETRY_MS, this.#stopping.signal);
  }

  /**
   * Waits until the listed ends may be acknowledged. Until then the worker would list them again
   * at once, and each of these answers costs both sides their processor time.
   */
  async #untilAcked({ ended }: WorkerReport): Promise<void> {
    const last = ended.at(-1);
    if (!last || this.#listener.ackedEnd(this.id) >= last.number) return;
    if (!this.#stopping.signal.aborted) await this.#ackWait.wait(ACK_WAIT_MS);
  }

  #found(): void {
    if (!this.#isLost) return;
    this.#isLost = false;
    this.#log.emit('info', 'worker-regained', { worker: this.id });
  }

  #missed(reason: string): void {
    if (this.#isLost) return;
    this.#isLost = true;
    this.#log.emit('warn', 'worker-lost', { worker: this.id, reason });
  }

  #readClock(clockMs: number | undefined): void {
    if (clockMs !== undefined) this.#clock = { clockMs, atMs: steadyMs() };
  }

  /** The worker's clock now, or a little less: the time since the reading came is not all of it. */
  #workerTime(nowMs: number): number {
    if (!this.#clock) return 0;
    return Math.floor(this.#clock.clockMs + (nowMs - this.#clock.atMs));
  }
}

/** Whether the answer says that this attempt did nothing. */
function isRefusal(outcome: OrderOutcome): boolean {
  return outcome !== 'done' && outcome !== 'other-life';
}
