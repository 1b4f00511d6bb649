import type { Subscription } from 'rxjs';
import type { AheadMode, Order, OrderOutcome, Scheduler, WorkerReport } from '@redwingcrank/jobs';
import type { KeyedWrite } from '../keyed-log.js';
import type { LogFields, NodeLog } from '../node-log.js';
import type { NodeSettings } from '../node-settings.js';
import type { PlatformPort } from '../platform-port.js';
import { Adviser } from './adviser.js';
import { steadyMs } from './delay.js';
import { FaultLog } from './fault-log.js';
import { Housekeeping } from './housekeeping.js';
import { LeaseGrants } from './lease-grants.js';
import type { StoredClaim } from './leader-writer.js';
import { LeaderWriter } from './leader-writer.js';
import { NO_STARTS, RoundPacing } from './round-pacing.js';
import { SilenceDetector } from './silent-workers.js';
import { pollUntilSettled } from './poll-until-settled.js';
import { StartDelayReport } from './start-delay-report.js';
import { StartViews } from './start-views.js';
import { TermLeases } from './term-leases.js';
import type { TermDependencies } from './term-dependencies.js';
import type { TermView } from './term-load.js';
import { TermLoad, reachabilityOf } from './term-load.js';
import { createScheduler, loadJob } from './term-scheduler.js';
import {
  LEADER_WRITE_INTERVAL_MS,
  LEASE_MS,
  MAX_ROUND_INTERVAL_MS,
  START_WINDOW_MS,
  STOP_POLL_INTERVAL_MS,
  withClockDrift,
} from './timing.js';
import type { ConfigWatch } from './config-watch.js';
import { Upkeep } from './upkeep.js';
import type { WaveView } from './wave-view.js';
import type { LinkListener } from './worker-link.js';
import { WorkerLinks } from './worker-links.js';
import type { LeaderRecord } from './work-records.js';
import { MAX_KEY_BYTES, encodeLeader, leaderKey, parseKey, progressKey } from './work-records.js';
import type { WorkChange, WorkTable } from './work-table.js';
import { WorkerList } from './worker-list.js';

/**
 * A leader with less processor time than this, in cores, binds no tasks ahead: choosing the tasks and
 * storing their bindings takes time that its rounds and renewals need.
 */
const MIN_AHEAD_CORES = 0.5;

/** One term of this node as leader: from its claim until it resigns or is replaced. */
export class LeaderTerm implements LinkListener {
  readonly #record: LeaderRecord;

  readonly #port: PlatformPort;

  readonly #settings: NodeSettings;

  readonly #leaseMs: number;

  /** Maximum size of the value of a record, in bytes. */
  readonly #maxValueBytes: number;

  readonly #log: NodeLog;

  readonly #table: WorkTable;

  readonly #config: ConfigWatch;

  readonly #writer: LeaderWriter;

  readonly #housekeeping: Housekeeping;

  readonly #leases: TermLeases;

  readonly #silence: SilenceDetector;

  /** When leases of former terms expire on workers that have a bound of their own, by worker. */
  readonly #inheritedEndsMs: ReadonlyMap<string, number>;

  readonly #load: TermLoad;

  readonly #scheduler: Scheduler;

  readonly #workerList: WorkerList;

  readonly #startDelays: StartDelayReport;

  readonly #watchers: TermDependencies['watchers'];

  readonly #links: WorkerLinks;

  readonly #grants: LeaseGrants;

  readonly views: StartViews;

  readonly #upkeep: Upkeep | undefined;

  readonly #subscriptions: Subscription[] = [];

  readonly #stopping = new AbortController();

  readonly #pacing = new RoundPacing(this.#stopping.signal, (order) => this.#send(order));

  readonly #adviser: Adviser;

  #isResigning = false;

  /** Whether all started jobs are loaded, and with them the workers that may run them. */
  #isFullyLoaded = false;

  /** The newest leader record that this node has written. */
  #lastRecord = { number: 0, sentMs: -Infinity };

  #end: () => void = () => {};

