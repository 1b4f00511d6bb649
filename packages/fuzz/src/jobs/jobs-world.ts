import type { JobSpec, Order, WorkerEntry } from '@redwingcrank/jobs';
import { JobProgress, Scheduler } from '@redwingcrank/jobs';
import type { Coverage } from '../coverage.js';
import { JobsOracle, MAX_ATTEMPTS } from './jobs-oracle.js';
import { ModelWorker, modelJob } from './model-worker.js';

/** The times of the scheduling node, in milliseconds; the same as in the real one. */
const LEASE_MS = 6_000;
const LEASE_BOUND_MS = LEASE_MS * 1.021 + 100;
const UNCONFIRMED_MS = 3_000;
const START_WINDOW_MS = 1_500;

interface Leader {
  readonly epoch: number;
  readonly scheduler: Scheduler;
  readonly inFlight: {
    order: Order;
    deadline: number;
    sentMs: number;
    isAnswered: boolean;
    mayRun: boolean;
  }[];
  readonly clocks: Map<string, { clock: number; atMs: number }>;
  confirmedMs: number;
  isReplaced: boolean;
}

/** Leaders, workers and the store, without sockets: what they do is drawn by the fuzzer. */
export class JobsWorld {
  readonly #coverage: Coverage;

  readonly #oracle = new JobsOracle();

  readonly #workers: ModelWorker[] = [];

  #lives = 0;

  readonly #jobs = new Map<string, JobSpec>();

  readonly #progress = new Map<string, string>();

  readonly #cancelled = new Set<string>();

  #epoch = 0;

  #isStoreUp = true;

  readonly #leaders: Leader[] = [];

  #nowMs = 1_000;

  constructor(coverage: Coverage) {
    this.#coverage = coverage;
    for (let i = 0; i < 3; i += 1) this.#addWorker(`host${i}`);
    this.#elect();
  }

