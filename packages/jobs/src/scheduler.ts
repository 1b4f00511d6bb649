import type { AdviceAnswer, AdviceQuery } from './advice.js';
import type { QueuePolicy } from './job.js';
import { isFinal } from './job.js';
import type { RetryAfter } from './admission.js';
import type { StartDelays } from './start-delay.js';
import type { Backlog } from './backlog.js';
import type { AheadBinding, JobProgress, TaskProgress } from './job-progress.js';
import type { Order, OrderOutcome } from './order.js';
import type { TaskRef } from './task-ref.js';
import { stepName, taskName } from './task-ref.js';
import type { WorkerEntry, WorkerReport } from './worker.js';
import { BegunJobs } from './internal/begun-jobs.js';
import { ClusterState } from './internal/cluster-state.js';
import type { EventLogger, SchedulerTiming } from './internal/cluster-state.js';
import { CrashSuspects } from './internal/crash-suspects.js';
import type { PlacementPolicy } from './internal/placement.js';
import { WorstFit } from './internal/placement.js';
import type { InterferenceWeights } from './internal/interference-model.js';
import type { RoundLimits } from './internal/round-limits.js';
import { NO_LIMITS } from './internal/round-limits.js';
import { OccurrenceWindow } from './internal/occurrence-window.js';
import { ReportReader } from './internal/report-reader.js';
import { boundRuns, newRun, unlistedEntry } from './internal/runs.js';
import { StopRules } from './internal/stop-rules.js';
import { TailLatencyModel } from './internal/tail-latency-model.js';
import { TaskPlacer } from './internal/task-placer.js';
import type { UpkeepPlan } from './internal/upkeep-planner.js';
import { WorkerRestarts } from './internal/worker-restarts.js';
import type { WorkerRun } from './internal/worker-run.js';
import type { WorkerState } from './internal/worker-state.js';

export type { EventLogger, SchedulerTiming } from './internal/cluster-state.js';
export type { AheadMode, RoundLimits } from './internal/round-limits.js';

/**
 * How long a worker that lacked capacity for a start gets no other start, in milliseconds: until
 * its next ended runs are known.
 */
const FULL_WORKER_PAUSE_MS = 200;

/** The result of a scheduling round. */
export interface Decisions {
  /** Jobs whose progress must be stored before any of the starts is sent. */
  readonly changed: readonly JobProgress[];
  readonly orders: readonly Order[];
  /**
   * For each worker: the last end that may be acknowledged once the changes are stored. By its state
   * and not by its id, as the numbers are those of one process.
   */
  readonly acks: ReadonlyMap<WorkerState, number>;
  /**
   * The limits ended placement while there may be capacity for more tasks: another round is due
   * soon.
   */
  readonly isCutShort: boolean;
  /** Bindings among the changes whose starts are not sent yet; see `aheadStored`. */
  readonly ahead: readonly AheadBinding[];
}

/**
 * Makes all decisions about jobs and workers, on the leader. It has no sockets and no clock:
 * callers pass in events with their times, and carry out what `decide` returns.
 *
 * This order of events keeps a task from running twice: `decide` marks the task as bound to a
 * worker; the caller stores that; only then is the start sent. For each task that may run anywhere,
 * a later leader therefore finds the worker to ask.
 */
export class Scheduler {
  readonly #state: ClusterState;

  readonly #reader: ReportReader;

  readonly #placer: TaskPlacer;

  readonly #stopRules: StopRules;

  readonly #crashSuspects: CrashSuspects;

  readonly #begunJobs: BegunJobs;

  readonly #restarts: WorkerRestarts;

  readonly #window = new OccurrenceWindow();

  readonly #model: TailLatencyModel;

