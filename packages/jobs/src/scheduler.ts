import type { QueuePolicy } from './job.js';
import { isFinal } from './job.js';
import type { RetryAfter } from './admission.js';
import type { Backlog } from './backlog.js';
import type { JobProgress, TaskProgress } from './job-progress.js';
import type { Order, OrderOutcome } from './order.js';
import type { TaskRef } from './task-ref.js';
import { taskName } from './task-ref.js';
import type { WorkerEntry, WorkerReport } from './worker.js';
import { ClusterState } from './internal/cluster-state.js';
import type { EventLogger, SchedulerTiming } from './internal/cluster-state.js';
import type { PlacementPolicy } from './internal/placement.js';
import { WorstFit } from './internal/placement.js';
import type { InterferenceWeights } from './internal/interference-model.js';
import type { RoundLimits } from './internal/round-limits.js';
import { NO_LIMITS } from './internal/round-limits.js';
import { ReportReader } from './internal/report-reader.js';
import { boundTasks, newRun, unlistedEntry } from './internal/runs.js';
import { StopRules } from './internal/stop-rules.js';
import { TailLatencyModel } from './internal/tail-latency-model.js';
import { TaskPlacer } from './internal/task-placer.js';
import type { WorkerState } from './internal/worker-state.js';

export type { EventLogger, SchedulerTiming } from './internal/cluster-state.js';
export type { RoundLimits } from './internal/round-limits.js';

/** How long a worker that had no room is left alone, in ms: until its next ends are known. */
const FULL_WORKER_PAUSE_MS = 200;

/** What a round of decisions came to. */
export interface Decisions {
  /** Jobs whose progress must be stored before any of the starts is sent. */
  readonly changed: readonly JobProgress[];
  readonly orders: readonly Order[];
  /** By worker: ends that may be acknowledged once the changes are stored. */
  readonly acks: ReadonlyMap<string, number>;
  /** The limits ended the placing while there may be room for more: another round is due soon. */
  readonly isCutShort: boolean;
}

/**
 * All decisions about jobs and workers, for the one node that schedules. It has no sockets and no
 * clock: callers hand in what happened and when, and carry out what `decide` returns.
 *
 * The order that keeps a task from running twice: `decide` marks a task as bound to a worker; the
 * caller stores that; only then is the start sent. A later node therefore finds, for each task
 * that may run anywhere, the worker to ask.
 */
export class Scheduler {
  readonly #state: ClusterState;

  readonly #reader: ReportReader;

  readonly #placer: TaskPlacer;

  readonly #stopRules: StopRules;

  readonly #model: TailLatencyModel;

  /** When leases that earlier nodes have given are over, where more than the rule is known. */
  #inheritedLeaseEndsMs: ReadonlyMap<string, number> = new Map();

  constructor(
    timing: SchedulerTiming,
    nowMs: number,
    logEvent: EventLogger,
    model = new TailLatencyModel(),
    placement: PlacementPolicy = new WorstFit(model),
  ) {
    this.#state = new ClusterState(timing, nowMs, logEvent);
    this.#model = model;
    this.#reader = new ReportReader(this.#state, model);
    this.#placer = new TaskPlacer(this.#state, placement);
    this.#stopRules = new StopRules(this.#state);
  }

  get jobs(): ReadonlyMap<string, JobProgress> {
    return this.#state.jobs;
  }

  get workers(): ReadonlyMap<string, WorkerState> {
    return this.#state.workers;
  }

  /** What was learned of how images disturb each other, for a later scheduling node. */
  get learned(): InterferenceWeights {
    return this.#model.interference.weights();
  }

  /** Starts from what an earlier scheduling node has learned. */
  restoreLearned(learned: InterferenceWeights): void {
    this.#model.interference.restore(learned);
  }

