import type { Order, OrderOutcome, WorkerEntry, WorkerReport } from '@redwingcrank/jobs';
import { taskName } from '@redwingcrank/jobs';
import type { NodeLog } from '../node-log.js';
import type { RenewResult, TaskWorkers, WorkerAddress } from '../task-workers.js';
import { Pause, delay, steadyMs } from './delay.js';
import type { RetryBudget } from './retry-budget.js';
import type { StartViews } from './start-views.js';
import {
  IDLE_RENEW_WAIT_MS,
  MAX_ACK_AGE_MS,
  RENEW_RETRY_MS,
  RENEW_WAIT_MS,
  FIRST_ANSWER_MS,
  SHORT_RENEW_WAIT_MS,
  START_ATTEMPTS,
  START_WINDOW_MS,
  withClockDrift,
} from './timing.js';

/** The callbacks of a link and the state of the term that it needs. */
export interface LinkListener {
  readonly token: number;
  /**
   * Returns how long from now a lease on the worker may last at most, in milliseconds; 0 or less if
   * no lease may be granted. Later leaders rely on this bound.
   */
  leaseLimitMs(worker: string): number;
  /** The worker may drop ended runs up to this number. */
  ackedEnd(worker: string): number;
  /** Whether anything runs on the worker, or may run. */
  isBusy(worker: string): boolean;
  leaseSent(worker: string, leaseEndMs: number): void;
  /**
   * Determines how long a start may take effect, given the ages of the views that it is based on.
   */
  readonly views: Pick<StartViews, 'windowMs' | 'ages'>;
  /**
   * Called when a start is sent; the run may hold a lease until `windowEndMs`, which accounts for
   * clock drift.
   */
  startSent(order: Order, windowEndMs: number): void;
  /** Whether an order must still be sent. */
  isDue(order: Order): boolean;
  reported(worker: string, report: WorkerReport, askedMs: number): void;
  answered(order: Order, outcome: OrderOutcome, sendCompletedMs: number): void;
  workerEnded(worker: string, reason: string): void;
  fenced(worker: string, reason: string): void;
}

/**
 * The longest wait for ended runs to be stored before the next renewal, in milliseconds: leases
 * must be renewed in time.
 */
const ACK_WAIT_MS = 400;

/** A worker's clock in its newest answer, and when that answer arrived. */
export interface ClockReading {
  readonly clockMs: number;
  readonly atMs: number;
}

/**
 * The communication of the leader with one incarnation of a worker: renews its leases continuously,
 * receives its reports and sends it orders.
 */
export class WorkerLink {
  readonly address: WorkerAddress;

  readonly #workers: TaskWorkers;

  readonly #listener: LinkListener;

  readonly #log: NodeLog;

  readonly #leaseMs: number;

  readonly #retries: RetryBudget;

  readonly #stopping = new AbortController();

  #clock: ClockReading | undefined;

  #isLost = false;

  #startedMs = Infinity;

  readonly #ackWait = new Pause();

  /** The last end in the newest report; 0 if it lists none, or if the latest renewal got no answer. */
  #listedEnd = 0;

  /** When the newest report arrived. */
  #reportedMs = -Infinity;

  constructor(
    entry: WorkerEntry,
    workers: TaskWorkers,
    listener: LinkListener,
    log: NodeLog,
    leaseMs: number,
    retries: RetryBudget,
  ) {
    this.address = { id: entry.id, address: entry.address };
    this.#workers = workers;
    this.#listener = listener;
    this.#log = log;
    this.#leaseMs = leaseMs;
    this.#retries = retries;
  }

  get id(): string {
    return this.address.id;
  }

  /** The newest reading of the worker's clock; undefined before its first answer. */
  get clock(): ClockReading | undefined {
    return this.#clock;
  }

  /** Whether the first answer is missing although a live worker would have answered by now. */
  isOverdue(nowMs: number): boolean {
    return this.#clock === undefined && nowMs - this.#startedMs > FIRST_ANSWER_MS;
  }

  /** Whether the latest renewal got no answer. */
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

  /** Called when ended runs that this worker has listed may be acknowledged. */
  acknowledged(): void {
    this.#ackWait.end();
  }

