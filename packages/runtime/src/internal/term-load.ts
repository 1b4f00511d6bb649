import type { Backlog, WorkerState } from '@redwingcrank/jobs';
import type { LogFields, NodeLog } from '../node-log.js';
import { delay, steadyMs } from './delay.js';

/** How often a scheduling node tells how it fares, in milliseconds: one line costs 0.1 ms. */
const TELL_MS = 1_000;

const NONE_SENT = { workersAgeMs: 0, jobsAgeMs: 0, startWaitMs: 0 };

/** How far the workers are reached on which something runs, or may. */
export interface Reachability {
  /** Workers on which something runs, or may, and that have not answered this node yet. */
  readonly unreached: number;
  /** The longest time for which any reached worker with runs has not answered, in milliseconds. */
  readonly quietMs: number;
}

/** What the term itself knows, read when its load is told. */
export interface TermView extends Reachability, Backlog {
  readonly jobs: number;
  /** For how long leases may be given from now, in milliseconds; 0 or less: none are. */
  readonly leaseLeftMs: number;
}

/**
 * How a scheduling node fares, one line a second. A node that decides for seconds on end, that is
 * short of processor time or whose appends are not answered looks alike from outside: leases lapse
 * and another node takes over. These figures tell the three apart.
 */
export class TermLoad {
  readonly #log: NodeLog;

  readonly #epoch: number;

  #rounds = 0;

  #decideMs = 0;

  #longestDecideMs = 0;

  #appendMs = 0;

  #appendSentMs: number | undefined;

  #reports = 0;

  #starts = 0;

  /** Of the starts that were sent: how old the views were at most, how long after their binding. */
  #oldest = NONE_SENT;

  constructor(log: NodeLog, epoch: number) {
    this.#log = log;
    this.#epoch = epoch;
  }

  /** A round of decisions took so long, without its append. */
  decided(tookMs: number): void {
    this.#rounds += 1;
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

  /** A start is sent, so long after its task was bound, by views of these ages. */
  startSent({ workersAgeMs, jobsAgeMs }: LogFields, waitedMs: number): void {
    this.#starts += 1;
    this.#oldest = {
      workersAgeMs: Math.max(this.#oldest.workersAgeMs, Number(workersAgeMs)),
      jobsAgeMs: Math.max(this.#oldest.jobsAgeMs, Number(jobsAgeMs)),
      startWaitMs: Math.max(this.#oldest.startWaitMs, Math.round(waitedMs)),
    };
  }

  /** A worker has answered a renewal. */
  reported(): void {
    this.#reports += 1;
  }

  /** Tells once a second, until the signal is given. */
  async run(view: () => TermView, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const sinceMs = steadyMs();
      const usage = process.cpuUsage();
      await delay(TELL_MS, signal);
      if (!signal.aborted) this.#tell(sinceMs, usage, view());
    }
  }

  #tell(sinceMs: number, usage: NodeJS.CpuUsage, view: TermView): void {
    const nowMs = steadyMs();
    const { user, system } = process.cpuUsage(usage);
    this.#log.emit('info', 'term-load', {
      epoch: this.#epoch,
      lateMs: Math.round(nowMs - sinceMs - TELL_MS),
      cpuMs: Math.round((user + system) / 1_000),
      rounds: this.#rounds,
      decideMs: Math.round(this.#decideMs),
      longestDecideMs: Math.round(this.#longestDecideMs),
      appendMs: Math.round(this.#longestAppendMs(nowMs)),
      reports: this.#reports,
      starts: this.#starts,
      ...this.#oldest,
      jobs: view.jobs,
      unreached: view.unreached,
      quietMs: Math.round(view.quietMs),
      idleJobs: view.idleJobs,
      longestIdleMs: Math.round(view.longestIdleMs),
      reservedPercent: view.reservedPercent,
      bestEffortPercent: view.bestEffortPercent,
      leaseLeftMs: Math.round(view.leaseLeftMs),
      // Of a node that is short of time the line itself may come late, or not at all.
      droppedLines: this.#log.dropped,
    });
    this.#rounds = 0;
    this.#decideMs = 0;
    this.#longestDecideMs = 0;
    this.#appendMs = 0;
    this.#reports = 0;
    this.#starts = 0;
    this.#oldest = NONE_SENT;
  }

  /** The append that is under way counts with the time that it has taken so far. */
  #longestAppendMs(nowMs: number): number {
    return Math.max(this.#appendMs, nowMs - (this.#appendSentMs ?? nowMs));
  }
}

/** The workers that have not answered, and the quietest of those that have. */
export function reachabilityOf(workers: Iterable<WorkerState>, nowMs: number): Reachability {
  let unreached = 0;
  let quietMs = 0;
  for (const { runs, fenced, answeredMs } of workers) {
    if (runs.size > 0 && !fenced) unreached += 1;
    else if (runs.size > 0) quietMs = Math.max(quietMs, nowMs - answeredMs);
  }
  return { unreached, quietMs };
}