  /** By worker, when leases that earlier nodes have given are over, where more than the rule is known. */
  inheritLeases(endMs: ReadonlyMap<string, number>): void {
    this.#inheritedLeaseEndsMs = endMs;
    for (const id of endMs.keys()) {
      const worker = this.#state.workers.get(id);
      if (worker) this.#inheritLease(worker);
    }
  }

  /**
   * Jobs that were begun before may not be told yet, or all of them are. Until then what workers list
   * of unknown jobs is left as it is; all else goes on.
   */
  setFullyLoaded(isFullyLoaded: boolean): void {
    this.#state.isFullyLoaded = isFullyLoaded;
  }

  setQueues(queues: Iterable<QueuePolicy>): void {
    for (const queue of queues) this.#state.queues.set(queue.name, queue);
  }

  /**
   * Takes on a job: one just accepted, or one that an earlier node has brought so far, which nothing
   * has happened to since `changedMs`.
   */
  addJob(progress: JobProgress, changedMs = Infinity): void {
    const { id } = progress.spec;
    if (this.#state.jobs.has(id)) return;
    this.#state.jobs.set(id, progress);
    this.#placer.restoreIdle(progress, changedMs);
    for (const [ref, task] of boundTasks(progress)) this.#inherit(progress, ref, task);
  }

  /** Forgets a job that is over and whose record has been deleted. */
  dropJob(id: string): void {
    this.#state.jobs.delete(id);
  }

  /** The stored progress of a job is no longer what this node has: it is stored once more. */
  markChanged(id: string): void {
    const job = this.#state.jobs.get(id);
    if (job) this.#state.changed.add(job);
  }

  cancel(id: string, timeOfDayMs: number): void {
    const job = this.#state.jobs.get(id);
    if (!job || isFinal(job.state)) return;
    this.#state.endJob(job, 'cancelled', timeOfDayMs);
  }

  /** The store lists the worker, or what it says of itself has changed; written then at the earliest. */
  listWorker(entry: WorkerEntry, writtenMs: number): void {
    const known = this.#state.workers.get(entry.id);
    const worker = known ?? this.#state.addWorker(entry);
    if (entry.draining && !(known?.listed && known.entry.draining)) {
      const { id, remainingMs } = entry;
      this.#state.logEvent('worker-leaves', { worker: id, remainingMs, runs: worker.runs.size });
    }
    worker.entry = entry;
    worker.listed = true;
    if (entry.draining) worker.leavesMs = Math.min(worker.leavesMs, writtenMs + entry.remainingMs);
  }

  /** The store no longer lists the worker. It may still run what it has. */
  unlistWorker(id: string): void {
    const worker = this.#state.workers.get(id);
    if (worker) worker.listed = false;
  }

  /** The worker's life is known to be over: nothing runs there. */
  workerEnded(id: string, nowMs: number, why: string): void {
    const worker = this.#state.workers.get(id);
    if (!worker) return;
    this.#state.logEvent('worker-gone', { worker: id, why, runs: worker.runs.size });
    this.#state.releaseAll(worker);
    this.#state.workers.delete(id);
  }

  /** A call that renews the worker's lease is being sent. */
  leaseSent(id: string, leaseEndMs: number): void {
    const worker = this.#state.workers.get(id);
    if (worker) worker.leaseEndMs = Math.max(worker.leaseEndMs, leaseEndMs);
  }

  /** The worker has listed what it runs and what has ended; it was asked at `askedMs`. */
  report(id: string, report: WorkerReport, askedMs: number, nowMs: number): void {
    const worker = this.#state.workers.get(id);
    if (worker) this.#reader.read(worker, report, askedMs, nowMs);
  }

  /** What came of an order that `decide` returned. */
  answered(order: Order, outcome: OrderOutcome, nowMs: number, sendCompletedMs: number): void {
    const worker = this.#state.workers.get(order.worker);
    if (!worker) return;
    if (outcome === 'other-life') {
      this.workerEnded(order.worker, nowMs, 'other-life');
      return;
    }
    if (order.kind === 'start') this.#startAnswered(worker, order, outcome, nowMs, sendCompletedMs);
  }

  /**
   * Whether an order is still to be sent. A start waits until it is stored and for its turn, seconds
   * maybe; sent then all the same, it would begin what was cancelled, or on a worker that has said
   * that it leaves. One that is not listed any more may have said so where nobody read it. One that
   * was never sent can be answered with `too-late`.
   */
  shouldSend(order: Order): boolean {
    if (order.kind !== 'start') return true;
    const worker = this.#state.workers.get(order.worker);
    const run = worker?.runs.get(taskName(order.task));
    if (!worker || run?.run !== order.run) return false;
    return worker.listed && !worker.entry.draining && !this.#stopRules.unwantedReason(worker, run);
  }

  /** How long ago the task of a start was bound, in milliseconds; 0 where it is not any more. */
  waitedMs(order: Order, nowMs: number): number {
    const run = this.#state.workers.get(order.worker)?.runs.get(taskName(order.task));
    return run?.run === order.run ? nowMs - run.startedMs : 0;
  }

  /** Whether `decide` would tell something that was handed in since its last call. */
  get hasPendingDecisions(): boolean {
    const { changed, orders, endsProcessed } = this.#state;
    return changed.size > 0 || orders.length > 0 || endsProcessed.size > 0;
  }

  /**
   * Stops, and changes of pace, that are due. They need nothing stored: the binding stays on record
   * until the worker lists the end. A caller sends them at once, also while an append is under way:
   * left to wait for its answer, they come too late for a worker that leaves.
   */
  decideStops(nowMs: number): Order[] {
    this.#stopUnwanted(nowMs);
    const { orders } = this.#state;
    this.#state.orders = [];
    return orders;
  }

  /**
   * Everything that follows from what was handed in since the last call. The stops among the orders
   * need not wait for the changes to be stored. The limits hold for the placing of waiting tasks
   * alone: stops, ends and leases that are over wait for no later round.
   */
  decide(nowMs: number, timeOfDayMs: number, limits: RoundLimits = NO_LIMITS): Decisions {
    this.#state.timeOfDayMs = timeOfDayMs;
    this.#expireSilent(nowMs);
    this.#openDue(timeOfDayMs);
    const isCutShort = this.#placer.placeAll(nowMs, limits);
    this.#stopUnwanted(nowMs);
    this.#closeCompleted(timeOfDayMs);
    const decisions = {
      changed: [...this.#state.changed],
      orders: this.#state.orders,
      acks: new Map(
        [...this.#state.endsProcessed].map((worker) => [worker.entry.id, worker.processedEnd]),
      ),
      isCutShort,
    };
    this.#state.changed.clear();
    this.#state.orders = [];
    this.#state.endsProcessed.clear();
    return decisions;
  }

  /** The changes that let the worker forget these ends are stored. */
  acknowledge(acks: ReadonlyMap<string, number>): void {
    for (const [id, number] of acks) {
      const worker = this.#state.workers.get(id);
      if (worker) worker.ackedEnd = Math.max(worker.ackedEnd, number);
    }
  }

  /** Jobs without anything at a worker, as of the newest round. */
  backlog(nowMs: number): Backlog {
    return this.#placer.backlog(nowMs);
  }

  /** By lane that takes no more jobs now: when callers may come back, in milliseconds. */
  retryAfter(nowMs: number): RetryAfter {
    return this.#placer.retryAfter(nowMs);
  }

  /** The first due time of an occurrence that is still to come; undefined if there is none. */
  nextDueMs(): number | undefined {
    let next: number | undefined;
    for (const job of this.#state.jobs.values()) {
      const isPending = !isFinal(job.state) && job.nextOccurrence < job.occurrenceCount;
      if (isPending && (next === undefined || job.nextDueMs < next)) next = job.nextDueMs;
    }
    return next;
  }

  /** A task that an earlier node has bound: its worker must be asked before anything else. */
  #inherit(job: JobProgress, ref: TaskRef, task: TaskProgress): void {
    let worker = this.#state.workers.get(task.worker);
    if (!worker) {
      worker = this.#state.addWorker(unlistedEntry(task.worker));
      worker.listed = false;
      this.#inheritLease(worker);
    }
    worker.add(taskName(ref), {
      ...newRun(ref, task, job.spec.steps[ref.step]!, this.#state.startedMs),
      sendCompletedMs: -Infinity,
    });
  }

  #inheritLease(worker: WorkerState): void {
    const endMs = this.#inheritedLeaseEndsMs.get(worker.entry.id);
    if (endMs !== undefined && !worker.fenced) Object.assign(worker, { leaseEndMs: endMs });
  }

  #startAnswered(
    worker: WorkerState,
    order: Order & { kind: 'start' },
    outcome: OrderOutcome,
    nowMs: number,
    sendCompletedMs: number,
  ): void {
    const key = taskName(order.task);
    const run = worker.runs.get(key);
    if (!run || run.run !== order.run) return;
    // Its next list may be two seconds away, and it may say before that it leaves.
    if (outcome === 'done') run.confirmed = true;
    // A run that is over there may have ended well: only the worker's lists can tell.
    if (outcome === 'done' || outcome === 'unknown' || outcome === 'superseded') {
      run.sendCompletedMs = sendCompletedMs;
      return;
    }
    if (outcome === 'no-room') worker.fullUntilMs = nowMs + FULL_WORKER_PAUSE_MS;
    if (outcome === 'unhealthy') worker.health.stalled(nowMs);
    this.#state.releaseRun(worker, key, run);
  }

  /** Releases what runs on workers whose leases are over without a word from them. */
  #expireSilent(nowMs: number): void {
    for (const worker of this.#state.workers.values()) {
      const isSilent =
        nowMs > worker.leaseEndMs && nowMs - worker.answeredMs > this.#state.timing.leaseMs;
      if (isSilent && (worker.runs.size > 0 || !worker.listed)) {
        this.#state.logEvent('leases-over', {
          worker: worker.entry.id,
          runs: worker.runs.size,
          hasAnswered: worker.fenced,
          silentMs: Math.round(nowMs - Math.max(worker.answeredMs, this.#state.startedMs)),
        });
        this.#releaseSent(worker);
        if (!worker.listed && worker.runs.size === 0) this.#state.workers.delete(worker.entry.id);
      }
    }
  }

