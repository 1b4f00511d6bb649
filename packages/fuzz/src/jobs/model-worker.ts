import type {
  EndKind,
  EndedRow,
  JobSpec,
  Order,
  WorkerEntry,
  WorkerReport,
} from '@redwingcrank/jobs';
import { PLAIN_STEP, taskName } from '@redwingcrank/jobs';
import type { JobsOracle } from './jobs-oracle.js';
import type { RenewCall } from './model-leader.js';

/** The worker's clock is so much slower than true time. */
const CLOCK_RATE = 0.98;

interface ModelRun {
  readonly order: Order & { kind: 'start' };
  percent: number;
}

export type OrderResult = 'done' | 'fenced' | 'superseded' | 'too-late';

/** One life of a worker as the platform describes it, on a clock of its own. */
export class ModelWorker {
  #entry: WorkerEntry;

  readonly #oracle: JobsOracle;

  readonly #running = new Map<string, ModelRun>();

  #ended: EndedRow[] = [];

  #endCount = 0;

  readonly #overRuns = new Map<string, number>();

  #token = 0;

  #leaseEnd = 0;

  #clock = 10_000;

  isAlive = true;

  /** Nobody reaches it, nor it anybody. */
  isCut = false;

  /** When it is gone for good; Infinity before it has announced that. */
  leavesMs = Infinity;

  constructor(entry: WorkerEntry, oracle: JobsOracle) {
    this.#entry = entry;
    this.#oracle = oracle;
  }

  /** What it says of itself now. */
  get entry(): WorkerEntry {
    return this.#entry;
  }

  get clock(): number {
    return this.#clock;
  }

  get running(): readonly (Order & { kind: 'start' })[] {
    return [...this.#running.values()].map(({ order }) => order);
  }

  /** Whether it lists ends that nobody has acknowledged. */
  get hasEnds(): boolean {
    return this.#ended.length > 0;
  }

  passTime(ms: number): void {
    this.#clock += ms * CLOCK_RATE;
    if (this.#clock > this.#leaseEnd) this.endAll('lapsed');
  }

  crash(): void {
    this.isAlive = false;
    for (const name of this.#running.keys()) this.#oracle.gone(this.entry.id, name);
    this.#running.clear();
  }

  announceLeaving(remainingMs: number, nowMs: number, lingersMs: number): void {
    this.#entry = { ...this.#entry, draining: true, remainingMs };
    this.leavesMs = nowMs + remainingMs + lingersMs;
  }

  /** Carries out an order; a start not after `deadline`. */
  order(order: Order, token: number, deadline: number): OrderResult {
    return order.kind === 'start' ? this.#start(order, token, deadline) : this.#stop(order, token);
  }

  #start(order: Order & { kind: 'start' }, token: number, deadline: number): OrderResult {
    if (token < this.#token) return 'fenced';
    this.#token = token;
    if (deadline < this.#clock) return 'too-late';
    this.#leaseEnd = Math.max(this.#leaseEnd, deadline);
    const name = taskName(order.task);
    if (this.#running.get(name)?.order.run === order.run) return 'done';
    if (order.run <= (this.#overRuns.get(name) ?? 0)) return 'superseded';
    this.#oracle.started(this.entry, order);
    this.#running.set(name, { order, percent: 0 });
    return 'done';
  }

  #stop(order: Order, token: number): OrderResult {
    if (token < this.#token) return 'fenced';
    this.#token = token;
    const name = taskName(order.task);
    this.#overRuns.set(name, Math.max(order.run, this.#overRuns.get(name) ?? 0));
    if (this.#running.get(name)?.order.run === order.run) this.#end(name, 'stopped');
    return 'done';
  }

  /** Undefined where the token is too low. */
  renew({ token, ackedEnd, deadline }: RenewCall): WorkerReport | undefined {
    if (token < this.#token) return undefined;
    this.#token = token;
    if (deadline !== undefined) this.#leaseEnd = Math.max(this.#leaseEnd, deadline);
    for (const row of this.#ended)
      if (row.number <= ackedEnd) this.#oracle.noted(this.entry.id, row);
    this.#ended = this.#ended.filter(({ number }) => number > ackedEnd);
    const running = [...this.#running].map(([task, run]) => {
      run.percent += 1;
      return { task, run: run.order.run, checkpoint: '', percent: run.percent, measure: 0 };
    });
    return { clockMs: this.#clock, running, ended: [...this.#ended] };
  }

  /** A run comes to its own end. */
  end(order: Order, how: EndKind): void {
    this.#end(taskName(order.task), how);
  }

  endAll(how: EndKind): void {
    if (how === 'lapsed') this.#oracle.lapsed(this.entry.id);
    for (const name of [...this.#running.keys()]) this.#end(name, how);
  }

  #end(name: string, how: EndKind): void {
    const run = this.#running.get(name);
    if (!run) return;
    this.#running.delete(name);
    this.#overRuns.set(name, Math.max(run.order.run, this.#overRuns.get(name) ?? 0));
    this.#endCount += 1;
    const row = { number: this.#endCount, task: name, run: run.order.run, how, checkpoint: '' };
    this.#ended.push(row);
    this.#oracle.ended(this.entry.id, row);
  }
}

/** A job of two steps on which every rule can be broken. */
export function modelJob(id: string, width: number): JobSpec {
  const step = { ...PLAIN_STEP, taskCount: width, cpuMilli: 1_000, memMb: 1_000 };
  const steps = [step, { ...step, after: [0] }];
  return { id, queue: 'q', payload: 'p', steps, acceptedMs: 0 };
}

/** A job whose tasks run until it is cancelled. */
export function lastingJob(id: string, width: number): JobSpec {
  const step = { ...PLAIN_STEP, taskCount: width, cpuMilli: 1_000, memMb: 1_000, lasting: true };
  return { id, queue: 'q', payload: 'p', steps: [step], acceptedMs: 0 };
}
