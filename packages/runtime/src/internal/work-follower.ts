import type { Observable } from 'rxjs';
import { merge } from 'rxjs';
import type { NodeLog } from '../node-log.js';
import type { PlatformPort } from '../platform-port.js';
import { delay, steadyMs } from './delay.js';
import { KeyedFollower } from './keyed-follower.js';
import type { WorkTable } from './work-table.js';

/** How long a read of the work log waits at the store, in milliseconds. */
const READ_WAIT_MS = 400;

/**
 * The pause between reads of the work log, in milliseconds: each read costs processor time and a
 * call.
 */
const READ_GAP_MS = 250;

/**
 * The same wait for the callers' log on nodes that are not leader. Every node must know a job
 * within three seconds. The wait and the pause are longer than for the work log, as each node reads
 * both.
 */
const JOBS_WAIT_MS = 500;

const JOBS_GAP_MS = 500;

/**
 * The pause between reads of the callers' log on the leader, in milliseconds: new jobs wait for
 * these reads.
 */
const LEADER_JOBS_GAP_MS = 25;

/**
 * A view of the callers' log that is older than this may lack jobs that other nodes know, in
 * milliseconds: every node must know a job within three seconds.
 */
const MAX_JOBS_VIEW_AGE_MS = 3_000;

/** Interval of checks of a new leader whether the logs are loaded, in milliseconds. */
const LOADED_POLL_INTERVAL_MS = 10;

/**
 * Keeps the table up to date from two logs: the leader's work log, with who is leader and the
 * progress of jobs, and the callers' log, with jobs and cancels. Records of the two logs are
 * ordered in only one respect: a job is stored before its first progress and deleted before it.
 *
 * Therefore the callers' log is loaded after the work log: the progress of a job that is found
 * there is among the records loaded before. In the opposite order both could be deleted in between,
 * and the job, loaded without its progress, would run again.
 */
export class WorkFollower {
  readonly #table: WorkTable;

  readonly #jobs: KeyedFollower;

  /** Whether the callers' log must be loaded once the work log is. */
  #isJobsLoadDue = true;

  #hasStarted = false;

  #runJobs: () => void = () => {};

  /** The follower of the work log, which the leader writes. */
  readonly workLog: KeyedFollower;

  /** Emits when reads of one of the logs start to fail. */
  readonly lost$: Observable<void>;

  constructor(port: Pick<PlatformPort, 'workLog' | 'jobLog'>, log: NodeLog, table: WorkTable) {
    this.#table = table;
    this.workLog = new KeyedFollower(port.workLog, log, {
      name: 'work',
      waitMs: READ_WAIT_MS,
      gapMs: READ_GAP_MS,
    });
    this.#jobs = new KeyedFollower(port.jobLog, log, {
      name: 'jobs',
      waitMs: JOBS_WAIT_MS,
      gapMs: JOBS_GAP_MS,
    });
    this.lost$ = merge(this.workLog.lost$, this.#jobs.lost$);
    this.workLog.messages$.subscribe((message) => {
      if (message.kind === 'record') table.apply(message.rec);
      else if (message.kind === 'reset') this.#workLogReset();
      else this.#workLogCaughtUp();
    });
    this.#jobs.messages$.subscribe((message) => {
      if (message.kind === 'record') table.apply(message.rec);
      else if (message.kind === 'reset') table.resetJobs();
    });
  }

  /** When the view of callers' jobs and cancels was last known to be complete, on the steady clock. */
  get jobsCompleteAsOfMs(): number {
    return this.#jobs.completeAsOfMs;
  }

  /** The offset of the callers' log up to which it was read; undefined before it is loaded. */
  get nextJob(): number | undefined {
    return this.#jobs.next;
  }

  /** When the less recent of the two views was last known to be complete, on the steady clock. */
  get completeAsOfMs(): number {
    return Math.min(this.workLog.completeAsOfMs, this.#jobs.completeAsOfMs);
  }

  /** Whether both logs have been read to their ends. */
  get isLoaded(): boolean {
    return this.workLog.isLoaded && this.#jobs.isLoaded && !this.#isJobsLoadDue;
  }

  /** Whether both logs have been read, and the callers' log recently. */
  get hasRecentJobs(): boolean {
    return this.isLoaded && steadyMs() - this.jobsCompleteAsOfMs <= MAX_JOBS_VIEW_AGE_MS;
  }

  /** Whether the latest read of one of the logs has failed. */
  get isLost(): boolean {
    return this.workLog.isLost || this.#jobs.isLost;
  }

  /** Follows until stopped. */
  async run(): Promise<void> {
    const workLogLoaded = new Promise<void>((resolve) => {
      this.#runJobs = resolve;
    });
    await Promise.all([this.workLog.run(), workLogLoaded.then(() => this.#jobs.run())]);
  }

  stop(): void {
    this.workLog.stop();
    this.#jobs.stop();
    this.#runJobs();
  }

  /** Sets whether this node is leader. */
  setLeading(isLeading: boolean): void {
    this.#jobs.setGap(isLeading ? LEADER_JOBS_GAP_MS : JOBS_GAP_MS);
  }

  /**
   * Waits until the work log is loaded. While it is loaded again, a claim may be read before the
   * progress of jobs; jobs that were adopted with their earlier progress would run twice.
   */
  async whenWorkLogLoaded(signal: AbortSignal): Promise<void> {
    const isWorkLogLoaded = (): boolean => this.workLog.isLoaded && !this.#isJobsLoadDue;
    while (!signal.aborted && !isWorkLogLoaded()) await delay(LOADED_POLL_INTERVAL_MS, signal);
  }

  /**
   * Waits until the table holds every job that any leader has started and whose records were read
   * until now. Workers list tasks of such jobs, and a leader that did not know the job yet would
   * stop them. Returns false if the signal was aborted first.
   */
  async whenStartedJobsLoaded(signal: AbortSignal): Promise<boolean> {
    const sinceMs = steadyMs();
    while (!signal.aborted && !this.#isFullyLoaded(sinceMs))
      await delay(LOADED_POLL_INTERVAL_MS, signal);
    return !signal.aborted;
  }

  /**
   * Progress without a job belongs to a job that this node has not read yet, or to a deleted one.
   */
  #isFullyLoaded(sinceMs: number): boolean {
    if (!this.isLoaded) return false;
    return !this.#table.hasEarlyProgress || this.#jobs.completeAsOfMs >= sinceMs;
  }

  #workLogReset(): void {
    this.#table.reset();
    this.#isJobsLoadDue = true;
  }

  #workLogCaughtUp(): void {
    if (!this.#isJobsLoadDue) return;
    this.#isJobsLoadDue = false;
    if (this.#hasStarted) this.#jobs.reload();
    this.#hasStarted = true;
    this.#runJobs();
  }
}
