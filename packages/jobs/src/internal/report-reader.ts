import { capacityClassOf } from '../admission.js';
import type { StepSpec } from '../job.js';
import { PLAIN_STEP, isFinal } from '../job.js';
import type { JobProgress, TaskProgress } from '../job-progress.js';
import type { TaskRef } from '../task-ref.js';
import { parseTaskName, taskName } from '../task-ref.js';
import type { EndedRow, RunningRow, WorkerReport } from '../worker.js';
import type { BegunJobs } from './begun-jobs.js';
import type { ClusterState } from './cluster-state.js';
import { CopyEnds } from './copy-ends.js';
import type { CrashSuspects } from './crash-suspects.js';
import { choosePaces } from './pacing.js';
import type { TailLatencyModel } from './tail-latency-model.js';
import { findTask, newRun, stepTasks } from './runs.js';
import { isBoundTo } from './task-runs.js';
import type { WorkerRun } from './worker-run.js';
import type { WorkerState } from './worker-state.js';

/** The maximum number of ends in one report; a report with this many may omit others. */
const MAX_REPORTED_ENDS = 500;

/**
 * How long a run must have lasted for its checkpoint to be stored with the job's progress, in
 * milliseconds. The stored one is needed only where leader and worker are lost together, and it
 * makes the record twice as long.
 */
const MIN_STORED_RUN_MS = 5_000;

/** A target that was missed for this long is logged, in milliseconds. */
const LOGGED_MISS_MS = 2_000;

/** A start that took this long from its binding to its answer is logged, in milliseconds. */
const SLOW_START_MS = 250;

/**
 * Applies workers' reports to the jobs: which runs are running, have ended, or were never started.
 */
export class ReportReader {
  readonly #state: ClusterState;

  readonly #model: TailLatencyModel;

  readonly #crashSuspects: CrashSuspects;

  readonly #begunJobs: BegunJobs;

  readonly #copyEnds: CopyEnds;

  constructor(
    state: ClusterState,
    model: TailLatencyModel,
    crashSuspects: CrashSuspects,
    begunJobs: BegunJobs,
  ) {
    this.#state = state;
    this.#model = model;
    this.#crashSuspects = crashSuspects;
    this.#begunJobs = begunJobs;
    this.#copyEnds = new CopyEnds(state);
  }

  /** Applies one report, which was requested at `askedMs`. */
  read(worker: WorkerState, report: WorkerReport, askedMs: number, nowMs: number): void {
    const sinceReportMs = worker.fenced ? nowMs - worker.answeredMs : 0;
    const besideMs = worker.hasWorkingBestEffort() ? sinceReportMs : 0;
    Object.assign(worker, { answeredMs: nowMs });
    if (!worker.fenced) this.#markFenced(worker, report, nowMs);
    for (const row of report.running) this.#updateRun(worker, row, nowMs, besideMs);
    const areAllRead = this.#readEnds(worker, report.ended, nowMs);
    if (areAllRead && report.ended.length < MAX_REPORTED_ENDS)
      this.#releaseAbsent(worker, report, askedMs);
    worker.markMeasured();
    this.#model.learn(worker, nowMs);
    this.#adjustPaces(worker, nowMs);
  }

  /** Applies the ends that were held until the other run of their task could no longer begin. */
  applyHeldEnds(nowMs: number): void {
    for (const { worker, row, ref } of this.#copyEnds.takeSettled(nowMs)) {
      const job = this.#state.jobs.get(ref.jobId);
      const task = job && findTask(job, ref);
      if (job && task) this.#applyEnd(worker, row, job, ref, task, nowMs);
    }
  }

