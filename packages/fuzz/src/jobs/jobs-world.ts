import type { JobSpec, WorkerEntry } from '@redwingcrank/jobs';
import { JobProgress, isFinal, taskName } from '@redwingcrank/jobs';
import { LEASE_MS, MAX_ACK_AGE_MS, START_WINDOW_MS } from '@redwingcrank/runtime/leases';
import type { Coverage } from '../coverage.js';
import { JobsOracle } from './jobs-oracle.js';
import type { Removal } from './jobs-oracle.js';
import type { Append, RenewRequest, SentOrder } from './model-leader.js';
import { ModelLeader } from './model-leader.js';
import type { LogEntry } from './model-node.js';
import { ModelNode } from './model-node.js';
import { ModelWorker, crashingJob, longRunningJob, modelJob } from './model-worker.js';

/** The outcome of a renewal's delivery. */
export type RenewOutcome = 'answered' | 'unanswered' | 'late';

/** The outcome of an append; an append without an answer is sent again. */
export type AppendOutcome = 'answered' | 'unanswered' | 'lost';

/** The number of workers at any time: a removed worker is replaced. */
const WORKER_COUNT = 3;

/**
 * The maximum number of rounds that directly follow a round that was cut short; there are fewer
 * waiting tasks than this. While no lease may be granted, starts are returned at once and would
 * otherwise be ordered again endlessly.
 */
const MAX_FOLLOW_UP_ROUNDS = 40;

const NODE_NAMES = ['n1', 'n2', 'n3'];

/** The data centres, to which workers are assigned in turn. */
const DATA_CENTRES = ['a', 'b'];

/** The maximum number of long-running tasks; one worker has the capacity for all of them. */
const MAX_LONG_RUNNING_TASKS = 3;

/** How long after a worker crashed under a crashing task the leaders learn of it, in milliseconds. */
export const CRASH_NOTICE_MS = 3_000;

/** How long a process takes to start again, in milliseconds; a run there has to end as well. */
const RESTART_MS = MAX_ACK_AGE_MS;

/** A crash that the leaders do not know of yet. */
interface CrashNotice {
  readonly id: string;
  readonly dueMs: number;
}

/** A renewal that reaches its worker after newer renewals. */
interface DelayedRenewal {
  readonly worker: ModelWorker;
  readonly call: RenewRequest;
}

/** Models the leaders, the workers and the store without sockets; the fuzzer draws their actions. */
export class JobsWorld {
  readonly coverage: Coverage;

  readonly oracle: JobsOracle;

  readonly workers: ModelWorker[] = [];

  /** The newest leader is last; its predecessor may not know yet that it has been replaced. */
  readonly leaders: ModelLeader[] = [];

  isStoreUp = true;

  /** When a worker was last removed; its tasks may have stopped running before that. */
  lastRemovalMs = -Infinity;

  #incarnationCount = 0;

  #longRunningCount = 0;

  readonly #jobs = new Map<string, JobSpec>();

  readonly #progress = new Map<string, string>();

  /** The job whose task crashes each worker that starts it; undefined if there is none. */
  #crashingJobId: string | undefined;

  #crashNotices: CrashNotice[] = [];

  readonly #cancelled = new Set<string>();

  readonly #evacuated = new Set<string>();

  /** Appends that the store holds already; repeating one changes nothing. */
  readonly #stored = new WeakSet<Append>();

  readonly #delayedRenewals: DelayedRenewal[] = [];

  #epoch = 0;

  readonly #nodes: readonly ModelNode[];

  #nowMs = 1_000;

  readonly #bindsAhead: boolean;

  readonly #statesIncarnations: boolean;

  /**
   * `bindsAhead`: whether the leaders bind tasks ahead of their starts. `statesIncarnations`: whether
   * the workers state which process answers; without that, one id is never used twice.
   */
  constructor(
    coverage: Coverage,
    bindsAhead = false,
    oracle = new JobsOracle(),
    statesIncarnations = false,
  ) {
    this.coverage = coverage;
    this.#bindsAhead = bindsAhead;
    this.#statesIncarnations = statesIncarnations;
    this.oracle = oracle;
    this.#nodes = NODE_NAMES.map((name) => new ModelNode(name, this.#nowMs));
    for (let i = 0; i < WORKER_COUNT; i += 1) this.#addWorker(`host${i}`);
    this.elect();
  }

  get nowMs(): number {
    return this.#nowMs;
  }

  /** The leader whose appends the store accepts. */
  get currentLeader(): ModelLeader {
    return this.leaders.at(-1)!;
  }

