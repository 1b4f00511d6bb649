import type {
  EndKind,
  EndedRow,
  JobSpec,
  Order,
  WorkerEntry,
  WorkerReport,
} from '@redwingcrank/jobs';
import { PLAIN_STEP, taskName } from '@redwingcrank/jobs';
import type { JobsOracle, Removal } from './jobs-oracle.js';
import type { RenewRequest } from './model-leader.js';

/** The rate of the worker's clock relative to true time. */
const CLOCK_RATE = 0.98;

interface ModelRun {
  readonly order: Order & { kind: 'start' };
  percent: number;
}

export type OrderResult = 'done' | 'fenced' | 'superseded' | 'too-late';

/** Models one incarnation of a worker as the platform describes it, with a clock of its own. */
export class ModelWorker {
  #entry: WorkerEntry;

  readonly #oracle: JobsOracle;

  readonly #running = new Map<string, ModelRun>();

  #ended: EndedRow[] = [];

  #endCount = 0;

  readonly #newestEndedRuns = new Map<string, number>();

  #token = 0;

  #leaseEnd = 0;

  #clock = 10_000;

  readonly #maxHoldMs: number;

  isAlive = true;

  /** Whether the worker is disconnected from everything. */
  isCut = false;

  /** When the worker is removed for good; Infinity before it has announced that. */
  removalMs = Infinity;

  /** A lease that would last longer than `maxHoldMs` on the worker's clock is shortened to that. */
  constructor(entry: WorkerEntry, oracle: JobsOracle, maxHoldMs = Infinity) {
    this.#entry = entry;
    this.#oracle = oracle;
    this.#maxHoldMs = maxHoldMs;
  }

  /** The worker's current entry. */
  get entry(): WorkerEntry {
    return this.#entry;
  }

  get clock(): number {
    return this.#clock;
  }

  get running(): readonly (Order & { kind: 'start' })[] {
    return [...this.#running.values()].map(({ order }) => order);
  }

  /** Whether the worker lists unacknowledged ends. */
  get hasUnacknowledgedEnds(): boolean {
    return this.#ended.length > 0;
  }

  passTime(ms: number): void {
    this.#clock += ms * CLOCK_RATE;
    if (this.#clock > this.#leaseEnd) this.endAll('lapsed');
  }

  /** Ends the worker's process, because it crashed or because it has left as announced. */
  remove(removal: Removal): void {
    this.isAlive = false;
    for (const name of this.#running.keys()) this.#oracle.removed(this.entry.id, name, removal);
    this.#running.clear();
  }

  announceLeaving(remainingMs: number, nowMs: number, overstayMs: number): void {
    this.#entry = { ...this.#entry, draining: true, remainingMs };
    this.removalMs = nowMs + remainingMs + overstayMs;
  }

  /**
   * Carries out an order; rejects a start after `deadline`, on the worker's clock. `isLate`: whether
   * it was meant for a former process, whose clock the deadline is on.
   */
  order(order: Order, token: number, deadline: number, isLate = false): OrderResult {
    if (order.kind !== 'start') return this.#stop(order, token);
    return this.#start(order, token, deadline, isLate);
  }

  #start(
    order: Order & { kind: 'start' },
    token: number,
    deadline: number,
    isLate: boolean,
  ): OrderResult {
    if (token < this.#token) return 'fenced';
    this.#token = token;
    if (deadline < this.#clock) return 'too-late';
    this.#extendLease(deadline);
    const name = taskName(order.task);
    if (this.#running.get(name)?.order.run === order.run) return 'done';
    if (order.run <= (this.#newestEndedRuns.get(name) ?? 0)) return 'superseded';
    this.#oracle.started(this.entry, order, isLate);
    this.#running.set(name, { order, percent: 0 });
    return 'done';
  }

  #stop(order: Order, token: number): OrderResult {
    if (token < this.#token) return 'fenced';
    this.#token = token;
    const name = taskName(order.task);
    this.#newestEndedRuns.set(name, Math.max(order.run, this.#newestEndedRuns.get(name) ?? 0));
    if (this.#running.get(name)?.order.run === order.run) this.#end(name, 'stopped');
    return 'done';
  }

  /** Handles a renewal; returns undefined if the token is too low. */
  renew({ token, ackedEnd, deadline }: RenewRequest): WorkerReport | undefined {
    if (token < this.#token) return undefined;
    this.#token = token;
    if (deadline !== undefined) this.#extendLease(deadline);
    for (const row of this.#ended)
      if (row.number <= ackedEnd) this.#oracle.acknowledged(this.entry.id, row);
    this.#ended = this.#ended.filter(({ number }) => number > ackedEnd);
    const running = [...this.#running].map(([task, run]) => {
      run.percent += 1;
      return { task, run: run.order.run, checkpoint: '', percent: run.percent, measure: 0 };
    });
    const { incarnation } = this.entry;
    const stated = incarnation === undefined ? {} : { incarnation };
    return { ...stated, clockMs: this.#clock, running, ended: [...this.#ended] };
  }

  #extendLease(deadline: number): void {
    const end = Math.min(deadline, this.#clock + this.#maxHoldMs);
    this.#leaseEnd = Math.max(this.#leaseEnd, end);
  }

  /** Ends a run of its own accord. */
  end(order: Order, how: EndKind): void {
    this.#end(taskName(order.task), how);
  }

  endAll(how: EndKind): void {
    if (how === 'lapsed') this.#oracle.leasesExpired(this.entry.id);
    for (const name of [...this.#running.keys()]) this.#end(name, how);
  }

  #end(name: string, how: EndKind): void {
    const run = this.#running.get(name);
    if (!run) return;
    this.#running.delete(name);
    this.#newestEndedRuns.set(name, Math.max(run.order.run, this.#newestEndedRuns.get(name) ?? 0));
    this.#endCount += 1;
    const row = { number: this.#endCount, task: name, run: run.order.run, how, checkpoint: '' };
    this.#ended.push(row);
    this.#oracle.ended(this.entry.id, row);
  }
}

/** Returns a job of two steps, which can violate every rule. */
export function modelJob(id: string, width: number, speculative = false): JobSpec {
  const step = { ...PLAIN_STEP, taskCount: width, cpuMilli: 1_000, memMb: 1_000, speculative };
  const steps = [step, { ...step, after: [0] }];
  return { id, queue: 'q', payload: 'p', steps, acceptedMs: 0 };
}

/** Returns a job whose tasks run until it is cancelled. */
export function longRunningJob(id: string, width: number): JobSpec {
  const step = { ...PLAIN_STEP, taskCount: width, cpuMilli: 1_000, memMb: 1_000, lasting: true };
  return { id, queue: 'q', payload: 'p', steps: [step], acceptedMs: 0 };
}

/** Returns a job with one task that crashes each worker that starts it. */
export function crashingJob(id: string, lasting: boolean): JobSpec {
  const step = { ...PLAIN_STEP, taskCount: 1, cpuMilli: 1_000, memMb: 1_000, lasting };
  return { id, queue: 'q', payload: 'p', steps: [step], acceptedMs: 0 };
}