  /**
   * Returns, for each worker with processed ends, the last one that may be acknowledged once the
   * changes are stored.
   */
  acks(): Map<WorkerState, number> {
    const workers = [...this.#state.endsProcessed];
    return new Map(workers.map((worker) => [worker, this.#copyEnds.ackableEnd(worker)]));
  }

  /** `besideMs`: for how long best-effort tasks have worked there since the report before. */
  #updateRun(worker: WorkerState, row: RunningRow, nowMs: number, besideMs: number): void {
    const run = worker.runs.get(row.task);
    if (!run || run.run !== row.run) {
      this.#addOrphanedRun(worker, row, nowMs);
      return;
    }
    Object.assign(run, { confirmed: true, unreportedLeaseEndMs: -Infinity });
    this.#crashSuspects.reported(run, nowMs);
    if (row.checkpoint !== run.checkpoint) run.checkpointedMs = nowMs;
    run.checkpoint = row.checkpoint;
    run.measure = row.measure;
    this.#updateMissedTarget(worker, run, nowMs, besideMs);
    if (row.percent !== run.percent || row.percent === 100) run.progressedMs = nowMs;
    run.percent = row.percent;
    const job = this.#state.jobs.get(run.ref.jobId);
    const task = job && findTask(job, run.ref);
    if (job) this.#begunJobs.taskBegan(job, run.ref, nowMs);
    const isLong = nowMs - run.startedMs >= MIN_STORED_RUN_MS;
    if (task?.phase === 'bound' && row.checkpoint && isLong) task.checkpoint = row.checkpoint;
    const idleMs = nowMs - run.progressedMs;
    if (idleMs > this.#state.timing.stallTimeoutMs && run.pace === 100 && run.stopSentMs === 0) {
      this.#state.logEvent('run-stands-still', {
        task: row.task,
        run: row.run,
        worker: worker.entry.id,
        idleMs,
      });
      worker.health.stalled(nowMs);
      this.#state.stopRun(worker, run, 'stands-still', nowMs);
    }
  }

  #updateMissedTarget(worker: WorkerState, run: WorkerRun, nowMs: number, besideMs: number): void {
    const { spec, measure, missedTargetSinceMs: sinceMs } = run;
    const isMissed = spec.targetMs > 0 && measure > spec.targetMs;
    if (sinceMs > 0) run.missedBesideMs += besideMs;
    if (isMissed) {
      run.missedTargetSinceMs ||= nowMs;
      return;
    }
    if (sinceMs > 0 && nowMs - sinceMs >= LOGGED_MISS_MS) {
      this.#state.logEvent('target-missed', {
        task: taskName(run.ref),
        worker: worker.entry.id,
        missedMs: Math.round(nowMs - sinceMs),
        besideMs: Math.round(run.missedBesideMs),
      });
    }
    Object.assign(run, { missedTargetSinceMs: 0, missedBesideMs: 0 });
  }

  /** Adds a run that no job needs: from before a lease expired, or of a job that ended long ago. */
  #addOrphanedRun(worker: WorkerState, row: RunningRow, nowMs: number): void {
    const ref = parseTaskName(row.task);
    if (!ref) return;
    const spec = this.#state.jobs.get(ref.jobId)?.spec.steps[ref.step] ?? PLAIN_STEP;
    const run = newRun(ref, { run: row.run, checkpoint: row.checkpoint }, spec, nowMs);
    if (worker.runs.has(row.task)) return;
    worker.add(row.task, { ...run, confirmed: true, sendCompletedMs: -Infinity });
    this.#state.logEvent('stray-run', { task: row.task, run: row.run, worker: worker.entry.id });
  }

  /**
   * Applies ends, and returns whether all of them were applied. If the end of a job that is not yet
   * loaded were acknowledged, its task would run again; therefore that end and those after it stay
   * on the worker's list.
   */
  #readEnds(worker: WorkerState, ended: readonly EndedRow[], nowMs: number): boolean {
    this.#logSkipped(worker, ended);
    worker.forgetReadEnds(ended[0]?.number ?? Infinity);
    for (const row of ended) {
      const ref = parseTaskName(row.task);
      if (ref && row.number > worker.processedEnd && this.#state.isUnloaded(ref.jobId))
        return false;
      if (row.number > worker.processedEnd) this.#processEnd(worker, row, nowMs);
    }
    return true;
  }

  #processEnd(worker: WorkerState, row: EndedRow, nowMs: number): void {
    worker.processedEnd = row.number;
    worker.readEnds.set(row.number, keyOfEnd(row));
    this.#state.endsProcessed.add(worker);
    const ref = parseTaskName(row.task);
    if (!ref) return;
    const run = worker.runs.get(row.task);
    const isCurrent = run?.run === row.run;
    if (isCurrent) worker.remove(row.task);
    if (run) this.#state.racks.ended(worker, run.spec, nowMs);
    if (run) this.#state.idleWaits.ended(capacityClassOf(worker.entry.pool, run.spec.fills), nowMs);
    if (row.how === 'done') worker.health.ended(true, nowMs);
    if (row.how === 'failed') worker.health.ended(false, nowMs);
    const job = this.#state.jobs.get(ref.jobId);
    const task = job && findTask(job, ref);
    const isBoundRun = task !== undefined && isBoundTo(task, row.run, worker.entry.id);
    this.#state.logEvent('run-ended', {
      task: row.task,
      run: row.run,
      worker: worker.entry.id,
      how: row.how,
      current: isBoundRun,
      ...(run && isCurrent && slowStartOf(run)),
    });
    if (!job || !task) return;
    this.#begunJobs.taskEnded(job, ref, row.how, nowMs);
    if (run && isCurrent && row.how === 'done') {
      const queue = this.#state.queues.get(job.spec.queue);
      this.#state.urgentReserve.ended(queue, run.spec, nowMs - run.startedMs);
      this.#state.durations.ended(stepTasks(job, ref), run, nowMs);
    }
    this.#crashSuspects.runWorked(job, task);
    const isHeld = isBoundRun && this.#copyEnds.holds(worker, row, ref, job, task, nowMs);
    if (!isHeld) this.#applyEnd(worker, row, job, ref, task, nowMs);
  }

  #applyEnd(
    worker: WorkerState,
    row: EndedRow,
    job: JobProgress,
    ref: TaskRef,
    task: TaskProgress,
    nowMs: number,
  ): void {
    const winner = { run: row.run, worker: worker.entry.id };
    if (isBoundTo(task, winner.run, winner.worker)) {
      if (row.how === 'done') this.#copyEnds.completed(ref, task, winner, nowMs);
      this.#taskEnded(job, ref, task, row);
    } else if (row.how === 'done') this.#completeLate(job, ref, task);
  }

  #taskEnded(job: JobProgress, ref: TaskRef, task: TaskProgress, row: EndedRow): void {
    const spec = job.spec.steps[ref.step]!;
    this.#state.changed.add(job);
    if (row.how === 'done' && !spec.lasting) {
      this.#complete(job, ref, spec);
      return;
    }
    this.#state.release(job, task, row.run, row.checkpoint);
    if (row.how === 'failed' && !spec.lasting) this.#countFailure(job, ref, task, spec);
  }

  /**
   * Completes a task whose abandoned run has succeeded after all: its worker was unreachable until
   * its leases expired. A later run of the task is not needed.
   */
  #completeLate(job: JobProgress, ref: TaskRef, task: TaskProgress): void {
    const spec = job.spec.steps[ref.step]!;
    const isOpen = task.phase === 'waiting' || task.phase === 'bound';
    if (!isOpen || spec.lasting || isFinal(job.state)) return;
    this.#state.changed.add(job);
    this.#complete(job, ref, spec);
  }

  #complete(job: JobProgress, ref: TaskRef, spec: StepSpec): void {
    const tasks = job.occurrences.get(ref.occurrence)!.steps[ref.step]!;
    const ended = spec.gang ? tasks : [tasks[ref.index]!];
    for (const task of ended) task.phase = 'done';
  }

  #countFailure(job: JobProgress, ref: TaskRef, task: TaskProgress, spec: StepSpec): void {
    const tasks = job.occurrences.get(ref.occurrence)?.steps[ref.step] ?? [];
    const counted = spec.gang ? tasks[0]! : task;
    counted.failures += 1;
    if (counted.failures < this.#state.maxAttemptsOf(job)) return;
    this.#state.failTask(job, ref);
  }

  #releaseAbsent(worker: WorkerState, report: WorkerReport, askedMs: number): void {
    const listed = new Set(report.running.map(({ task, run }) => `${task} ${run}`));
    for (const [key, run] of worker.runs) {
      if (!listed.has(`${key} ${run.run}`) && askedMs > run.sendCompletedMs) {
        const sinceSentMs = Math.round(askedMs - run.sendCompletedMs);
        this.#state.logEvent('run-absent', {
          task: key,
          run: run.run,
          worker: worker.entry.id,
          confirmed: run.confirmed,
          ...(Number.isFinite(sinceSentMs) && { sinceSentMs }),
        });
        this.#state.releaseRun(worker, key, run);
      }
    }
  }

  #adjustPaces(worker: WorkerState, nowMs: number): void {
    for (const { run, percent } of choosePaces(worker, this.#model, nowMs)) {
      this.#state.logEvent('pace', {
        task: taskName(run.ref),
        run: run.run,
        worker: worker.entry.id,
        from: run.pace,
        to: percent,
      });
      Object.assign(run, { pace: percent, progressedMs: nowMs });
      Object.assign(worker, { paceChangedMs: nowMs });
      this.#state.orders.push({
        kind: 'pace',
        worker: worker.entry.id,
        task: run.ref,
        run: run.run,
        percent,
      });
      if (percent === 0 && run.spec.checkpointing && run.stopSentMs === 0) {
        this.#state.stopRun(worker, run, 'halted', nowMs);
      }
    }
  }

  /**
   * Records that calls of earlier leaders no longer take effect at the worker, so that all of its
   * leases expire within `leaseMs`.
   */
  #markFenced(worker: WorkerState, report: WorkerReport, nowMs: number): void {
    Object.assign(worker, { fenced: true, leaseEndMs: nowMs + this.#state.timing.leaseMs });
    this.#state.logEvent('worker-fenced', {
      worker: worker.entry.id,
      running: report.running.length,
      ...(report.incarnation !== undefined && { incarnation: report.incarnation }),
    });
  }

  /**
   * Logs ends that are not read although their runs were not read either: their numbers had been used
   * before, so the report is of another process than it seems.
   */
  #logSkipped(worker: WorkerState, ended: readonly EndedRow[]): void {
    const { processedEnd, readEnds } = worker;
    const skipped = ended.filter(
      (row) => row.number <= processedEnd && readEnds.get(row.number) !== keyOfEnd(row),
    );
    if (skipped.length === 0) return;
    this.#state.logEvent('ends-skipped', {
      worker: worker.entry.id,
      count: skipped.length,
      done: skipped.filter(({ how }) => how === 'done').length,
      last: skipped.at(-1)!.number,
      processedEnd,
    });
  }
}

function keyOfEnd({ task, run }: EndedRow): string {
  return `${task} ${run}`;
}

/**
 * Returns how long after the binding of a run its start was answered, in milliseconds, if that took
 * long. The line is the most frequent one, and a field costs a leader processor time.
 */
function slowStartOf({ startedMs, sendCompletedMs }: WorkerRun): { startMs?: number } {
  const startMs = Math.round(sendCompletedMs - startedMs);
  return startMs >= SLOW_START_MS && Number.isFinite(startMs) ? { startMs } : {};
}
