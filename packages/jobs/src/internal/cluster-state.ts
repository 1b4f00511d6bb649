import type { Usage } from '../backlog.js';
import type { JobState, QueuePolicy } from '../job.js';
import type { JobProgress, TaskProgress } from '../job-progress.js';
import type { Order } from '../order.js';
import type { TaskRef } from '../task-ref.js';
import { taskName } from '../task-ref.js';
import type { WorkerEntry } from '../worker.js';
import { EvacuatedDataCentres } from './evacuated-data-centres.js';
import { findTask } from './runs.js';
import { StepDurations } from './step-durations.js';
import type { StopReason } from './stop-reason.js';
import { IdleWaitEstimator } from './idle-wait-estimator.js';
import { WorkBacklog } from './work-backlog.js';
import { dropRun, isBoundTo } from './task-runs.js';
import { PlacementAdvice } from './placement-advice.js';
import { RackPreference } from './rack-preference.js';
import { objectiveMsOf, objectiveOutcomeOf } from './urgency.js';
import { UrgentReserve } from './urgent-reserve.js';
import type { WorkerRun } from './worker-run.js';
import { lostCpuMs } from './worker-run.js';
import { WorkerState } from './worker-state.js';

/** The maximum number of attempts of a task whose queue is no longer known. */
const DEFAULT_ATTEMPTS = 3;

/**
 * A worker that has never answered this leader for longer than this, in milliseconds, offers no
 * capacity.
 */
const FIRST_ANSWER_MS = 10_000;

/** Times that govern scheduling decisions, in milliseconds of the node's monotonic clock. */
export interface SchedulerTiming {
  /** After its latest renewal, the leases of an unreachable worker expire within this time. */
  readonly leaseMs: number;
  /** At the start of a term: how long leases granted by an earlier leader may last. */
  readonly inheritedLeaseMs: number;
  /** A run that makes no progress for this time is stopped. */
  readonly stallTimeoutMs: number;
  /** A stop is sent again if its run has not ended after this time. */
  readonly stopRetryMs: number;
}

/** Logs a scheduling decision. */
export type EventLogger = (
  event: string,
  fields: Record<string, string | number | boolean>,
) => void;

/** Jobs and workers as known to the leader, and what has changed since the last round. */
export class ClusterState {
  readonly timing: SchedulerTiming;

  readonly logEvent: EventLogger;

  readonly startedMs: number;

  /** When the latest round began, on the monotonic clock. */
  roundMs: number;

  /** Time of day of the latest round. Jobs that end get this time as their end. */
  timeOfDayMs = 0;

  readonly jobs = new Map<string, JobProgress>();

  readonly queues = new Map<string, QueuePolicy>();

  readonly workers = new Map<string, WorkerState>();

  readonly changed = new Set<JobProgress>();

  /** Maximum size of the progress of one job, in bytes. */
  maxProgressBytes = Infinity;

  readonly endsProcessed = new Set<WorkerState>();

  orders: Order[] = [];

  readonly evacuated = new EvacuatedDataCentres();

  readonly idleWaits: IdleWaitEstimator;

  readonly work: WorkBacklog;

  readonly urgentReserve = new UrgentReserve();

  readonly durations = new StepDurations();

  readonly racks: RackPreference;

  readonly advice = new PlacementAdvice();

  /** Whether any queue has steps that only approved workers may run. */
  hasAdvice = false;

  /** False while jobs that were started earlier may not have been loaded yet. */
  isFullyLoaded = true;

  constructor(timing: SchedulerTiming, startedMs: number, logEvent: EventLogger) {
    this.timing = timing;
    this.startedMs = startedMs;
    this.roundMs = startedMs;
    this.idleWaits = new IdleWaitEstimator(startedMs);
    this.work = new WorkBacklog(startedMs);
    this.logEvent = logEvent;
    this.racks = new RackPreference(logEvent, startedMs);
  }

  /** Returns whether the job is unknown but may have been started earlier. */
  isUnloaded(jobId: string): boolean {
    return !this.isFullyLoaded && !this.jobs.has(jobId);
  }

  addWorker(entry: WorkerEntry): WorkerState {
    const worker = new WorkerState(entry, this.startedMs + this.timing.inheritedLeaseMs);
    worker.knownSinceMs = this.startedMs;
    this.workers.set(entry.id, worker);
    return worker;
  }

  /**
   * Returns the share of the processors that tasks have reserved, from 0 to 1, on listed workers
   * outside evacuated data centres; 1 if there is no such worker.
   */
  reservedShare(): number {
    return this.#shareOf(({ cpuMilli }) => cpuMilli);
  }