  /**
   * For each worker: when the leases granted by earlier leaders end, if this is known more exactly
   * than from `inheritedLeaseMs`.
   */
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
    this.#crashSuspects = new CrashSuspects(this.#state);
    this.#restarts = new WorkerRestarts(this.#state, this.#crashSuspects);
    this.#begunJobs = new BegunJobs(this.#state, (job) => this.#placer.jobBegan(job));
    this.#reader = new ReportReader(this.#state, model, this.#crashSuspects, this.#begunJobs);
    this.#placer = new TaskPlacer(this.#state, placement);
    this.#stopRules = new StopRules(this.#state);
  }

  get jobs(): ReadonlyMap<string, JobProgress> {
    return this.#state.jobs;
  }

  get workers(): ReadonlyMap<string, WorkerState> {
    return this.#state.workers;
  }

  /** Learned interference between images, for a later leader. */
  get learned(): InterferenceWeights {
    return this.#model.interference.weights();
  }

  /** Restores the interference that an earlier leader learned. */
  restoreLearned(learned: InterferenceWeights): void {
    this.#model.interference.restore(learned);
  }

  /**
   * Sets, for each worker, when the leases granted by earlier leaders end, if this is known more
   * exactly than from `inheritedLeaseMs`.
   */
  inheritLeases(endMs: ReadonlyMap<string, number>): void {
    this.#inheritedLeaseEndsMs = endMs;
    for (const id of endMs.keys()) {
      const worker = this.#state.workers.get(id);
      if (worker) this.#inheritLease(worker);
    }
  }

  /**
   * Sets whether all jobs that were started earlier have been loaded. Until then runs of unknown
   * jobs continue and their ends are not acknowledged; everything else is as usual.
   */
  setFullyLoaded(isFullyLoaded: boolean): void {
    this.#state.isFullyLoaded = isFullyLoaded;
  }

  /** Sets the data centres in which nothing may be started; what runs there continues. */
  setEvacuated(dataCentres: ReadonlySet<string>, nowMs: number): void {
    this.#state.evacuated.set(dataCentres, this.#state.workers.values(), nowMs);
  }

  /**
   * Sets how many times as long a task takes on another rack than that of its data; with 1 or less,
   * as at the start, no task waits for a rack.
   */
  setRemoteFactor(remoteFactor: number): void {
    this.#state.racks.remoteFactor = remoteFactor;
  }

  /**
   * Sets the maximum size of the progress of one job, in bytes. A job whose tasks do not fit runs them
   * in parts.
   */
  setMaxProgressBytes(bytes: number): void {
    this.#state.maxProgressBytes = bytes;
  }

  /** Sets for how long a ticket must still be valid to be used for a start, in milliseconds. */
  setTicketMargin(minValidityMs: number): void {
    this.#state.advice.minValidityMs = minValidityMs;
  }

  /** Returns what the advice service is to be asked next; undefined if no step needs advice. */
  nextAdviceQuery(nowMs: number): AdviceQuery | undefined {
    return this.#placer.advised.nextQuery(nowMs);
  }

  /** Applies the answer to a query that was sent at `sentMs`. */
  adviceAnswered(query: AdviceQuery, answer: AdviceAnswer, sentMs: number, nowMs: number): void {
    this.#state.advice.answered(query, answer, sentMs, nowMs);
  }

  /** Returns how many runs are left on workers in evacuated data centres. */
  evacuatedRuns(): number {
    let runs = 0;
    for (const worker of this.#state.workers.values())
      if (worker.isEvacuated) runs += worker.runs.size;
    return runs;
  }

  /** Closes the workers of machines that are to have maintenance, opens the others, and stops runs. */
  applyUpkeep({ closed, stops }: Pick<UpkeepPlan, 'closed' | 'stops'>, nowMs: number): void {
    for (const [id, worker] of this.#state.workers) worker.isClosedForUpkeep = closed.has(id);
    for (const [worker, run] of stops) this.#state.stopRun(worker, run, 'upkeep', nowMs);
  }

  setQueues(queues: Iterable<QueuePolicy>): void {
    for (const queue of queues) this.#state.queues.set(queue.name, queue);
    this.#state.work.queuesChanged();
    this.#state.hasAdvice = [...this.#state.queues.values()].some(({ advice }) => advice);
  }

  /**
   * Adds a job: one that was just accepted, or one from an earlier leader that has not changed
   * since `changedMs`.
   */
  addJob(progress: JobProgress, changedMs = Infinity): void {
    const { id } = progress.spec;
    if (this.#state.jobs.has(id)) return;
    this.#state.jobs.set(id, progress);
    this.#state.work.add(progress, this.#state.queues.get(progress.spec.queue));
    this.#placer.jobAdded(progress, changedMs);
    for (const [ref, run] of boundRuns(progress)) this.#inherit(progress, ref, run);
  }

  /** Removes a job that has ended and whose record has been deleted. */
  dropJob(id: string): void {
    const job = this.#state.jobs.get(id);
    if (job) this.#begunJobs.storing([job]);
    this.#state.jobs.delete(id);
    this.#state.work.remove(id);
  }

  /**
   * Has the progress of a job stored again, because the stored progress differs from this node's.
   */
  markChanged(id: string): void {
    const job = this.#state.jobs.get(id);
    if (job) this.#state.changed.add(job);
  }

  cancel(id: string, timeOfDayMs: number): void {
    const job = this.#state.jobs.get(id);
    if (!job || isFinal(job.state)) return;
    this.#state.endJob(job, 'cancelled', timeOfDayMs);
  }

  /**
   * Fails a job whose progress cannot be stored, unless it has ended; returns undefined if it is not
   * known.
   */
  failJob(id: string, timeOfDayMs: number): JobProgress | undefined {
    const job = this.#state.jobs.get(id);
    if (job && !isFinal(job.state)) this.#state.endJob(job, 'failed', timeOfDayMs);
    return job;
  }

  /**
   * Adds or updates a worker that the store lists. Its entry was written at `writtenMs` or later. An
   * entry of a former process with this id lists nothing.
   */
  listWorker(entry: WorkerEntry, writtenMs: number, nowMs = writtenMs): void {
    const found = this.#state.workers.get(entry.id);
    if (entry.incarnation !== undefined && found?.formerIncarnations.has(entry.incarnation)) {
      found.listed = false;
      return;
    }
    const known = found && this.#restarts.stateOf(found, entry.incarnation, nowMs);
    const worker = known ?? this.#state.addWorker(entry);
    if (worker !== found) worker.knownSinceMs = nowMs;
    worker.incarnation ??= entry.incarnation;
    if (entry.draining && !(known?.listed && known.entry.draining)) {
      const { id, remainingMs } = entry;
      this.#state.logEvent('worker-leaves', { worker: id, remainingMs, runs: worker.runs.size });
    }
    worker.entry = entry;
    worker.listed = true;
    this.#state.evacuated.workerListed(worker);
    if (entry.draining) worker.leavesMs = Math.min(worker.leavesMs, writtenMs + entry.remainingMs);
  }

  /** Records that the store no longer lists the worker. Its tasks may still be running. */
  unlistWorker(id: string): void {
    const worker = this.#state.workers.get(id);
    if (worker) worker.listed = false;
  }

  /** Removes a worker whose process is known to have ended, and releases its tasks. */
  workerEnded(id: string, nowMs: number, why: string): void {
    const worker = this.#state.workers.get(id);
    if (!worker) return;
    this.#state.logEvent('worker-gone', { worker: id, why, runs: worker.runs.size });
    if (!worker.isClosedForUpkeep) this.#crashSuspects.workerEnded(worker);
    this.#state.releaseAll(worker);
    this.#state.workers.delete(id);
  }

  /** Records that a call is being sent that renews the worker's lease until `leaseEndMs`. */
  leaseSent(id: string, leaseEndMs: number): void {
    const worker = this.#state.workers.get(id);
    if (worker) worker.leaseEndMs = Math.max(worker.leaseEndMs, leaseEndMs);
  }

  /**
   * Records that a start is being sent, for each attempt. It may take effect, and its run hold a
   * lease, until `leaseEndMs`; longer at a process that has restarted under the worker's id and
   * counts the deadline on its own clock.
   */
  startSent(order: Order, leaseEndMs: number, nowMs: number): void {
    this.leaseSent(order.worker, leaseEndMs);
    const run = this.#runOf(order);
    if (!run) return;
    run.sendCount += 1;
    const mayRestart = this.#state.workers.get(order.worker)?.incarnation !== undefined;
    if (mayRestart) run.unreportedLeaseEndMs = nowMs + this.#state.timing.leaseMs;
  }

  /**
   * Applies a worker's report of its running and ended runs, which was requested at `askedMs`. If
   * another process has answered than before, the worker has a new state afterwards.
   */
  report(id: string, report: WorkerReport, askedMs: number, nowMs: number): void {
    const found = this.#state.workers.get(id);
    if (!found) return;
    const worker = this.#restarts.stateOf(found, report.incarnation, nowMs, report);
    this.#reader.read(worker, report, askedMs, nowMs);
  }

  /** Applies the outcome of an order that `decide` returned. */
  answered(order: Order, outcome: OrderOutcome, nowMs: number, sendCompletedMs: number): void {
    const worker = this.#state.workers.get(order.worker);
    if (!worker) return;
    if (outcome === 'other-life') {
      const run = order.kind === 'start' ? this.#runOf(order) : undefined;
      // This attempt was refused; earlier ones may have been carried out.
      if (run) run.sendCount -= 1;
      this.workerEnded(order.worker, nowMs, 'other-life');
      return;
    }
    if (order.kind === 'start') this.#startAnswered(worker, order, outcome, nowMs, sendCompletedMs);
    else if (order.kind === 'stop' && outcome === 'done') this.#stopAnswered(order, nowMs);
  }

  /**
   * Returns whether an order must still be sent. A start waits until its binding is stored and it
   * is next to be sent, which may take seconds. By then its job may have been cancelled, the data
   * centre evacuated, or its worker may have announced that it is leaving; if the worker is no longer
   * listed, its announcement may never have been read. Its ticket may have expired. An order that was never sent can be answered with
   * `too-late`.
   */
  shouldSend(order: Order, nowMs = -Infinity): boolean {
    if (order.kind !== 'start') return true;
    const { advice } = this.#state;
    const { ticket } = order;
    if (ticket !== undefined && advice.isVoid(stepName(order.task), order.worker, ticket, nowMs))
      return false;
    const worker = this.#state.workers.get(order.worker);
    const run = worker?.runs.get(taskName(order.task));
    if (!worker || run?.run !== order.run) return false;
    const isUsable = worker.listed && !worker.entry.draining && !worker.isEvacuated;
    return isUsable && !worker.isClosedForUpkeep && !this.#stopRules.unwantedReason(worker, run);
  }

  /** Returns how long ago the task of a start was bound, in milliseconds; 0 if it no longer is. */
  waitedMs(order: Order, nowMs: number): number {
    const run = this.#runOf(order);
    return run ? nowMs - run.startedMs : 0;
  }

  /**
   * Whether input since the last call of `decide` has led to changes, orders or acknowledgements.
   */
  get hasPendingDecisions(): boolean {
    const { changed, orders, endsProcessed } = this.#state;
    return changed.size > 0 || orders.length > 0 || endsProcessed.size > 0;
  }

  /**
   * Returns the stops and pace changes that are due. They depend on no stored change: the binding
   * stays on record until the worker reports the end of the run. Callers send them immediately,
   * even while an append to the store is in flight: if they waited for its answer, they would come
   * too late for a worker that is leaving.
   */
  decideStops(nowMs: number): Order[] {
    this.#stopUnwanted(nowMs);
    const { orders } = this.#state;
    this.#state.orders = [];
    return orders;
  }

  /**
   * Returns all decisions that follow from the input since the last call. The stops among the
   * orders need not wait until the changes are stored. The limits apply only to the placement of
   * waiting tasks: stops, ends and expired leases are handled in every round.
   */
  decide(nowMs: number, timeOfDayMs: number, limits: RoundLimits = NO_LIMITS): Decisions {
    this.#state.timeOfDayMs = timeOfDayMs;
    this.#state.roundMs = nowMs;
    this.#expireSilent(nowMs);
    this.#reader.applyHeldEnds(nowMs);
    this.#openDue(timeOfDayMs, limits.isNodeBusy);
    const isCutShort = this.#placer.placeAll(nowMs, limits);
    this.#stopUnwanted(nowMs);
    this.#state.work.roundDone(this.#state, isCutShort, nowMs);
    this.#begunJobs.storeDue(nowMs);
    this.#closeCompleted(timeOfDayMs);
    this.#begunJobs.storing(this.#state.changed);
    const decisions = {
      changed: [...this.#state.changed],
      orders: this.#state.orders,
      acks: this.#reader.acks(),
      isCutShort,
      ahead: this.#placer.ahead.takeUnstored(),
    };
    this.#state.changed.clear();
    this.#state.orders = [];
    this.#state.endsProcessed.clear();
    return decisions;
  }

  /** The number of tasks that are bound ahead of their starts. */
  get aheadCount(): number {
    return this.#placer.ahead.count;
  }

  /** Records that the store has confirmed the changes that these bindings are part of. */
  aheadStored(bindings: readonly AheadBinding[]): void {
    this.#placer.ahead.stored(bindings);
  }

  /**
   * Returns the starts of tasks that are bound ahead and whose workers have the capacity by now.
   * Their bindings are stored, so callers send them immediately, while an append has been unanswered
   * for `storeSilentMs`.
   */
  startAhead(nowMs: number, limits: RoundLimits, storeSilentMs: number): Order[] {
    const former = this.#state.orders;
    this.#state.orders = [];
    this.#placer.startAhead(nowMs, limits);
    const starts = this.#state.orders;
    this.#state.orders = former;
    const count = starts.length;
    if (count > 0) this.#state.logEvent('started-ahead', { count, storeSilentMs });
    return starts;
  }

  /**
   * Records that workers may forget their ends up to the given numbers, because the changes that
   * follow from these are stored.
   */
  acknowledge(acks: ReadonlyMap<WorkerState, number>): void {
    for (const [worker, number] of acks) worker.ackedEnd = Math.max(worker.ackedEnd, number);
  }

  /** Returns the idle jobs and the use of the workers, as of the latest round. */
  backlog(nowMs: number): Backlog {
    return this.#placer.backlog(nowMs);
  }

  /**
   * Returns, for each capacity class that accepts no more jobs now, after how many milliseconds
   * callers may retry.
   */
  retryAfter(nowMs: number): RetryAfter {
    return this.#placer.admission.retryAfter(nowMs);
  }

  /** Returns how long new jobs wait for their first start, as of the latest round. */
  startDelays(nowMs: number): StartDelays {
    return this.#state.work.startDelays(nowMs, this.#state.timeOfDayMs);
  }

  /** Restores the rate of starts that an earlier leader stated. */
  restoreStartRate(startsPerSecond: number): void {
    this.#placer.admission.restoreStartRate(startsPerSecond);
  }

  /** Records the starts of the last second, in which the node was busy for this share of the time. */
  loadMeasured(startsPerSecond: number, busyShare: number): void {
    this.#placer.admission.loadMeasured(startsPerSecond, busyShare);
  }

  /**
   * Returns how many tasks a second this leader can start; undefined if it was not overloaded
   * recently.
   */
  startsPerSecond(): number | undefined {
    return this.#placer.admission.startsPerSecond();
  }

  /**
   * Returns the earliest due time of an occurrence that can be opened; undefined if there is none.
   */
  nextDueMs(): number | undefined {
    return this.#window.nextDueMs(this.#state.jobs.values());
  }

  /**
   * Adds the run of a task that an earlier leader bound. Its worker must be asked before the task
   * is started again.
   */
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
      sendCount: 1,
    });
  }

  /** Returns the run that an order is about; undefined if its worker no longer has it. */
  #runOf({ worker, task, run: number }: Order): WorkerRun | undefined {
    const run = this.#state.workers.get(worker)?.runs.get(taskName(task));
    return run?.run === number ? run : undefined;
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
    // The worker's next report may come two seconds later, and by then it may have announced that
    // it is leaving.
    if (outcome === 'done') this.#startConfirmed(order, run, nowMs);
    if (outcome === 'superseded') run.isHarmless = true;
    // A run that is over at the worker may have succeeded: only the worker's reports show this.
    if (outcome === 'done' || outcome === 'unknown' || outcome === 'superseded') {
      run.sendCompletedMs = sendCompletedMs;
      return;
    }
    if (outcome === 'no-room') worker.fullUntilMs = nowMs + FULL_WORKER_PAUSE_MS;
    if (outcome === 'unhealthy') worker.health.stalled(nowMs);
    if (outcome === 'no-ticket')
      this.#state.advice.ticketRejected(stepName(order.task), order.worker, order.ticket ?? '');
    this.#state.releaseRun(worker, key, run);
  }

  #startConfirmed({ task: ref }: Order, run: WorkerRun, nowMs: number): void {
    run.confirmed = true;
    const job = this.#state.jobs.get(ref.jobId);
    if (job) this.#begunJobs.taskBegan(job, ref, nowMs);
  }

  /** After a stop was answered, the worker refuses starts of its run that arrive late. */
  #stopAnswered(order: Order, nowMs: number): void {
    const run = this.#runOf(order);
    if (run?.stopReason === 'worker-restarted') run.sendCompletedMs = nowMs;
  }

  /** Releases the runs of workers whose leases expired without an answer. */
  #expireSilent(nowMs: number): void {
    for (const worker of this.#state.workers.values()) {
      const isSilent =
        nowMs > worker.leaseEndMs && nowMs - worker.answeredMs > this.#state.timing.leaseMs;
      const expired = isSilent ? [...worker.runs].filter(([, run]) => hasExpired(run, nowMs)) : [];
      if (expired.length > 0 || (isSilent && !worker.listed && worker.runs.size === 0)) {
        this.#state.logEvent('leases-over', {
          worker: worker.entry.id,
          runs: expired.length,
          hasAnswered: worker.fenced,
          silentMs: Math.round(nowMs - Math.max(worker.answeredMs, this.#state.startedMs)),
        });
        this.#releaseExpired(worker, expired);
        if (!worker.listed && worker.runs.size === 0) this.#state.workers.delete(worker.entry.id);
      }
    }
  }

  #releaseExpired(worker: WorkerState, expired: readonly (readonly [string, WorkerRun])[]): void {
    if (!worker.isClosedForUpkeep) {
      this.#crashSuspects.workerSilent(
        worker,
        expired.map(([, run]) => run),
      );
    }
    for (const [key, run] of expired) this.#state.releaseRun(worker, key, run);
  }

  #closeCompleted(timeOfDayMs: number): void {
    for (const job of this.#state.changed) {
      if (!isFinal(job.state)) {
        job.closeOccurrences(timeOfDayMs);
        if (isFinal(job.state)) this.#state.logJobEnd(job);
      }
    }
  }

  #openDue(timeOfDayMs: number, isNodeBusy = false): void {
    for (const job of this.#window.openDue(this.#state.jobs.values(), timeOfDayMs, isNodeBusy))
      this.#state.changed.add(job);
  }

  /** Stops the runs that no job needs, and those whose worker is about to leave. */
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

/**
 * Returns whether a run on a worker whose leases have expired may be released. If this node stalled
 * for seconds, a start that may still be sent again might run a task that has also been started
 * elsewhere; the answer to it arrives soon.
 */
function hasExpired({ sendCompletedMs, unreportedLeaseEndMs }: WorkerRun, nowMs: number): boolean {
  return sendCompletedMs < Infinity && nowMs > unreportedLeaseEndMs;
}
