import type { JobSpec, WorkerEntry } from '@redwingcrank/jobs';
import { JobProgress } from '@redwingcrank/jobs';
import type { Coverage } from '../coverage.js';
import { JobsOracle } from './jobs-oracle.js';
import type { Append, RenewCall, SentOrder } from './model-leader.js';
import { ModelLeader } from './model-leader.js';
import type { LogEntry } from './model-node.js';
import { ModelNode } from './model-node.js';
import { ModelWorker, lastingJob, modelJob } from './model-worker.js';

/** How a renewal fares on its way. */
export type RenewFate = 'answered' | 'unanswered' | 'late';

/** How an append fares: what gets no answer is sent again. */
export type AppendFate = 'answered' | 'unanswered' | 'lost';

/** So many workers there are always: what is gone is replaced. */
const WORKERS = 3;

/**
 * So many rounds at most follow one that was cut short, at once: more than tasks wait. Where no
 * lease may be given starts come back at once, and would be ordered again without end.
 */
const FOLLOWING_ROUNDS = 40;

const NODES = ['n1', 'n2', 'n3'];

/** So many lasting tasks at most, so that one worker has room for them all. */
const MAX_LASTING = 3;

/** A renewal that reaches its worker when newer ones have. */
interface LateCall {
  readonly worker: ModelWorker;
  readonly call: RenewCall;
}

/** Leaders, workers and the store, without sockets: what they do is drawn by the fuzzer. */
export class JobsWorld {
  readonly coverage: Coverage;

  readonly oracle = new JobsOracle();

  readonly workers: ModelWorker[] = [];

  /** The newest last; the one before it may not know yet that it is replaced. */
  readonly leaders: ModelLeader[] = [];

  isStoreUp = true;

  /** When a worker was last gone for good: what was bound there may have been away before. */
  lostMs = -Infinity;

  #lives = 0;

  #lastingCount = 0;

  readonly #jobs = new Map<string, JobSpec>();

  readonly #progress = new Map<string, string>();

  readonly #cancelled = new Set<string>();

  /** A repeat of one of these changes nothing. */
  readonly #stored = new WeakSet<Append>();

  readonly #lateCalls: LateCall[] = [];

  #epoch = 0;

  readonly #nodes: readonly ModelNode[];

  #nowMs = 1_000;

  constructor(coverage: Coverage) {
    this.coverage = coverage;
    this.#nodes = NODES.map((name) => new ModelNode(name, this.#nowMs));
    for (let i = 0; i < WORKERS; i += 1) this.#addWorker(`host${i}`);
    this.elect();
  }

  get nowMs(): number {
    return this.#nowMs;
  }

  /** The leader that the store takes appends from. */
  get present(): ModelLeader {
    return this.leaders.at(-1)!;
  }