  /**
   * Sends an order until it is answered or no longer useful, and reports the outcome. Without a
   * retry left the outcome of a start stays unknown until the worker's next report.
   */
  async order(order: Order): Promise<void> {
    let outcome: OrderOutcome = 'unknown';
    let sendCompletedMs = Infinity;
    let mayHaveStarted = false;
    for (let attempt = 0; attempt < START_ATTEMPTS && outcome === 'unknown'; attempt += 1) {
      if (this.#stopping.signal.aborted) return;
      if (attempt === 0) this.#retries.called();
      else if (!this.#retries.tryRetry()) break;
      const sentMs = steadyMs();
      const windowMs =
        order.kind === 'start' ? this.#listener.views.windowMs(sentMs) : START_WINDOW_MS;
      const reasonNotSent = this.#reasonNotToSend(order, windowMs);
      if (reasonNotSent) {
        if (!mayHaveStarted) outcome = 'too-late';
        this.#logOrder(order, outcome, reasonNotSent, attempt, sentMs);
        break;
      }
      const deadlineMs = this.#workerTime(sentMs) + windowMs;
      const windowEndMs = sentMs + withClockDrift(windowMs);
      if (order.kind === 'start') this.#listener.startSent(order, windowEndMs);
      const result = await this.#workers.order(
        this.address,
        order,
        this.#listener.token,
        deadlineMs,
      );
      this.#readClock(result.clockMs);
      outcome = result.outcome;
      if (outcome === 'unknown') {
        mayHaveStarted = true;
        sendCompletedMs = windowEndMs;
      } else if (!mayHaveStarted || outcome === 'done') {
        sendCompletedMs = steadyMs();
      }
      this.#logOrder(order, outcome, result.reason, attempt, sentMs);
    }
    if (this.#stopping.signal.aborted) return;
    if (outcome === 'fenced') this.#listener.fenced(this.id, 'order');
    // The run of an earlier unanswered attempt may have started, whatever the outcome of this one.
    else if (mayHaveStarted && isRefusal(outcome))
      this.#listener.answered(order, 'unknown', sendCompletedMs);
    else this.#listener.answered(order, outcome, sendCompletedMs);
  }

  /**
   * Returns why a start must not be sent now although it was decided; undefined if it may be sent.
   */
  #reasonNotToSend(order: Order, windowMs: number): string | undefined {
    if (order.kind !== 'start') return undefined;
    // A node that was frozen and replaced would start tasks here that the next leader starts
    // elsewhere.
    if (this.#listener.leaseLimitMs(this.id) < START_WINDOW_MS) return 'no lease may be granted';
    if (windowMs === 0) return 'the views are too old';
    return this.#listener.isDue(order) ? undefined : 'no longer due';
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
    // A lease that is offered counts as granted. Offered repeatedly to a worker that has ended,
    // leases would delay the restart of its tasks for seconds; a renewal without a lease shows
    // whether the worker is alive.
    const leaseMs = Math.floor(Math.min(this.#leaseMs, this.#listener.leaseLimitMs(this.id)));
    const isExtending = this.#clock !== undefined && !this.#isLost && leaseMs > 0;
    const req = {
      token: this.#listener.token,
      ackedEnd: this.#ackedEnd(askedMs),
      waitMs: this.#waitMs(leaseMs),
      ...(isExtending && { deadlineMs: this.#workerTime(askedMs) + leaseMs }),
    };
    if (isExtending) {
      this.#listener.leaseSent(this.id, askedMs + withClockDrift(leaseMs));
    }
    const result = await this.#workers.renew(this.address, req);
    this.#listedEnd = result.outcome === 'done' ? (result.report.ended.at(-1)?.number ?? 0) : 0;
    this.#reportedMs = steadyMs();
    if (!this.#stopping.signal.aborted) await this.#renewed(result, askedMs);
  }

  /**
   * Returns the last end that the worker may forget, among those that the newest report lists: a
   * process that has restarted under the id since would forget ends of its own that were never read.
   */
  #ackedEnd(nowMs: number): number {
    if (nowMs - this.#reportedMs > MAX_ACK_AGE_MS) return 0;
    return Math.min(this.#listedEnd, this.#listener.ackedEnd(this.id));
  }

  #waitMs(leaseMs: number): number {
    if (!this.#clock || this.#isLost) return 0;
    if (leaseMs < this.#leaseMs / 2) return SHORT_RENEW_WAIT_MS;
    return this.#listener.isBusy(this.id) ? RENEW_WAIT_MS : IDLE_RENEW_WAIT_MS;
  }

  async #renewed(result: RenewResult, askedMs: number): Promise<void> {
    if (result.outcome === 'done') {
      this.#readClock(result.report.clockMs);
      this.#markRegained();
      this.#listener.reported(this.id, result.report, askedMs);
      await this.#waitForAck(result.report);
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
    this.#markLost(result.reason);
    await delay(RENEW_RETRY_MS, this.#stopping.signal);
  }

  /**
   * Waits until the listed ended runs may be acknowledged. Until then the worker would list them
   * again immediately, and each of these answers costs both sides processor time.
   */
  async #waitForAck({ ended }: WorkerReport): Promise<void> {
    const last = ended.at(-1);
    if (!last || this.#listener.ackedEnd(this.id) >= last.number) return;
    if (!this.#stopping.signal.aborted) await this.#ackWait.wait(ACK_WAIT_MS);
  }

  #markRegained(): void {
    if (!this.#isLost) return;
    this.#isLost = false;
    this.#log.emit('info', 'worker-regained', { worker: this.id });
  }

  #markLost(reason: string): void {
    if (this.#isLost) return;
    this.#isLost = true;
    this.#log.emit('warn', 'worker-lost', { worker: this.id, reason });
  }

  #readClock(clockMs: number | undefined): void {
    if (clockMs !== undefined) this.#clock = { clockMs, atMs: steadyMs() };
  }

  /**
   * Returns the current time of the worker's clock, or slightly less: the reading was taken before
   * the answer arrived.
   */
  #workerTime(nowMs: number): number {
    if (!this.#clock) return 0;
    return Math.floor(this.#clock.clockMs + (nowMs - this.#clock.atMs));
  }
}

/** Whether the outcome means that this attempt had no effect. */
function isRefusal(outcome: OrderOutcome): boolean {
  return outcome !== 'done' && outcome !== 'other-life';
}
