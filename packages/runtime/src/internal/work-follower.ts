import type { Observable } from 'rxjs';
import { merge } from 'rxjs';
import type { NodeLog } from '../node-log.js';
import type { PlatformPort } from '../platform-port.js';
import { delay, steadyMs } from './delay.js';
import { KeyedFollower } from './keyed-follower.js';
import type { WorkTable } from './work-table.js';

/** How long a read of the scheduling node's log waits at the store, in milliseconds. */
const READ_WAIT_MS = 400;

/** The pause between its reads, in milliseconds: each costs processor time and a call. */
const FOLLOW_GAP_MS = 250;

/**
 * The same of the callers' log, on nodes that only follow. Every node has to know a job within three
 * seconds; longer than for the other log, as each node reads both.
 */
const JOBS_WAIT_MS = 500;

const JOBS_GAP_MS = 500;

/** The pause between reads of the callers' log on the scheduling node: new jobs wait for them. */
const LEADER_JOBS_GAP_MS = 25;

/** How often a new scheduling node looks whether it knows all jobs that were begun, in ms. */
const WHOLE_LOOK_MS = 10;

/**
 * Keeps the table up to date from two logs: the scheduling node's, with who schedules and how far
 * jobs are, and the callers', with jobs and cancels. No order holds between them but this: a job is
 * stored before its first progress, and deleted before it.
 *
 * So the callers' log is loaded after the other one: a job that is found there has its progress in
 * what was loaded before. The other way round both could be deleted in between, and the job, found
 * without its progress, would run again.
 */
export class WorkFollower {
  readonly #table: WorkTable;

  readonly #jobs: KeyedFollower;

  /** Whether the callers' log is to be loaded once the other one is. */
  #isJobsLoadDue = true;

  #hasBegun = false;

  #runJobs: () => void = () => {};

  /** Follows what the scheduling node writes. */
  readonly workLog: KeyedFollower;

  /** Tells when reads of one of the logs begin to fail. */
  readonly lost$: Observable<void>;

  constructor(port: Pick<PlatformPort, 'workLog' | 'jobLog'>, log: NodeLog, table: WorkTable) {
    this.#table = table;
    this.workLog = new KeyedFollower(port.workLog, log, {
      name: 'work',
      waitMs: READ_WAIT_MS,
      gapMs: FOLLOW_GAP_MS,
    });
    this.#jobs = new KeyedFollower(port.jobLog, log, {
      name: 'jobs',
      waitMs: JOBS_WAIT_MS,
      gapMs: JOBS_GAP_MS,
    });
    this.lost$ = merge(this.workLog.lost$, this.#jobs.lost$);
    this.workLog.messages$.subscribe((message) => {
      if (message.kind === 'record') table.apply(message.rec);
      else if (message.kind === 'reset') this.#rolesReset();
      else this.#rolesCaughtUp();
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

  /** When the older of both views was last known to be complete, on the steady clock. */
  get completeAsOfMs(): number {
    return Math.min(this.workLog.completeAsOfMs, this.#jobs.completeAsOfMs);
  }

  /** Whether both logs have been read to their ends. */
  get isLoaded(): boolean {
    return this.workLog.isLoaded && this.#jobs.isLoaded && !this.#isJobsLoadDue;
  }

  /** Whether the newest read of one of the logs has failed. */
  get isLost(): boolean {
    return this.workLog.isLost || this.#jobs.isLost;
  }

  /** Follows until stopped. */
  async run(): Promise<void> {
    const rolesLoaded = new Promise<void>((resolve) => {
      this.#runJobs = resolve;
    });
    await Promise.all([this.workLog.run(), rolesLoaded.then(() => this.#jobs.run())]);
  }

  stop(): void {
    this.workLog.stop();
    this.#jobs.stop();
    this.#runJobs();
  }

  /** Whether this node schedules from now on. */
  setLeading(isLeading: boolean): void {
    this.#jobs.setGap(isLeading ? LEADER_JOBS_GAP_MS : JOBS_GAP_MS);
  }

  /**
   * Waits until what scheduling nodes wrote is read. While it is loaded anew a claim may be read
   * before the progress of jobs, and these, taken on with what was known before, would run twice.
   */
  async whenWorkLogLoaded(signal: AbortSignal): Promise<void> {
    const isRead = (): boolean => this.workLog.isLoaded && !this.#isJobsLoadDue;
    while (!signal.aborted && !isRead()) await delay(WHOLE_LOOK_MS, signal);
  }

  /**
   * Waits until the table holds every job that any scheduling node has begun whose records were read
   * until now. Workers list tasks of such jobs; a node that did not know the job yet would stop them.
   * False where the signal came first.
   */
  async whenStartedJobsLoaded(signal: AbortSignal): Promise<boolean> {
    const sinceMs = steadyMs();
    while (!signal.aborted && !this.#isWhole(sinceMs)) await delay(WHOLE_LOOK_MS, signal);
    return !signal.aborted;
  }

  /** Progress without a job is of one that this node has not read, or of one that is deleted. */
  #isWhole(sinceMs: number): boolean {
    if (!this.isLoaded) return false;
    return !this.#table.hasEarlyProgress || this.#jobs.completeAsOfMs >= sinceMs;
  }

  #rolesReset(): void {
    this.#table.reset();
    this.#isJobsLoadDue = true;
  }

  #rolesCaughtUp(): void {
    if (!this.#isJobsLoadDue) return;
    this.#isJobsLoadDue = false;
    if (this.#hasBegun) this.#jobs.reload();
    this.#hasBegun = true;
    this.#runJobs();
  }
}