  /** Returns the use of the processors of listed workers outside evacuated data centres. */
  usage(): Usage {
    return {
      reservedPercent: Math.round(100 * this.reservedShare()),
      longRunningPercent: Math.round(
        100 * this.#shareOf(({ longRunningMilli }) => longRunningMilli),
      ),
      bestEffortPercent: Math.round(100 * this.#shareOf(({ bestEffortMilli }) => bestEffortMilli)),
    };
  }

  /** Whether a worker is known only by its entry, which anybody may have written. */
  #neverAnswers({ fenced, knownSinceMs }: WorkerState): boolean {
    return !fenced && this.roundMs - knownSinceMs > FIRST_ANSWER_MS;
  }

  #shareOf(milliOf: (worker: WorkerState) => number): number {
    let taken = 0;
    let total = 0;
    for (const worker of this.workers.values()) {
      if (worker.listed && !worker.isEvacuated && !this.#neverAnswers(worker)) {
        taken += milliOf(worker);
        total += worker.entry.capacity.cpuMilli;
      }
    }
    return total > 0 ? taken / total : 1;
  }

  /** Returns whether the record of a job has room for its tasks to be bound to these workers. */
  hasRecordRoom(job: JobProgress, bindings: Iterable<readonly [TaskProgress, string]>): boolean {
    return job.recordRoom.holds(bindings, this.maxProgressBytes);
  }

  endJob(job: JobProgress, state: JobState, timeOfDayMs: number): void {
    job.finish(state, timeOfDayMs);
    this.changed.add(job);
    this.logJobEnd(job);
  }

  /** Fails a task, with all members if it belongs to a gang, and its job. */
  failTask(job: JobProgress, ref: TaskRef): void {
    const tasks = job.occurrences.get(ref.occurrence)?.steps[ref.step] ?? [];
    const isGang = job.spec.steps[ref.step]!.gang;
    for (const [index, task] of tasks.entries()) {
      if (isGang || index === ref.index) task.phase = 'failed';
    }
    this.endJob(job, 'failed', this.timeOfDayMs);
  }

  /** Logs the end of a job, with the time that it took, its objective and whether it was met. */
  logJobEnd({ spec, state, endedMs }: JobProgress): void {
    const queue = this.queues.get(spec.queue);
    const tookMs = Math.round(endedMs - spec.acceptedMs);
    const objectiveMs = queue ? Math.round(objectiveMsOf(spec, queue)) : 0;
    this.logEvent('job-ended', {
      job: spec.id,
      queue: spec.queue,
      state,
      tookMs,
      objectiveMs,
      ...(state === 'completed' && { objective: objectiveOutcomeOf(tookMs, objectiveMs) }),
    });
  }

  /** Returns the number of failures of a task after which the job fails. */
  maxAttemptsOf({ spec }: JobProgress): number {
    return this.queues.get(spec.queue)?.maxAttempts ?? DEFAULT_ATTEMPTS;
  }

  /** Drops a run of a bound task. If it was the only one, the task waits for its next start. */
  release(job: JobProgress, task: TaskProgress, run: number, checkpoint: string): void {
    if (!dropRun(task, run)) task.phase = 'waiting';
    if (checkpoint) task.checkpoint = checkpoint;
    this.changed.add(job);
  }

  releaseAll(worker: WorkerState): void {
    for (const [key, run] of worker.runs) this.releaseRun(worker, key, run);
  }

  releaseRun(worker: WorkerState, key: string, run: WorkerRun): void {
    worker.remove(key);
    const job = this.jobs.get(run.ref.jobId);
    const task = job && findTask(job, run.ref);
    if (!job || !task || !isBoundTo(task, run.run, worker.entry.id)) return;
    this.release(job, task, run.run, run.checkpoint);
  }

  /**
   * Orders a run to stop. A repeated stop keeps the reason of the first one, because later reasons
   * may only be consequences of that stop.
   */
  stopRun(worker: WorkerState, run: WorkerRun, reason: StopReason, nowMs: number): void {
    const isRepeat = run.stopSentMs > 0;
    run.stopSentMs = nowMs;
    run.stopReason ??= reason;
    this.orders.push({ kind: 'stop', worker: worker.entry.id, task: run.ref, run: run.run });
    this.logEvent('task-stop', {
      task: taskName(run.ref),
      run: run.run,
      worker: worker.entry.id,
      reason: run.stopReason,
      lostCpuMs: isRepeat ? 0 : lostCpuMs(run, nowMs),
    });
  }
}
