import type { Backlog, WorkerState } from '@redwingcrank/jobs';
import type { LogFields, NodeLog } from '../node-log.js';
import { delay, steadyMs } from './delay.js';

/** Interval of log lines about the load of a leader, in milliseconds: one line costs 0.1 ms. */
const REPORT_INTERVAL_MS = 1_000;

/**
 * A node whose event loop is idle for less than this part of a second has no processor time left: work
 * waits for other work.
 */
const MIN_IDLE_SHARE = 0.1;

const NO_STARTS_SENT = { workersAgeMs: 0, jobsAgeMs: 0, operatorsAgeMs: 0, startWaitMs: 0 };

/** Which workers with running tasks, or tasks that may run, this node is in contact with. */
export interface Reachability {
  /** Workers with tasks that run, or may run, that have not answered this node yet. */
  readonly unreached: number;
  /**
   * The longest time for which a connected worker with running tasks has not answered, in
   * milliseconds.
   */
  readonly quietMs: number;
}

/** Called with the starts a second, and the share of the time in which the node was busy. */
export type LoadListener = (startsPerSecond: number, busyShare: number) => void;

/** State of the term that is read for each report. */
export interface TermView extends Reachability, Backlog {
  readonly jobs: number;
  /** How long leases may be granted from now, in milliseconds; 0 or less if none are. */
  readonly leaseLeftMs: number;
  /** How many tasks of all jobs have yet to be started. */
  readonly unstartedTasks: number;
  /** How many runs are left in evacuated data centres. */
  readonly evacuatedRuns: number;
  /** How many tasks a second the leader can start; 0 if it was not overloaded recently. */
  readonly startsPerSecond: number;
  /** On how many workers other nodes may renew leases. */
  readonly leaseGrants: number;
  /** How many waiting tasks are bound ahead. */
  readonly aheadBindings: number;
}

/**
 * Logs the load of a leader, one line per second. A node whose decisions take seconds, a node short
 * of processor time and a node whose appends are not answered look the same from outside: leases
 * expire and another node takes over. These figures distinguish the three cases.
 */
export class TermLoad {
  readonly #log: NodeLog;

  readonly #epoch: number;

  readonly #onMeasured: LoadListener;

  #rounds = 0;

  #roundsCutShort = 0;

  #decideMs = 0;

  #longestDecideMs = 0;

  #appendMs = 0;

  /** The part of the latest report interval in which the event loop was not idle. */
  #busyShare = 0;

  #appendSentMs: number | undefined;

  #reports = 0;

  #starts = 0;

  /**
   * The maximum age of the views and the maximum delay since the binding, over the starts sent
   * since the last report.
   */
  #oldest = NO_STARTS_SENT;

  /** `onMeasured` is called once per second. */
  constructor(log: NodeLog, epoch: number, onMeasured: LoadListener = () => {}) {
    this.#log = log;
    this.#epoch = epoch;
    this.#onMeasured = onMeasured;
  }

  /** Whether the node had no processor time left when its load was last reported. */
  get isNodeBusy(): boolean {
    return this.#busyShare > 1 - MIN_IDLE_SHARE;
  }

  /** Records that a round of decisions took this long without its append. */
  decided(tookMs: number, isCutShort = false): void {
    this.#rounds += 1;
    if (isCutShort) this.#roundsCutShort += 1;
    this.#decideMs += tookMs;
    this.#longestDecideMs = Math.max(this.#longestDecideMs, tookMs);
  }

  appendSent(): void {
    this.#appendSentMs = steadyMs();
  }

  appendEnded(): void {
    this.#appendMs = this.#longestAppendMs(steadyMs());
    this.#appendSentMs = undefined;
  }