  run(kind: string, a: number, b: number): void {
    this.#nowMs += 20;
    for (const worker of this.#workers) worker.passTime(20);
    const leader = this.#leaders[a % this.#leaders.length]!;
    const worker = this.#workers[b % this.#workers.length]!;
    switch (kind) {
      case 'submit':
        this.#submit(1 + (a % 4));
        break;
      case 'cancel':
        this.#cancel(a);
        break;
      case 'round':
        this.#round(leader);
        break;
      case 'renew':
        this.#renew(leader, worker, a >= 6);
        break;
      case 'deliver':
        this.#deliver(leader, b, false);
        break;
      case 'deliver-unanswered':
        this.#deliver(leader, b, true);
        break;
      case 'end':
        this.#end(worker, a, 'done');
        break;
      case 'fail':
        this.#end(worker, a, 'failed');
        break;
      case 'crash':
        this.#crash(worker);
        break;
      case 'cut':
        worker.isCut = !worker.isCut;
        this.#coverage.hit('cut');
        break;
      case 'store':
        this.#isStoreUp = !this.#isStoreUp;
        this.#coverage.hit('store-away');
        break;
      case 'elect':
        if (this.#isStoreUp) this.#elect();
        break;
      default:
        this.#passTime(a * 400);
    }
  }

  #submit(width: number): void {
    const spec = modelJob(`job${this.#jobs.size}`, width);
    this.#jobs.set(spec.id, spec);
    for (const { scheduler } of this.#leaders) scheduler.addJob(new JobProgress(spec));
  }

  #cancel(index: number): void {
    const id = [...this.#jobs.keys()][index];
    if (!id) return;
    this.#coverage.hit('cancel');
    this.#cancelled.add(id);
    for (const { scheduler } of this.#leaders) scheduler.cancel(id, this.#nowMs);
  }

  /** A node claims the role; the leader before knows nothing of it yet. */
  #elect(): void {
    this.#epoch += 1;
    const scheduler = new Scheduler(
      {
        leaseMs: LEASE_BOUND_MS,
        inheritedLeaseMs: UNCONFIRMED_MS + LEASE_BOUND_MS,
        standstillMs: Infinity,
        stopAgainMs: 1_000,
      },
      this.#nowMs,
      () => {},
    );
    scheduler.setQueues([
      {
        name: 'q',
        pool: 'p',
        priority: 0,
        maxAttempts: MAX_ATTEMPTS,
        stretch: 1,
        targetLatencyMs: 0,
      },
    ]);
    for (const [id, spec] of this.#jobs) {
      const stored = this.#progress.get(id);
      scheduler.addJob(stored ? JobProgress.decode(spec, stored) : new JobProgress(spec));
      if (this.#cancelled.has(id)) scheduler.cancel(id, this.#nowMs);
    }
    for (const worker of this.#workers) {
      if (!worker.isCut && worker.isAlive) scheduler.listWorker(worker.entry, this.#nowMs);
    }
    if (this.#leaders.length > 1) this.#leaders.shift();
    if (this.#leaders.length > 0) this.#coverage.hit('elect');
    this.#leaders.push({
      epoch: this.#epoch,
      scheduler,
      inFlight: [],
      clocks: new Map(),
      confirmedMs: this.#nowMs,
      isReplaced: false,
    });
  }

  #round(leader: Leader): void {
    if (leader.isReplaced || !this.#isStoreUp) return;
    if (leader.epoch < this.#epoch) {
      this.#coverage.hit('write-fenced');
      Object.assign(leader, { isReplaced: true });
      return;
    }
    const { changed, orders, acks } = leader.scheduler.decide(this.#nowMs, this.#nowMs);
    Object.assign(leader, { confirmedMs: this.#nowMs });
    for (const job of changed) {
      this.#progress.set(job.spec.id, job.encode());
      if (job.state === 'completed') this.#oracle.completed(job.spec.id);
    }
    leader.scheduler.acknowledge(acks);
    for (const order of orders) {
      const clock = this.#clockOf(leader, order.worker);
      if (order.kind === 'start') {
        leader.scheduler.leaseSent(order.worker, this.#nowMs + START_WINDOW_MS * 1.021 + 100);
      }
      const deadline = clock + START_WINDOW_MS;
      leader.inFlight.push({
        order,
        deadline,
        sentMs: this.#nowMs,
        isAnswered: false,
        mayRun: false,
      });
    }
  }

  #clockOf(leader: Leader, id: string): number {
    const reading = leader.clocks.get(id);
    return reading ? reading.clock + (this.#nowMs - reading.atMs) : 0;
  }

  #renew(leader: Leader, worker: ModelWorker, isLost: boolean): void {
    const known = leader.scheduler.workers.get(worker.entry.id);
    if (leader.isReplaced || worker.isCut || !known) return;
    if (!worker.isAlive) return;
    const mayRenew = this.#nowMs - leader.confirmedMs < UNCONFIRMED_MS;
    const reading = leader.clocks.get(worker.entry.id);
    const deadline =
      mayRenew && reading ? this.#clockOf(leader, worker.entry.id) + LEASE_MS : undefined;
    if (deadline !== undefined) {
      leader.scheduler.leaseSent(worker.entry.id, this.#nowMs + LEASE_BOUND_MS);
    }
    const report = worker.renew(leader.epoch, known.ackedEnd, deadline);
    if (!report) {
      this.#coverage.hit('renew-fenced');
      Object.assign(leader, { isReplaced: true });
      return;
    }
    if (isLost) {
      this.#coverage.hit('report-lost');
      return;
    }
    leader.clocks.set(worker.entry.id, { clock: report.clockMs, atMs: this.#nowMs });
    leader.scheduler.report(worker.entry.id, report, this.#nowMs, this.#nowMs);
  }

  /** An order arrives; unanswered, it may arrive a second time later. */
  #deliver(leader: Leader, index: number, isUnanswered: boolean): void {
    const at = index % Math.max(1, leader.inFlight.length);
    const sent = leader.inFlight[at];
    if (!sent) return;
    const { order, deadline, sentMs } = sent;
    const worker = this.#workers.find(({ entry }) => entry.id === order.worker);
    if (!worker || worker.isCut || !worker.isAlive) {
      this.#settle(leader, sent, 'unknown', sentMs + START_WINDOW_MS * 1.021 + 100);
      leader.inFlight.splice(at, 1);
      return;
    }
    const outcome =
      order.kind === 'start'
        ? worker.start(order, leader.epoch, deadline)
        : worker.stop(order, leader.epoch);
    if (isUnanswered) {
      this.#coverage.hit('order-unanswered');
      // The order is sent again before anybody is told: the next answer is to that attempt.
      sent.mayRun = true;
      if (index % 2 === 0) return;
      this.#settle(leader, sent, 'unknown', sentMs + START_WINDOW_MS * 1.021 + 100);
      return;
    }
    leader.inFlight.splice(at, 1);
    if (outcome === 'fenced') this.#coverage.hit('order-fenced');
    if (outcome === 'too-late') this.#coverage.hit('order-late');
    if (outcome === 'fenced') Object.assign(leader, { isReplaced: true });
    else if (sent.mayRun && outcome !== 'done') {
      this.#settle(leader, sent, 'unknown', sentMs + START_WINDOW_MS * 1.021 + 100);
    } else this.#settle(leader, sent, outcome, this.#nowMs);
  }

  #settle(
    leader: Leader,
    sent: Leader['inFlight'][number],
    outcome: 'done' | 'superseded' | 'too-late' | 'unknown',
    settledMs: number,
  ): void {
    if (leader.isReplaced || sent.isAnswered) return;
    Object.assign(sent, { isAnswered: true });
    leader.scheduler.answered(sent.order, outcome, this.#nowMs, settledMs);
  }

  #end(worker: ModelWorker, index: number, how: 'done' | 'failed'): void {
    const order = worker.running[index % Math.max(1, worker.running.length)];
    if (!order || !worker.isAlive) return;
    if (how === 'failed') this.#coverage.hit('fail');
    const { jobId, occurrence, step, index: task } = order.task;
    worker.end(`${jobId}.${occurrence}.${step}.${task}`, how);
  }

  /** The process dies; another life begins at its address, and tells so whoever asks for it. */
  #crash(worker: ModelWorker): void {
    if (!worker.isAlive) return;
    this.#coverage.hit('crash');
    worker.crash();
    this.#workers.splice(this.#workers.indexOf(worker), 1);
    const reborn = this.#addWorker(worker.entry.address);
    for (const leader of this.#leaders) {
      leader.scheduler.workerGone(worker.entry.id, this.#nowMs, 'other-life');
      leader.scheduler.listWorker(reborn.entry, this.#nowMs);
    }
  }

  #addWorker(address: string): ModelWorker {
    this.#lives += 1;
    const entry: WorkerEntry = {
      id: `life${this.#lives}`,
      address,
      pool: 'p',
      dataCentre: 'a',
      draining: false,
      remainingMs: 0,
      capacity: { cpuMilli: 4_000, memMb: 100_000, gpus: 0 },
      labels: [],
    };
    const worker = new ModelWorker(entry, this.#oracle);
    this.#workers.push(worker);
    return worker;
  }

  #passTime(ms: number): void {
    this.#nowMs += ms;
    for (const worker of this.#workers) worker.passTime(ms);
  }
}
