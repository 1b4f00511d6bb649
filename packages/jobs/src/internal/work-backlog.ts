import { capacityClassOf, refusalKeyOf } from '../admission.js';
import type { QueuePolicy, StepSpec } from '../job.js';
import type { JobProgress } from '../job-progress.js';
import type { StartDelays } from '../start-delay.js';
import type { ClusterState } from './cluster-state.js';
import { CapacityWait } from './capacity-wait.js';
import { AMPLE_CAPACITY_BELOW } from './idle-jobs.js';
import { RecentSum } from './recent-sum.js';
import type { WaitCause } from './obstacle.js';
import type { JobWork } from './remaining-work.js';
import { jobWorkOf } from './remaining-work.js';
import { WorkByTime } from './work-by-time.js';

/** The time over which completed work is counted, in milliseconds. */
const RATE_WINDOW_MS = 4_000;

/** How long jobs must have waited for capacity before a delay is known, in milliseconds. */
const MIN_WAITING_MS = 2_000;

/** Whether jobs wait for capacity is judged over intervals of this length, in milliseconds. */
const INTERVAL_MS = 250;

/** The rate is unknown with fewer completed tasks: it would be off by a quarter. */
const MIN_COMPLETED_TASKS = 16;

/** The largest number of delays in a record, which every node reads several times a second. */
const MAX_DELAYS = 32;

/** What a job adds to the sums. */
interface Contribution {
  readonly pool: string;
  readonly priority: number;
  readonly work: JobWork;
}

/** The tasks of one capacity class and queue priority. */
interface PriorityWork {
  /** The waiting work, each part until it is of no use any more. */
  readonly waiting: WorkByTime;
  /** The waiting work, including what is of no use any more. */
  total: number;
  readonly wait: CapacityWait;
}

/**
 * Estimates how long a new job waits for its first start: the work that waits and comes before it,
 * divided by the rate at which its capacity class completes work. Both are measured in the callers'
 * estimates, so that a constant error cancels out. Jobs that end too late to be of use in any case
 * come after a new job, and their work is left out.
 *
 * The sums follow the jobs that each round has changed; no round goes through all jobs or tasks.
 */
export class WorkBacklog {
  /** By job id. */
  readonly #contributions = new Map<string, Contribution>();

  /** By capacity class and queue priority. */
  readonly #waiting = new Map<string, Map<number, PriorityWork>>();

  /** The completed work by capacity class, in core milliseconds. */
  readonly #completed = new Map<string, RecentSum>();

  /** Whether the queues have changed since the last round. */
  #areQueuesNew = false;

  #intervalStartMs: number;

  /** Whether the limits ended a round of this interval. */
  #hasCutShort = false;

  constructor(nowMs: number) {
    this.#intervalStartMs = nowMs;
  }

  /** Adds a job that is not known yet. */
  add(job: JobProgress, queue: QueuePolicy | undefined): void {
    const work = queue && jobWorkOf(job, queue);
    if (!queue || !work) return;
    const contribution = { pool: queue.pool, priority: queue.priority, work };
    this.#contributions.set(job.spec.id, contribution);
    this.#addWork(contribution, 1);
  }

  /** Has the next round read all jobs again, as some may belong to other queues or priorities. */
  queuesChanged(): void {
    this.#areQueuesNew = true;
  }

  /** Removes a job that is no longer kept. */
  remove(id: string): void {
    const former = this.#contributions.get(id);
    if (former) this.#addWork(former, -1);
    this.#contributions.delete(id);
  }

  /**
   * Records the start of a task, with how long its step had waited and why. Only first steps show
   * what a new job finds: later ones belong to older jobs and go first.
   */
  started({ pool, priority }: QueuePolicy, step: StepSpec, waitMs: number, cause: WaitCause): void {
    if (step.lasting || step.after.length > 0) return;
    this.#workOf(capacityClassOf(pool, step.fills), priority).wait.started(waitMs, cause);
  }