  readonly #ended = new Promise<void>((resolve) => {
    this.#end = resolve;
  });

  /** When this node last wrote; its claim counts as a write. */
  #lastWriteMs = steadyMs();

  constructor(
    record: LeaderRecord,
    claim: StoredClaim,
    {
      port,
      settings,
      log,
      table,
      work,
      config,
      watchers,
      faults = new FaultLog(log),
    }: TermDependencies,
  ) {
    this.#watchers = watchers;
    this.#record = record;
    this.#port = port;
    this.#settings = settings;
    this.#log = log;
    this.#table = table;
    this.#config = config;
    this.#writer = new LeaderWriter(port.workLog, log, claim, (rec) => this.#replacementFor(rec));
    this.#maxValueBytes = settings.maxRecordBytes - MAX_KEY_BYTES;
    const { keepStateMs } = settings;
    this.#housekeeping = new Housekeeping(table, port.jobLog, keepStateMs, this.#maxValueBytes);
    this.#leaseMs = Math.min(LEASE_MS, settings.maxLeaseMs);
    this.#links = new WorkerLinks({
      listener: this,
      workers: port.workers,
      log,
      leaseMs: this.#leaseMs,
      signal: this.#stopping.signal,
    });
    this.#grants = new LeaseGrants(settings, watchers, {
      token: record.epoch,
      workers: () => this.#scheduler.workers,
      links: this.#links.byWorker,
      leaseLimitMs: (worker) => this.leaseLimitMs(worker),
      grantSent: (worker, leaseEndMs) => {
        this.#leases.grantSent(leaseEndMs);
        this.leaseSent(worker, leaseEndMs);
      },
    });
    this.#startDelays = new StartDelayReport(log);
    this.#load = new TermLoad(log, record.epoch, (startsPerSecond, busyShare) =>
      this.#scheduler.loadMeasured(startsPerSecond, busyShare),
    );
    this.#leases = new TermLeases(record, this.#writer, table.formerLeases);
    this.#inheritedEndsMs = table.formerLeases.namedEndMs;
    this.#silence = new SilenceDetector(this.#inheritedEndsMs);
    const agesNow = (): LogFields => this.views.ages(steadyMs());
    this.#scheduler = createScheduler(log, this.#leaseMs, table.formerLeases, agesNow);
    this.#scheduler.setRemoteFactor(settings.remoteFactor);
    this.#scheduler.setMaxProgressBytes(this.#maxValueBytes);
    this.#adviser = new Adviser({
      service: port.advice,
      scheduler: this.#scheduler,
      log,
      signal: this.#stopping.signal,
      onAnswer: () => this.#pacing.wake(),
    });
    const link = (id: string): void => {
      const worker = this.#scheduler.workers.get(id);
      if (worker) this.#links.open(worker);
    };
    this.#workerList = new WorkerList(port, log, config, this.#scheduler, link, faults);
    const sources = { workers: this.#workerList, work, operators: config.follower };
    this.views = new StartViews(sources, settings, this.#stopping.signal);
    if (!port.waves) return;
    this.#upkeep = new Upkeep({
      port: port.waves,
      settings,
      log,
      table,
      waves: config.waves,
      scheduler: this.#scheduler,
      token: record.epoch,
      confirmedMs: () => this.#writer.confirmedMs,
      mayCall: () => this.#isFullyLoaded && !this.#isResigning,
      fenced: () => this.fenced('', 'machine-called'),
      workerEnded: (worker) => this.workerEnded(worker, 'upkeep'),
      wake: () => this.#pacing.wake(),
      signal: this.#stopping.signal,
    });
  }

  get token(): number {
    return this.#record.epoch;
  }

  get waves(): readonly WaveView[] {
    return this.#upkeep?.views ?? [];
  }

  /** How many runs are left in evacuated data centres. */
  get evacuatedRuns(): number {
    return this.#scheduler.evacuatedRuns();
  }

  /**
   * Schedules until another node has taken over or `stop` is called. `startedJobsLoaded` resolves
   * when the table holds all started jobs. The term does not wait for it: while callers' jobs
   * cannot be read, no lease would be renewed, and all running tasks would end.
   */
  async run(startedJobsLoaded: Promise<boolean> = Promise.resolve(true)): Promise<void> {
    // A node that was frozen may read its own claim together with the claim that has replaced it.
    const { leader } = this.#table;
    if (leader && leader.epoch > this.token) this.fenced('', 'replaced-before-start');
    const { generalEndMs } = this.#table.formerLeases;
    this.#log.emit('info', 'term-start', {
      epoch: this.token,
      jobs: this.#table.jobs.size,
      formerLeasesMs: Math.max(0, Math.round(generalEndMs - steadyMs())),
      silentWorkers: this.#inheritedEndsMs.size,
    });
    for (const job of this.#table.jobs.values()) loadJob(this.#scheduler, job);
    const { startsPerSecond } = this.#record;
    if (startsPerSecond !== undefined) this.#scheduler.restoreStartRate(startsPerSecond);
    this.#scheduler.inheritLeases(this.#inheritedEndsMs);
    this.#applyQueues();
    this.#applyEvacuations();
    this.#scheduler.restoreLearned(this.#table.learned);
    this.#subscriptions.push(
      this.#table.changes$.subscribe((change) => this.#workChanged(change)),
      this.#config.changes$.subscribe(() => this.#applyQueues()),
      this.#config.evacuations.changes$.subscribe(() => this.#applyEvacuations()),
    );
    this.#workerList.run().catch((err) => this.#failed('worker-list', err));
    this.#grants.run(this.#stopping.signal).catch((err) => this.#failed('lease-grants', err));
    this.#adviser.run().catch((err) => this.#failed('adviser', err));
    this.#load
      .run(() => this.#loadView(), this.#stopping.signal)
      .catch((err) => this.#failed('term-load', err));
    this.#scheduler.setFullyLoaded(false);
    // The first record passes on the bounds of former terms.
    this.#pacing.wake();
    startedJobsLoaded
      .then((isLoaded) => this.#startedJobsLoaded(isLoaded))
      .catch((err) => this.#failed('jobs', err));
    while (!this.#stopping.signal.aborted) await this.#round();
    this.#close();
  }

  stop(): void {
    this.#stopping.abort();
    this.#pacing.wake();
    this.#writer.stop();
  }

  /**
   * Resigns with the next write, optionally in favour of a successor, so that no node has to wait
   * for the leader to fall silent. Until that write is stored this node keeps scheduling: with a
   * slow store, all work would stall otherwise.
   */
  async resign(successor?: string): Promise<void> {
    this.#leases.successor = successor;
    this.#isResigning = true;
    this.#pacing.wake();
    await this.#ended;
  }

  leaseLimitMs(worker: string): number {
    return this.#leases.limitMs(worker, steadyMs());
  }

  ackedEnd(worker: string): number {
    return this.#scheduler.workers.get(worker)?.ackedEnd ?? 0;
  }

  isBusy(worker: string): boolean {
    return (this.#scheduler.workers.get(worker)?.runs.size ?? 0) > 0;
  }

  leaseSent(worker: string, leaseEndMs: number): void {
    this.#silence.contacted(worker);
    this.#scheduler.leaseSent(worker, leaseEndMs);
  }

  startSent(order: Order, windowEndMs: number): void {
    this.#silence.contacted(order.worker);
    this.#scheduler.startSent(order, windowEndMs, steadyMs());
    this.#load.startSent(this.views.ages(steadyMs()), this.#scheduler.waitedMs(order, steadyMs()));
  }

  isDue(order: Order): boolean {
    return this.#scheduler.shouldSend(order, steadyMs());
  }

  reported(worker: string, report: WorkerReport, askedMs: number): void {
    this.#load.reported();
    this.#silence.contacted(worker);
    const isFirst = !this.#scheduler.workers.get(worker)?.fenced;
    this.#scheduler.report(worker, report, askedMs, steadyMs());
    const state = this.#scheduler.workers.get(worker);
    if (state) this.#links.open(state);
    // Most reports change nothing. With hundreds of workers, a round for each report would take a
    // third of a core, and orders would be queued for seconds on a node that has no more.
    if (isFirst || this.#scheduler.hasPendingDecisions) this.#pacing.wake();
  }

  answered(order: Order, outcome: OrderOutcome, sendCompletedMs: number): void {
    this.#scheduler.answered(order, outcome, steadyMs(), sendCompletedMs);
    if (outcome !== 'done') this.#pacing.wake();
  }

  workerEnded(worker: string, reason: string): void {
    this.#silence.contacted(worker);
    this.#scheduler.workerEnded(worker, steadyMs(), reason);
    this.#links.close(worker);
    this.#pacing.wake();
  }

  /** Called when a worker has seen a higher token: another node is leader. */
  fenced(worker: string, reason: string): void {
    if (this.#stopping.signal.aborted) return;
    this.#log.emit('warn', 'term-fenced', { epoch: this.token, worker, reason });
    this.stop();
  }

  async #round(): Promise<void> {
    await this.#pacing.next(() => this.#untilNextRoundMs());
    if (this.#stopping.signal.aborted) return;
    this.#links.closeAllBut(this.#scheduler.workers);
    const startedMs = steadyMs();
    // A start that cannot be sent now is not bound either: its binding would be stored in vain, and
    // again later.
    const { isNodeBusy } = this.#load;
    const upkeepWrites = this.#upkeep?.round(startedMs) ?? [];
    const mayBindAhead = (this.#settings.cores ?? Infinity) >= MIN_AHEAD_CORES;
    const ahead: AheadMode = this.#isResigning || !mayBindAhead ? 'release' : 'plan';
    const limits =
      this.views.windowMs(startedMs) > 0
        ? { ...this.#pacing.limits, isNodeBusy, ahead }
        : NO_STARTS;
    const decisions = this.#scheduler.decide(startedMs, Date.now(), limits);
    this.#adviser.wake();
    this.#load.decided(steadyMs() - startedMs, decisions.isCutShort);
    const writes: KeyedWrite[] = decisions.changed.map((job) => ({
      key: progressKey(job.spec.id),
      value: job.encode(this.#maxValueBytes),
    }));
    writes.push(...upkeepWrites, ...this.#housekeeping.progressDeletions());
    writes.push(...this.#housekeeping.learnedWrites(this.#scheduler.learned));
    const isQuiet = steadyMs() - this.#lastWriteMs >= LEADER_WRITE_INTERVAL_MS;
    const resigns = this.#isResigning;
    const known = {
      workers: this.#scheduler.workers,
      links: this.#links.byWorker,
      isListLoaded: this.#workerList.isLoaded,
      isFullyLoaded: this.#isFullyLoaded,
    };
    const { silent, isComplete } = this.#silence.find(known, steadyMs());
    const mustReportSilent = this.#leases.updateSilent(silent, isComplete);
    // This node's own record accompanies each append: once read back, it shows that the append is
    // stored. Deletions of callers' records do not show that this node is alive, and other records
    // may be equal to earlier ones.
    const isDue =
      this.#leases.isCompact || steadyMs() - this.#lastRecord.sentMs >= LEADER_WRITE_INTERVAL_MS;
    const writesRecord = resigns || mustReportSilent || isQuiet || (writes.length > 0 && isDue);
    if (writesRecord) {
      const standby = this.#watchers?.standby;
      const retryAfterMs = this.#scheduler.retryAfter(steadyMs());
      const startsPerSecond = this.#scheduler.startsPerSecond();
      const delays = this.#scheduler.startDelays(steadyMs());
      const { startsPerSecond: _former, ...leases } = this.#leases.record(resigns, steadyMs());
      const rec = {
        ...leases,
        ...(standby && { standby }),
        ...(Object.keys(retryAfterMs).length > 0 && { retryAfterMs }),
        ...(startsPerSecond !== undefined && { startsPerSecond }),
        ...this.#startDelays.fields(delays, this.#watchers?.nodeCount, steadyMs()),
      };
      this.#lastRecord = { number: rec.number, sentMs: steadyMs() };
      writes.push({ key: leaderKey(), value: encodeLeader(rec) });
    }
    const starts = this.#sendStops(decisions.orders);
    this.#pacing.roundDone(startedMs);
    if (writes.length > 0) {
      const sentMs = steadyMs();
      if (!(await this.#write(writes))) {
        this.stop();
        return;
      }
      this.#lastWriteMs = sentMs;
      this.#scheduler.aheadStored(decisions.ahead);
      if (writesRecord) this.#leases.recordStored();
    }
    this.#upkeep?.stored();
    if (resigns) {
      this.#log.emit('info', 'resigned', { epoch: this.token });
      this.stop();
      return;
    }
    this.#scheduler.acknowledge(decisions.acks);
    for (const { entry } of decisions.acks.keys())
      this.#links.byWorker.get(entry.id)?.acknowledged();
    this.#pacing.send(starts);
    if (!decisions.isCutShort) return;
    if (limits === NO_STARTS) this.views.whenOpen(() => this.#pacing.wake());
    else this.#pacing.wakeWhenCapacity();
  }

  /**
   * Stores the records, and sends stops that become due meanwhile and starts that are bound ahead.
   * With a store that loses answers, an append takes seconds. Stops that waited for it would be too
   * late: a worker that announced that it is leaving would have ended, together with the long-running
   * tasks on it.
   */
  async #write(writes: readonly KeyedWrite[]): Promise<boolean> {
    const sentMs = steadyMs();
    this.#load.appendSent();
    try {
      return await pollUntilSettled(this.#writer.write(writes), STOP_POLL_INTERVAL_MS, () => {
        if (this.#stopping.signal.aborted) return;
        this.#sendStops(this.#scheduler.decideStops(steadyMs()));
        this.#sendAhead(sentMs);
      });
    } finally {
      this.#load.appendEnded();
    }
  }

  /**
   * Fails the job whose progress the store rejects, and returns the record that shows it as failed.
   * Its runs are stopped, and starts of it that are queued are not sent.
   */
  #replacementFor({ key }: KeyedWrite): KeyedWrite | undefined {
    const { kind, id } = parseKey(key) ?? {};
    const job = kind === 'progress' ? this.#scheduler.failJob(id!, Date.now()) : undefined;
    return job && { key, value: job.encodeEnd() };
  }

  /** Sends the starts that are bound ahead; the append that was sent at `sentMs` is unanswered. */
  #sendAhead(sentMs: number): void {
    const nowMs = steadyMs();
    if (this.views.windowMs(nowMs) === 0) return;
    const silentMs = Math.round(nowMs - sentMs);
    this.#pacing.send(this.#scheduler.startAhead(nowMs, this.#pacing.limits, silentMs));
  }

  /** Sends all orders except starts, and returns the starts: these are sent after the append. */
  #sendStops(orders: readonly Order[]): Order[] {
    this.#pacing.sendAtOnce(orders.filter(({ kind }) => kind !== 'start'));
    return orders.filter(({ kind }) => kind === 'start');
  }

  #loadView(): TermView {
    return {
      jobs: this.#scheduler.jobs.size,
      leaseLeftMs: this.#leases.limitMs('', steadyMs()),
      unstartedTasks: this.#table.unstartedTasks,
      evacuatedRuns: this.#scheduler.evacuatedRuns(),
      leaseGrants: this.#grants.count,
      startsPerSecond: this.#scheduler.startsPerSecond() ?? 0,
      aheadBindings: this.#scheduler.aheadCount,
      ...reachabilityOf(this.#scheduler.workers.values(), steadyMs()),
      ...this.#scheduler.backlog(steadyMs()),
    };
  }

  #untilNextRoundMs(): number {
    const dueMs = this.#scheduler.nextDueMs();
    if (dueMs === undefined) return MAX_ROUND_INTERVAL_MS;
    return Math.max(1, Math.min(MAX_ROUND_INTERVAL_MS, dueMs - Date.now()));
  }

  #send(order: Order): void {
    const link = this.#links.byWorker.get(order.worker);
    if (!link) {
      this.#scheduler.answered(order, 'unknown', steadyMs(), steadyMs());
      return;
    }
    link.order(order).catch((err) => {
      this.#failed('order', err);
      // Without an answer the task would be considered in transit to the worker forever.
      const sendCompletedMs = steadyMs() + withClockDrift(START_WINDOW_MS);
      this.#scheduler.answered(order, 'unknown', steadyMs(), sendCompletedMs);
    });
  }

  #startedJobsLoaded(isLoaded: boolean): void {
    this.#isFullyLoaded = isLoaded;
    this.#scheduler.setFullyLoaded(isLoaded);
    this.#pacing.wake();
  }

  #workChanged(change: WorkChange): void {
    switch (change.kind) {
      case 'leader':
        if (change.leader.epoch > this.token) this.fenced('', 'newer-leader-record');
        else this.#ownRecordReadBack(change.leader);
        // No round is needed: this node writes often, and its own records contain nothing new.
        return;
      case 'accepted':
        loadJob(this.#scheduler, this.#table.jobs.get(change.id)!);
        break;
      case 'cancelled':
        this.#scheduler.cancel(change.id, Date.now());
        break;
      case 'unsure':
        this.#scheduler.markChanged(change.id);
        break;
      default:
        this.#scheduler.dropJob(change.id);
    }
    this.#pacing.wake();
  }

  /**
   * Processes an own record that was read back and is therefore stored. Where the store carries out
   * appends but its answers are lost, no leases could be granted after some seconds otherwise, and
   * all running tasks would end.
   */
  #ownRecordReadBack({ epoch, number }: LeaderRecord): void {
    if (epoch !== this.token || number !== this.#lastRecord.number) return;
    this.#writer.readBack(this.#lastRecord.sentMs);
    this.#leases.recordStored();
  }

  #applyQueues(): void {
    const config = this.#config.current;
    if (!config) return;
    this.#scheduler.setQueues(config.queues);
    this.#adviser.setQueues(config.queues);
    this.#pacing.wake();
  }

  #applyEvacuations(): void {
    this.#scheduler.setEvacuated(this.#config.evacuations.current, steadyMs());
    this.#pacing.wake();
  }

  #failed(part: string, err: unknown): void {
    const reason = err instanceof Error ? (err.stack ?? err.message) : String(err);
    this.#log.emit('error', 'part-failed', { part, reason });
  }

  #close(): void {
    for (const subscription of this.#subscriptions) subscription.unsubscribe();
    this.#workerList.stop();
    this.#links.closeAllBut(new Map());
    this.#log.emit('info', 'term-end', { epoch: this.token });
    this.#end();
  }
}