  /**
   * Releases all runs but those whose start may be sent again yet: after seconds in which this node
   * stood still, it would begin there what is begun elsewhere as well. Its answer is never far.
   */
  #releaseSent(worker: WorkerState): void {
    for (const [key, run] of worker.runs) {
      if (run.sendCompletedMs < Infinity) this.#state.releaseRun(worker, key, run);
    }
  }

  #closeCompleted(timeOfDayMs: number): void {
    for (const job of this.#state.changed) {
      if (!isFinal(job.state)) {
        job.closeOccurrences(timeOfDayMs);
        if (isFinal(job.state)) {
          this.#state.logJobEnd(job);
        }
      }
    }
  }

  #openDue(timeOfDayMs: number): void {
    for (const job of this.#state.jobs.values()) {
      const isOpen = !isFinal(job.state) && job.nextOccurrence < job.occurrenceCount;
      if (isOpen && job.openDue(timeOfDayMs)) this.#state.changed.add(job);
    }
  }

  /** Stops what runs for jobs that are over, and what no job asks for. */
  #stopUnwanted(nowMs: number): void {
    for (const worker of this.#state.workers.values()) {
      for (const run of worker.runs.values()) {
        const isStopDue = nowMs - run.stopSentMs >= this.#state.timing.stopRetryMs;
        const reason = isStopDue ? this.#stopRules.reason(worker, run, nowMs) : undefined;
        if (reason) this.#state.stopRun(worker, run, reason, nowMs);
      }
    }
  }
}