  /**
   * Reads the jobs that a round has changed. What waits after a round that its limits ended may not
   * lack capacity.
   */
  roundDone(state: ClusterState, isCutShort: boolean, nowMs: number): void {
    const jobs = this.#areQueuesNew ? state.jobs.values() : state.changed;
    for (const job of jobs) this.#update(job, state.queues.get(job.spec.queue), nowMs);
    this.#areQueuesNew = false;
    this.#hasCutShort ||= isCutShort;
    if (nowMs - this.#intervalStartMs < INTERVAL_MS) return;
    const isNearlyFull = !this.#hasCutShort && state.reservedShare() >= AMPLE_CAPACITY_BELOW;
    for (const byPriority of this.#waiting.values()) {
      for (const { total, wait } of byPriority.values())
        wait.endInterval(total > 0 && isNearlyFull, this.#intervalStartMs);
    }
    this.#intervalStartMs = nowMs;
    this.#hasCutShort = false;
  }

  /**
   * Returns the delay of a new job for each capacity class and queue priority whose jobs have waited
   * for capacity for some time; the longest ones if there are many.
   */
  startDelays(nowMs: number, timeOfDayMs: number): StartDelays {
    const found: { key: string; delayMs: number; rate: number }[] = [];
    for (const [capacityClass, byPriority] of this.#waiting) {
      for (const [priority, { wait }] of byPriority) {
        const rate = this.#rate(capacityClass, wait.sinceMs, nowMs);
        const delayMs =
          rate > 0 ? Math.round(workAhead(byPriority, priority, timeOfDayMs) / rate) : 0;
        if (delayMs > 0) found.push({ key: refusalKeyOf(capacityClass, priority), delayMs, rate });
      }
    }
    found.sort((a, b) => b.delayMs - a.delayMs).splice(MAX_DELAYS);
    return {
      startDelayMs: Object.fromEntries(found.map(({ key, delayMs }) => [key, delayMs])),
      workRates: Object.fromEntries(
        found.map(({ key, rate }) => [key, Number(rate.toPrecision(4))]),
      ),
    };
  }

  /** Returns the completed work a millisecond since jobs wait for capacity; 0 if it is unknown. */
  #rate(capacityClass: string, waitingSinceMs: number, nowMs: number): number {
    if (nowMs - waitingSinceMs < MIN_WAITING_MS) return 0;
    const overMs = Math.min(RATE_WINDOW_MS, nowMs - waitingSinceMs);
    const { amount, count } = this.#completedOf(capacityClass).since(nowMs - overMs);
    return count < MIN_COMPLETED_TASKS ? 0 : amount / overMs;
  }

  #update(job: JobProgress, queue: QueuePolicy | undefined, nowMs: number): void {
    const { id } = job.spec;
    const former = this.#contributions.get(id);
    this.remove(id);
    this.add(job, queue);
    const newest = this.#contributions.get(id);
    // What an earlier leader completed says nothing about the rate now.
    if (former && former.pool === newest?.pool)
      this.#recordCompleted(former.pool, former.work, newest.work, nowMs);
  }

  #recordCompleted(pool: string, before: JobWork, after: JobWork, nowMs: number): void {
    for (const kind of ['reserved', 'bestEffort'] as const) {
      const tasks = after[kind].doneTasks - before[kind].doneTasks;
      if (tasks > 0) {
        const completed = this.#completedOf(capacityClassOf(pool, kind === 'bestEffort'));
        completed.add(after[kind].done - before[kind].done, tasks, nowMs);
      }
    }
  }

  #addWork({ pool, priority, work }: Contribution, sign: 1 | -1): void {
    for (const kind of ['reserved', 'bestEffort'] as const) {
      const { waiting } = work[kind];
      if (waiting > 0) {
        const sums = this.#workOf(capacityClassOf(pool, kind === 'bestEffort'), priority);
        sums.total += sign * waiting;
        sums.waiting.add(sign * waiting, work.worthlessMs);
      }
    }
  }

  #workOf(capacityClass: string, priority: number): PriorityWork {
    const byPriority = this.#waiting.get(capacityClass) ?? new Map<number, PriorityWork>();
    this.#waiting.set(capacityClass, byPriority);
    const known = byPriority.get(priority);
    if (known) return known;
    const work = { waiting: new WorkByTime(), total: 0, wait: new CapacityWait() };
    byPriority.set(priority, work);
    return work;
  }

  #completedOf(capacityClass: string): RecentSum {
    const completed = this.#completed.get(capacityClass) ?? new RecentSum(RATE_WINDOW_MS);
    this.#completed.set(capacityClass, completed);
    return completed;
  }
}

/** Returns the waiting work that is not less urgent and may still be of use, in core milliseconds. */
function workAhead(
  byPriority: ReadonlyMap<number, PriorityWork>,
  priority: number,
  timeOfDayMs: number,
): number {
  let ahead = 0;
  for (const [other, { waiting }] of byPriority)
    if (other <= priority) ahead += waiting.at(timeOfDayMs);
  return ahead;
}