  /**
   * Records that a start was sent this long after its task was bound, based on views of these ages.
   */
  startSent({ workersAgeMs, jobsAgeMs, operatorsAgeMs }: LogFields, waitedMs: number): void {
    this.#starts += 1;
    this.#oldest = {
      workersAgeMs: Math.max(this.#oldest.workersAgeMs, Number(workersAgeMs)),
      jobsAgeMs: Math.max(this.#oldest.jobsAgeMs, Number(jobsAgeMs)),
      operatorsAgeMs: Math.max(this.#oldest.operatorsAgeMs, Number(operatorsAgeMs)),
      startWaitMs: Math.max(this.#oldest.startWaitMs, Math.round(waitedMs)),
    };
  }

  /** Records that a worker has answered a renewal. */
  reported(): void {
    this.#reports += 1;
  }

  /** Reports once per second until the signal is aborted. */
  async run(view: () => TermView, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const sinceMs = steadyMs();
      const usage = process.cpuUsage();
      const utilization = performance.eventLoopUtilization();
      await delay(REPORT_INTERVAL_MS, signal);
      this.#busyShare = performance.eventLoopUtilization(utilization).utilization;
      if (!signal.aborted) {
        this.#onMeasured((1_000 * this.#starts) / (steadyMs() - sinceMs), this.#busyShare);
        this.#report(sinceMs, usage, view());
      }
    }
  }

  #report(sinceMs: number, usage: NodeJS.CpuUsage, view: TermView): void {
    const nowMs = steadyMs();
    const { user, system } = process.cpuUsage(usage);
    this.#log.emit('info', 'term-load', {
      epoch: this.#epoch,
      lateMs: Math.round(nowMs - sinceMs - REPORT_INTERVAL_MS),
      cpuMs: Math.round((user + system) / 1_000),
      busyPercent: Math.round(100 * this.#busyShare),
      rounds: this.#rounds,
      roundsCutShort: this.#roundsCutShort,
      decideMs: Math.round(this.#decideMs),
      longestDecideMs: Math.round(this.#longestDecideMs),
      appendMs: Math.round(this.#longestAppendMs(nowMs)),
      reports: this.#reports,
      starts: this.#starts,
      ...this.#oldest,
      jobs: view.jobs,
      unreached: view.unreached,
      quietMs: Math.round(view.quietMs),
      unstartedTasks: view.unstartedTasks,
      startsPerSecond: Math.round(view.startsPerSecond),
      aheadBindings: view.aheadBindings,
      evacuatedRuns: view.evacuatedRuns,
      leaseGrants: view.leaseGrants,
      idleJobs: view.idleJobs,
      longestIdleMs: Math.round(view.longestIdleMs),
      rackWaitingTasks: view.rackWaitingTasks,
      adviceWaitingSteps: view.adviceWaitingSteps,
      unplacedTasks: view.unplacedTasks,
      untriedTasks: view.untriedTasks,
      unplacedBestEffort: view.unplacedBestEffort,
      untriedBestEffort: view.untriedBestEffort,
      reservedPercent: view.reservedPercent,
      longRunningPercent: view.longRunningPercent,
      bestEffortPercent: view.bestEffortPercent,
      leaseLeftMs: Math.round(view.leaseLeftMs),
      // The line itself may be late, or dropped, on a node that is short of processor time.
      droppedLines: this.#log.dropped,
    });
    this.#rounds = 0;
    this.#roundsCutShort = 0;
    this.#decideMs = 0;
    this.#longestDecideMs = 0;
    this.#appendMs = 0;
    this.#reports = 0;
    this.#starts = 0;
    this.#oldest = NO_STARTS_SENT;
  }

  /**
   * Returns the duration of the longest append; an append in flight counts with the time that it
   * has taken.
   */
  #longestAppendMs(nowMs: number): number {
    return Math.max(this.#appendMs, nowMs - (this.#appendSentMs ?? nowMs));
  }
}

/** Counts the workers that have not answered, and finds the longest silence of those that have. */
export function reachabilityOf(workers: Iterable<WorkerState>, nowMs: number): Reachability {
  let unreached = 0;
  let quietMs = 0;
  for (const { runs, fenced, answeredMs } of workers) {
    if (runs.size > 0 && !fenced) unreached += 1;
    else if (runs.size > 0) quietMs = Math.max(quietMs, nowMs - answeredMs);
  }
  return { unreached, quietMs };
}