  /** The ids of jobs, in the order of their submission. */
  get jobIds(): string[] {
    return [...this.#jobs.keys()];
  }

  isLasting(id: string): boolean {
    return this.#jobs.get(id)!.steps.some(({ lasting }) => lasting);
  }

  passTime(ms: number): void {
    this.#nowMs += ms;
    this.oracle.nowMs = this.#nowMs;
    for (const leader of this.leaders) leader.nowMs = this.#nowMs;
    for (const worker of [...this.workers]) {
      worker.passTime(ms);
      if (this.#nowMs >= worker.leavesMs) this.vanish(worker);
    }
  }

  submit(width: number): void {
    this.#submit(modelJob(`job${this.#jobs.size}`, width));
  }

  submitLasting(width: number): void {
    if (this.#lastingCount + width > MAX_LASTING) return;
    this.#lastingCount += width;
    const spec = lastingJob(`job${this.#jobs.size}`, width);
    this.oracle.expectLasting(spec);
    this.#submit(spec);
  }

  cancel(id: string): void {
    this.#cancelled.add(id);
    this.oracle.cancelled(id);
    for (const { scheduler } of this.leaders) scheduler.cancel(id, this.#nowMs);
  }

  /** A node claims the role, another one than before; the leader before knows nothing of it yet. */
  elect(): void {
    this.#claim(this.#nodes[(this.#epoch + 1) % NODES.length]!);
  }

  /** A node that does not schedule stands still until it takes the role. */
  freezeNode(index: number): void {
    const node = this.#nodes[index % NODES.length]!;
    if (this.leaders.some((leader) => leader.node === node)) return;
    this.coverage.hit('freeze');
    node.freeze();
  }

  wakeNodes(): void {
    for (const node of this.#nodes) node.wake(this.#nowMs);
  }

  /** The leader's process ends and another life of the node takes the role at once. */
  restartLeader(): void {
    this.coverage.hit('restart');
    const { node } = this.present;
    for (const leader of this.leaders) if (leader.node === node) leader.isOver = true;
    node.restart(this.#nowMs);
    this.#claim(node);
  }

  /** The leader reads which workers the store lists. */
  list(leader: ModelLeader): void {
    const listed = new Set<string>();
    for (const { entry, isCut } of this.workers) {
      if (!isCut) {
        listed.add(entry.id);
        leader.scheduler.listWorker(entry, this.#nowMs);
      }
    }
    for (const id of leader.scheduler.workers.keys()) {
      if (!listed.has(id)) leader.scheduler.unlistWorker(id);
    }
    Object.assign(leader, { listAsOfMs: undefined });
  }

  /** Decides, stores and sends, or repeats the append that got no answer. */
  round(leader: ModelLeader, fate: AppendFate, following = FOLLOWING_ROUNDS): void {
    if (!this.#takesAppends(leader)) return;
    const append = leader.unanswered ?? leader.decide(this.#nowMs, false);
    if (fate !== 'answered') this.coverage.hit(`append-${fate}`);
    if (fate !== 'lost') this.#store(append);
    Object.assign(leader, { unanswered: fate === 'answered' ? undefined : append });
    if (fate !== 'answered') return;
    leader.stored(append, this.#nowMs);
    if (!append.isCutShort || following === 0) return;
    this.coverage.hit('cut-short');
    this.round(leader, fate, following - 1);
  }

  /** The leader gives its role up; that it is stored it does not hear. */
  resign(): void {
    const { present } = this;
    if (!this.#takesAppends(present) || present.unanswered) return;
    this.coverage.hit('resign');
    const append = present.decide(this.#nowMs, true);
    Object.assign(present, { unanswered: append });
    this.#store(append);
    this.elect();
  }

  renew(leader: ModelLeader, worker: ModelWorker, fate: RenewFate): void {
    if (!leader.reaches(worker)) return;
    const call = leader.renew(worker.entry.id, this.#nowMs);
    if (!call) return;
    if (fate === 'late') {
      this.coverage.hit('renew-late');
      this.#lateCalls.push({ worker, call });
      leader.missed(worker.entry.id);
      return;
    }
    const report = worker.renew(call);
    if (!report) {
      this.coverage.hit('renew-fenced');
      Object.assign(leader, { isOver: true });
    } else if (fate === 'unanswered') {
      this.coverage.hit('report-lost');
      leader.missed(worker.entry.id);
    } else {
      leader.renewed(worker.entry.id, report, call.askedMs, this.#nowMs);
    }
  }

  /** A renewal that nobody waits for any more reaches its worker. */
  deliverLate(index: number): void {
    const at = index % Math.max(1, this.#lateCalls.length);
    const [late] = this.#lateCalls.splice(at, 1);
    if (late?.worker.isAlive) late.worker.renew(late.call);
  }

  /** An order arrives; unanswered, it is sent again, or arrives a second time later. */
  deliver(leader: ModelLeader, index: number, isUnanswered: boolean): void {
    const sent = leader.inFlight[index % Math.max(1, leader.inFlight.length)];
    if (!sent) return;
    const worker = this.workers.find(({ entry }) => entry.id === sent.order.worker);
    if (!worker || !leader.reaches(worker)) {
      this.drop(leader, sent);
      return;
    }
    const outcome = worker.order(sent.order, leader.epoch, sent.deadline);
    if (isUnanswered) {
      this.coverage.hit('order-unanswered');
      sent.mayRun = true;
      if (index % 2 === 0) leader.resend(sent, this.#nowMs);
      else leader.settle(sent, 'unknown', this.#nowMs);
      return;
    }
    leader.inFlight.splice(leader.inFlight.indexOf(sent), 1);
    if (outcome === 'fenced') this.coverage.hit('order-fenced');
    if (outcome === 'too-late') this.coverage.hit('order-late');
    if (outcome === 'fenced') Object.assign(leader, { isOver: true });
    else leader.settle(sent, outcome, this.#nowMs);
  }

  /** An order never arrives. */
  drop(leader: ModelLeader, sent: SentOrder): void {
    leader.inFlight.splice(leader.inFlight.indexOf(sent), 1);
    leader.settle(sent, 'unknown', this.#nowMs);
  }

  end(worker: ModelWorker, index: number, how: 'done' | 'failed'): void {
    const order = worker.running[index % Math.max(1, worker.running.length)];
    if (!order) return;
    // A lasting task has no good end.
    const isFailure = how === 'failed' || this.isLasting(order.task.jobId);
    if (isFailure) this.coverage.hit('fail');
    worker.end(order, isFailure ? 'failed' : how);
  }

  /** The process dies; another life begins at its address, and tells so whoever asks for it. */
  crash(worker: ModelWorker): void {
    this.coverage.hit('crash');
    this.#remove(worker);
    const reborn = this.#addWorker(worker.entry.address);
    for (const leader of this.leaders) {
      leader.scheduler.workerEnded(worker.entry.id, this.#nowMs, 'other-life');
      leader.scheduler.listWorker(reborn.entry, this.#nowMs);
    }
  }

  /**
   * The worker announces that it leaves, and does when its time is over, or lingers; where that is not
   * read at once, the leaders' lists of workers grow old until they are read whole.
   */
  leave(worker: ModelWorker, remainingMs: number, isRead: boolean, lingersMs = 0): void {
    if (worker.entry.draining) return;
    this.coverage.hit('leave');
    worker.announceLeaving(remainingMs, this.#nowMs, lingersMs);
    this.oracle.leaving(worker.entry.id);
    if (!isRead) {
      this.coverage.hit('leave-unread');
      for (const leader of this.leaders) leader.listAsOfMs ??= this.#nowMs;
      return;
    }
    for (const { scheduler } of this.leaders) scheduler.listWorker(worker.entry, this.#nowMs);
  }

  /** The worker is gone for good and listed no more; nothing else answers at its address. */
  vanish(worker: ModelWorker): void {
    this.coverage.hit('vanish');
    this.lostMs = this.#nowMs;
    this.#remove(worker);
    const other = this.#addWorker(`host${this.#lives}`);
    for (const { scheduler } of this.leaders) {
      scheduler.unlistWorker(worker.entry.id);
      scheduler.listWorker(other.entry, this.#nowMs);
    }
  }

  #claim(node: ModelNode): void {
    if (this.leaders.length > 0) this.coverage.hit('elect');
    node.wake(this.#nowMs);
    const claim = node.claim(this.#nowMs);
    this.#epoch = claim.epoch;
    this.#tell(claim);
    const leader = new ModelLeader(claim, node, this.#nowMs);
    for (const [id, spec] of this.#jobs) {
      const stored = this.#progress.get(id);
      leader.scheduler.addJob(stored ? JobProgress.decode(spec, stored) : new JobProgress(spec));
      if (this.#cancelled.has(id)) leader.scheduler.cancel(id, this.#nowMs);
    }
    leader.scheduler.inheritLeases(node.former.namedEndMs);
    this.list(leader);
    if (this.leaders.length > 1) this.leaders.shift();
    this.leaders.push(leader);
  }

  #takesAppends(leader: ModelLeader): boolean {
    if (leader.isOver || !this.isStoreUp) return false;
    if (leader.epoch === this.#epoch) return true;
    this.coverage.hit('write-fenced');
    Object.assign(leader, { isOver: true });
    return false;
  }

  #store(append: Append): void {
    if (this.#stored.has(append)) return;
    this.#stored.add(append);
    const { progress, rec } = append;
    for (const { id, text } of progress) {
      this.#progress.set(id, text);
      const stored = JobProgress.decodeState(this.#jobs.get(id)!, text);
      if (stored!.state === 'completed') this.oracle.completed(id);
    }
    this.#tell(rec);
  }

  /** Every node reads the record at once: read later, it would only make them wait longer. */
  #tell(entry: LogEntry): void {
    for (const node of this.#nodes) node.read(entry, this.#nowMs);
  }

  #submit(spec: JobSpec): void {
    this.#jobs.set(spec.id, spec);
    for (const { scheduler } of this.leaders) scheduler.addJob(new JobProgress(spec));
  }

  #remove(worker: ModelWorker): void {
    worker.crash();
    this.workers.splice(this.workers.indexOf(worker), 1);
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
    const worker = new ModelWorker(entry, this.oracle);
    this.workers.push(worker);
    return worker;
  }
}