  /** The ids of the jobs, in order of submission. */
  get jobIds(): string[] {
    return [...this.#jobs.keys()];
  }

  isLongRunning(id: string): boolean {
    return this.#jobs.get(id)!.steps.some(({ lasting }) => lasting);
  }

  /** Whether the job with the crashing task has neither ended nor been cancelled. */
  get hasCrashingTask(): boolean {
    const id = this.#crashingJobId;
    if (id === undefined || this.#cancelled.has(id)) return false;
    const stored = this.#progress.get(id);
    return JobProgress.decodeState(this.#jobs.get(id)!, stored ?? '')?.state !== 'failed';
  }

  isCrashing(id: string): boolean {
    return id === this.#crashingJobId;
  }

  passTime(ms: number): void {
    this.#nowMs += ms;
    this.oracle.nowMs = this.#nowMs;
    for (const leader of this.leaders) leader.nowMs = this.#nowMs;
    for (const worker of [...this.workers]) {
      worker.passTime(ms);
      if (this.#nowMs >= worker.removalMs) this.vanish(worker);
    }
    const due = this.#crashNotices.filter(({ dueMs }) => this.#nowMs >= dueMs);
    this.#crashNotices = this.#crashNotices.filter((notice) => !due.includes(notice));
    for (const { id } of due) {
      for (const { scheduler } of this.leaders) {
        scheduler.workerEnded(id, this.#nowMs, 'other-life');
      }
    }
  }

  submit(width: number): void {
    this.#submit(this.createJob(`job${this.#jobs.size}`, width));
  }

  /** Returns a job to be submitted whose tasks end. */
  protected createJob(id: string, width: number): JobSpec {
    return modelJob(id, width);
  }

  /** Whether the stored state of the job is final. */
  hasEnded(id: string): boolean {
    const stored = JobProgress.decodeState(this.#jobs.get(id)!, this.#progress.get(id) ?? '');
    return stored !== undefined && isFinal(stored.state);
  }

  submitLongRunning(width: number): void {
    if (this.#longRunningCount + width > MAX_LONG_RUNNING_TASKS) return;
    this.#longRunningCount += width;
    const spec = longRunningJob(`job${this.#jobs.size}`, width);
    this.oracle.expectLongRunning(spec);
    this.#submit(spec);
  }

  /** Submits the job whose task crashes each worker that starts it, unless there is one already. */
  submitCrashing(lasting: boolean): void {
    if (this.#crashingJobId !== undefined) return;
    const spec = crashingJob(`job${this.#jobs.size}`, lasting);
    this.#crashingJobId = spec.id;
    this.oracle.expectCrashes(spec);
    this.#submit(spec);
  }

  cancel(id: string): void {
    this.#cancelled.add(id);
    this.oracle.cancelled(id);
    for (const { scheduler } of this.leaders) scheduler.cancel(id, this.#nowMs);
  }

  /** Makes another node claim leadership; the previous leader does not know of it yet. */
  elect(): void {
    this.#claim(this.#nodes[(this.#epoch + 1) % NODE_NAMES.length]!);
  }

  /** Freezes a node that is not a leader until it claims leadership. */
  freezeNode(index: number): void {
    const node = this.#nodes[index % NODE_NAMES.length]!;
    if (this.leaders.some((leader) => leader.node === node)) return;
    this.coverage.hit('freeze');
    node.freeze();
  }

  wakeNodes(): void {
    for (const node of this.#nodes) node.wake(this.#nowMs);
  }

  /** Ends the leader's process; the node's next incarnation claims leadership at once. */
  restartLeader(): void {
    this.coverage.hit('restart');
    const { node } = this.currentLeader;
    for (const leader of this.leaders) if (leader.node === node) leader.hasEnded = true;
    node.restart(this.#nowMs);
    this.#claim(node);
  }

  /** Makes the leader read which workers the store lists. */
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

  /**
   * Has a data centre evacuated, or ends its evacuation. If that is not read at once, the leaders lack
   * it until they read the operators' requests.
   */
  toggleEvacuation(index: number, isRead: boolean): void {
    const dataCentre = DATA_CENTRES[index % DATA_CENTRES.length]!;
    const isEvacuated = !this.#evacuated.delete(dataCentre);
    if (isEvacuated) this.#evacuated.add(dataCentre);
    this.coverage.hit(isRead ? 'evacuate' : 'evacuate-unread');
    this.oracle.evacuated(dataCentre, isEvacuated);
    for (const leader of this.leaders) {
      if (isRead) this.readOperators(leader);
      else leader.operatorsAsOfMs ??= this.#nowMs;
    }
  }

  /** Ends all evacuations, which the leaders read at once. */
  endEvacuations(): void {
    for (const dataCentre of this.#evacuated) this.oracle.evacuated(dataCentre, false);
    this.#evacuated.clear();
    for (const leader of this.leaders) this.readOperators(leader);
  }

  /** Makes the leader read which data centres are evacuated. */
  readOperators(leader: ModelLeader): void {
    leader.scheduler.setEvacuated(this.#evacuated, this.#nowMs);
    Object.assign(leader, { operatorsAsOfMs: undefined });
  }

  /** Runs a round (decides, stores and sends), or repeats the append that got no answer. */
  round(leader: ModelLeader, outcome: AppendOutcome, followUps = MAX_FOLLOW_UP_ROUNDS): void {
    if (!this.#takesAppends(leader)) return;
    const append = leader.unansweredAppend ?? leader.decide(this.#nowMs, false);
    if (outcome !== 'answered') this.coverage.hit(`append-${outcome}`);
    if (append.ahead.length > 0) this.coverage.hit(`bound-ahead-${outcome}`);
    if (outcome !== 'lost') this.#store(append);
    Object.assign(leader, { unansweredAppend: outcome === 'answered' ? undefined : append });
    if (outcome !== 'answered') return;
    leader.stored(append, this.#nowMs);
    if (!append.isCutShort || followUps === 0) return;
    this.coverage.hit('cut-short');
    this.round(leader, outcome, followUps - 1);
  }

  /** Sends the starts of tasks that are bound ahead, as while an append is unanswered. */
  startAhead(leader: ModelLeader): void {
    if (leader.startAhead(this.#nowMs) > 0) this.coverage.hit('started-ahead');
  }

  /** The leader resigns and does not learn that its resignation is stored. */
  resign(): void {
    const { currentLeader } = this;
    if (!this.#takesAppends(currentLeader) || currentLeader.unansweredAppend) return;
    this.coverage.hit('resign');
    const append = currentLeader.decide(this.#nowMs, true);
    Object.assign(currentLeader, { unansweredAppend: append });
    this.#store(append);
    this.elect();
  }

  renew(leader: ModelLeader, worker: ModelWorker, outcome: RenewOutcome): void {
    if (!leader.reaches(worker)) return;
    const call = leader.renew(worker.entry.id, this.#nowMs);
    if (!call) return;
    if (outcome === 'late') {
      this.coverage.hit('renew-late');
      this.#delayedRenewals.push({ worker, call });
      leader.renewalLost(worker.entry.id);
      return;
    }
    const report = worker.renew(call);
    if (!report) {
      this.coverage.hit('renew-fenced');
      Object.assign(leader, { hasEnded: true });
    } else if (outcome === 'unanswered') {
      this.coverage.hit('report-lost');
      leader.renewalLost(worker.entry.id);
    } else {
      leader.renewed(worker.entry.id, report, call.askedMs, this.#nowMs);
    }
  }

  /** Delivers a renewal whose sender no longer waits for the answer. */
  deliverDelayed(index: number): void {
    const at = index % Math.max(1, this.#delayedRenewals.length);
    const [late] = this.#delayedRenewals.splice(at, 1);
    if (late?.worker.isAlive) late.worker.renew(late.call);
  }

  /** Delivers an order; if it stays unanswered, it is sent again or arrives a second time later. */
  deliver(leader: ModelLeader, index: number, isUnanswered: boolean): void {
    const sent = leader.inFlight[index % Math.max(1, leader.inFlight.length)];
    if (!sent) return;
    const worker = this.workers.find(({ entry }) => entry.id === sent.order.worker);
    if (!worker || !leader.reaches(worker)) {
      this.drop(leader, sent);
      return;
    }
    const isLate = sent.worker?.incarnation !== worker.entry.incarnation;
    // The call has been given up, and its connection was closed before the process could accept it.
    if (isLate && this.#nowMs - sent.sentMs > START_WINDOW_MS) {
      this.drop(leader, sent);
      return;
    }
    if (isLate) this.coverage.hit(`${sent.order.kind} to a former process`);
    const outcome = worker.order(sent.order, leader.epoch, sent.deadline, isLate);
    sent.hasArrived = true;
    const isCrashing =
      sent.order.kind === 'start' && outcome === 'done' && this.isCrashing(sent.order.task.jobId);
    if (isUnanswered) {
      this.coverage.hit('order-unanswered');
      sent.mayRun = true;
      if (index % 2 === 0) leader.resend(sent, this.#nowMs);
      else leader.complete(sent, 'unknown', this.#nowMs);
      if (isCrashing) this.#crashUnnoticed(worker);
      return;
    }
    leader.inFlight.splice(leader.inFlight.indexOf(sent), 1);
    if (outcome === 'fenced') this.coverage.hit('order-fenced');
    if (outcome === 'too-late') this.coverage.hit('order-late');
    if (outcome === 'fenced') Object.assign(leader, { hasEnded: true });
    else leader.complete(sent, outcome, this.#nowMs);
    if (isCrashing) this.#crashUnnoticed(worker);
  }

  /** Loses an order on its way. */
  drop(leader: ModelLeader, sent: SentOrder): void {
    leader.inFlight.splice(leader.inFlight.indexOf(sent), 1);
    leader.complete(sent, 'unknown', this.#nowMs);
  }

  end(worker: ModelWorker, index: number, how: 'done' | 'failed'): void {
    const order = worker.running[index % Math.max(1, worker.running.length)];
    if (!order) return;
    // A long-running task cannot end successfully.
    const isFailure = how === 'failed' || this.isLongRunning(order.task.jobId);
    if (isFailure) this.coverage.hit('fail');
    worker.end(order, isFailure ? 'failed' : how);
  }

  /**
   * Crashes the worker's process. A new incarnation starts at its address and reports that to
   * whoever asks for the old one.
   */
  crash(worker: ModelWorker): void {
    this.coverage.hit('crash');
    this.#remove(worker, 'crashed');
    const successor = this.#addWorker(worker.entry.address);
    for (const leader of this.leaders) {
      leader.scheduler.workerEnded(worker.entry.id, this.#nowMs, 'other-life');
      leader.scheduler.listWorker(successor.entry, this.#nowMs);
    }
  }

  /**
   * Crashes the worker's process and starts another one under its id. The leaders learn of it from
   * its entry or its reports; orders in flight arrive at the present process.
   */
  restartWorker(worker: ModelWorker): void {
    if (worker.entry.draining) return;
    this.coverage.hit('restart-worker');
    worker.remove('crashed');
    this.passTime(RESTART_MS);
    this.lastRemovalMs = this.#nowMs;
    this.oracle.restarted(worker.entry.id);
    this.#incarnationCount += 1;
    const entry = { ...worker.entry, incarnation: this.#incarnationCount };
    const present = new ModelWorker(entry, this.oracle, LEASE_MS);
    present.isCut = worker.isCut;
    this.#loseOrders(worker.entry.id);
    this.workers[this.workers.indexOf(worker)] = present;
  }

  /**
   * Loses the orders to a former process that would have been refused there: those of replaced
   * leaders, and repeats for runs that have ended. The present process has seen no token and no run,
   * and their connections have ended with the former one. What has arrived does not arrive again.
   */
  #loseOrders(id: string): void {
    for (const leader of this.leaders) {
      for (const sent of [...leader.inFlight]) {
        const { order, hasArrived } = sent;
        const run = leader.scheduler.workers.get(id)?.runs.get(taskName(order.task));
        const isOpen = run?.run === order.run && !hasArrived;
        const isKept = leader === this.currentLeader && isOpen;
        if (order.worker === id && !isKept) this.drop(leader, sent);
      }
    }
  }

  /**
   * The worker announces that it leaves, and does so after `remainingMs` plus `overstayMs`. If the
   * announcement is not read at once, the leaders' lists of workers are out of date until they are
   * read completely.
   */
  leave(worker: ModelWorker, remainingMs: number, isRead: boolean, overstayMs = 0): void {
    if (worker.entry.draining) return;
    this.coverage.hit('leave');
    worker.announceLeaving(remainingMs, this.#nowMs, overstayMs);
    this.oracle.leaving(worker.entry.id);
    if (!isRead) {
      this.coverage.hit('leave-unread');
      for (const leader of this.leaders) leader.listAsOfMs ??= this.#nowMs;
      return;
    }
    for (const { scheduler } of this.leaders) scheduler.listWorker(worker.entry, this.#nowMs);
  }

  /** Removes the worker from the store's list for good; nothing else answers at its address. */
  vanish(worker: ModelWorker): void {
    this.coverage.hit('vanish');
    this.lastRemovalMs = this.#nowMs;
    this.#remove(worker, this.#nowMs >= worker.removalMs ? 'left' : 'crashed');
    const other = this.#addWorker(`host${this.#incarnationCount}`);
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
    this.#announce(claim);
    const leader = new ModelLeader(claim, node, this.#nowMs, this.#bindsAhead, (event, fields) => {
      if (event.startsWith('copy-'))
        this.coverage.hit(`${event} ${fields.reason ?? fields.first ?? ''}`);
    });
    for (const [id, spec] of this.#jobs) {
      const stored = this.#progress.get(id);
      leader.scheduler.addJob(stored ? JobProgress.decode(spec, stored) : new JobProgress(spec));
      if (this.#cancelled.has(id)) leader.scheduler.cancel(id, this.#nowMs);
    }
    leader.scheduler.inheritLeases(node.former.namedEndMs);
    this.list(leader);
    this.readOperators(leader);
    if (this.leaders.length > 1) this.leaders.shift();
    this.leaders.push(leader);
  }

  #takesAppends(leader: ModelLeader): boolean {
    if (leader.hasEnded || !this.isStoreUp) return false;
    if (leader.epoch === this.#epoch) return true;
    this.coverage.hit('write-fenced');
    Object.assign(leader, { hasEnded: true });
    return false;
  }

  #store(append: Append): void {
    if (this.#stored.has(append)) return;
    this.#stored.add(append);
    const { progress, rec } = append;
    for (const { id, text } of progress) {
      this.#progress.set(id, text);
      this.#recordBindings(id, text);
      const stored = JobProgress.decodeState(this.#jobs.get(id)!, text);
      if (stored!.state === 'running') this.oracle.shownRunning(id);
      if (stored!.state === 'completed') this.oracle.completed(id);
      if (stored!.state === 'failed') this.oracle.failed(id);
    }
    this.#announce(rec);
  }

  #recordBindings(jobId: string, text: string): void {
    const { occurrences } = JobProgress.decode(this.#jobs.get(jobId)!, text);
    for (const { number: occurrence, steps } of occurrences.values()) {
      for (const [step, tasks] of steps.entries()) {
        for (const [index, { phase, run, worker, copy }] of tasks.entries()) {
          const name = taskName({ jobId, occurrence, step, index });
          if (phase === 'bound') this.oracle.bindingStored(name, run, worker);
          if (phase === 'bound' && copy) this.oracle.bindingStored(name, copy.run, copy.worker);
        }
      }
    }
  }

  /** Makes every node read the record at once: a later read would only make the nodes wait longer. */
  #announce(entry: LogEntry): void {
    for (const node of this.#nodes) node.read(entry, this.#nowMs);
  }

  #submit(spec: JobSpec): void {
    this.#jobs.set(spec.id, spec);
    for (const { scheduler } of this.leaders) scheduler.addJob(new JobProgress(spec));
  }

  /** Crashes the worker's process. The leaders learn of it later, from the next incarnation. */
  #crashUnnoticed(worker: ModelWorker): void {
    this.coverage.hit('crashing-task');
    // Other tasks may be placed beside the crashing one each time; those whose starts are delivered
    // after its start do not begin.
    for (const { order } of this.leaders.flatMap(({ inFlight }) => inFlight)) {
      const isLost = order.kind === 'start' && order.worker === worker.entry.id;
      if (isLost) this.oracle.startLost(taskName(order.task));
    }
    this.#remove(worker, 'crashed');
    this.#addWorker(worker.entry.address);
    this.#crashNotices.push({ id: worker.entry.id, dueMs: this.#nowMs + CRASH_NOTICE_MS });
  }

  #remove(worker: ModelWorker, removal: Removal): void {
    worker.remove(removal);
    this.workers.splice(this.workers.indexOf(worker), 1);
  }

  #addWorker(address: string): ModelWorker {
    this.#incarnationCount += 1;
    const entry: WorkerEntry = {
      id: `life${this.#incarnationCount}`,
      address,
      pool: 'p',
      dataCentre: DATA_CENTRES[this.#incarnationCount % DATA_CENTRES.length]!,
      draining: false,
      remainingMs: 0,
      capacity: { cpuMilli: 4_000, memMb: 100_000, gpus: 0 },
      labels: [],
      ...(this.#statesIncarnations && { incarnation: this.#incarnationCount }),
    };
    const maxHoldMs = this.#statesIncarnations ? LEASE_MS : Infinity;
    const worker = new ModelWorker(entry, this.oracle, maxHoldMs);
    this.workers.push(worker);
    return worker;
  }
}
