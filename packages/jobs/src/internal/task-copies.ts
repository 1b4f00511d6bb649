import type { QueuePolicy, StepSpec } from '../job.js';
import { isFinal } from '../job.js';
import type { JobProgress, TaskProgress } from '../job-progress.js';
import type { TaskRef } from '../task-ref.js';
import { taskName } from '../task-ref.js';
import type { ClusterState } from './cluster-state.js';
import type { RoundCandidates } from './round-candidates.js';
import { findTask, newRun, stepTasks } from './runs.js';
import { beganMsOf } from './step-durations.js';
import { isBoundTo } from './task-runs.js';
import type { WaitingStep } from './waiting-steps.js';
import type { WorkerRun } from './worker-run.js';
import type { WorkerState } from './worker-state.js';

/** The interval of looks at the running tasks, in milliseconds: each looks at thousands of runs. */
const CHECK_INTERVAL_MS = 200;

/**
 * After a longer time without a look, in milliseconds, this node was itself late: it has read no
 * answers meanwhile, and every worker would count as silent.
 */
const LATE_CHECK_MS = 1_000;

/** A run is slow if it takes more than this many times the median of its peers. */
const SLOW_FACTOR = 3;

/** A start without an answer for this time is silent, in milliseconds. */
const UNCONFIRMED_MS = 500;

/**
 * A worker that has not answered for this time is silent, in milliseconds: a renewal waits for up to
 * 1,000 ms at a worker with running tasks.
 */
const UNANSWERED_MS = 1_500;

/** The largest share of the runs of a pool that may be copies. */
const MAX_COPY_SHARE = 0.05;

/** The number of copies that every pool may have. */
const MIN_COPY_LIMIT = 4;

/** The number of failures that a task must have left: its job must not end by the failure of a copy. */
const MIN_FAILURES_LEFT = 2;

/**
 * Why a task gets a copy.
 *
 * - `slow`: it takes far longer than its peers.
 * - `silent`: its start or its worker does not answer.
 */
export type CopyReason = 'slow' | 'silent';

/** A task that may get a copy. */
interface CopyCandidate {
  readonly job: JobProgress;
  readonly queue: QueuePolicy;
  readonly ref: TaskRef;
  readonly task: TaskProgress;
  readonly run: WorkerRun;
  readonly worker: WorkerState;
  readonly reason: CopyReason;
  /** How long it has run, in multiples of the median of its peers; 0 if that is not known. */
  readonly ratio: number;
}

/** The use of a pool. */
interface PoolUse {
  runs: number;
  copies: number;
}

/** Starts second runs of slow and silent tasks of `speculative` steps. */
export class TaskCopies {
  readonly #state: ClusterState;

  #checkedMs = -Infinity;

  /** For runs whose start was sent and is not confirmed: when this was first seen. */
  readonly #unconfirmedSinceMs = new WeakMap<WorkerRun, number>();

  constructor(state: ClusterState) {
    this.#state = state;
  }

  /**
   * Binds copies to workers, at most `maxStarts`, after a round that has placed all tasks it could.
   * `waiting` are the steps that the round had to place; `candidatesNow` returns the workers that can
   * take tasks.
   */
  start(
    waiting: readonly WaitingStep[],
    maxStarts: number,
    candidatesNow: () => RoundCandidates,
    nowMs: number,
  ): void {
    const sinceCheckMs = nowMs - this.#checkedMs;
    if (sinceCheckMs < CHECK_INTERVAL_MS || !this.#state.isFullyLoaded) return;
    this.#checkedMs = nowMs;
    const pools = new Map<string, PoolUse>();
    const found = [...this.#candidates(pools, sinceCheckMs <= LATE_CHECK_MS, nowMs)];
    if (found.length === 0 || maxStarts <= 0) return;
    const waitingPriorities = waitingPrioritiesOf(waiting);
    const candidates = candidatesNow();
    let starts = 0;
    for (const candidate of found.sort(byUse)) {
      const { pool, priority } = candidate.queue;
      const use = pools.get(pool);
      const mayStart =
        starts < maxStarts &&
        use !== undefined &&
        use.copies < Math.max(MIN_COPY_LIMIT, Math.floor(MAX_COPY_SHARE * use.runs)) &&
        priority < (waitingPriorities.get(pool) ?? Infinity);
      const target = mayStart ? chooseWorker(candidate, candidates) : undefined;
      const { job, task } = candidate;
      const isStorable = target && this.#state.hasRecordRoom(job, [[task, target.entry.id]]);
      if (isStorable && use) {
        this.#bind(candidate, target, nowMs);
        use.copies += 1;
        starts += 1;
      }
    }
  }

  /** Yields the tasks that may get a copy, and counts the runs and the copies of each pool. */
  *#candidates(
    pools: Map<string, PoolUse>,
    areAnswersRead: boolean,
    nowMs: number,
  ): Generator<CopyCandidate> {
    const peers = new Map<readonly TaskProgress[], number | undefined>();
    for (const worker of this.#state.workers.values()) {
      const { pool, id } = worker.entry;
      const use = pools.get(pool) ?? { runs: 0, copies: 0 };
      pools.set(pool, use);
      use.runs += worker.runs.size;
      for (const run of worker.runs.values()) {
        const { ref } = run;
        const job = isCopied(run.spec) ? this.#state.jobs.get(ref.jobId) : undefined;
        const task = job && !isFinal(job.state) ? findTask(job, ref) : undefined;
        if (job && task && isBoundTo(task, run.run, id)) {
          if (task.run !== run.run) use.copies += 1;
          else if (this.#mayCopy(job, task, run)) {
            const ratio = this.#ratio(job, run, peers, nowMs);
            const reason = this.#reason(worker, run, ratio, areAnswersRead, nowMs);
            const queue = reason && this.#state.queues.get(job.spec.queue);
            // The worker of a copy would need a ticket of its own.
            if (queue && !queue.advice) yield { job, queue, ref, task, run, worker, reason, ratio };
          }
        }
      }
    }
  }

  #mayCopy(job: JobProgress, task: TaskProgress, { stopSentMs }: WorkerRun): boolean {
    // A task under which workers crashed would crash another one.
    if (task.copy?.worker || task.crashWeight || stopSentMs > 0) return false;
    return task.failures + MIN_FAILURES_LEFT <= this.#state.maxAttemptsOf(job);
  }

  #reason(
    worker: WorkerState,
    run: WorkerRun,
    ratio: number,
    areAnswersRead: boolean,
    nowMs: number,
  ): CopyReason | undefined {
    if (run.confirmed && ratio > SLOW_FACTOR) return 'slow';
    // A start that was not sent yet waits for this node, not for its worker.
    if (!run.confirmed && run.sendCount === 0) return undefined;
    if (!run.confirmed && !this.#unconfirmedSinceMs.has(run))
      this.#unconfirmedSinceMs.set(run, nowMs);
    if (!areAnswersRead) return undefined;
    const unconfirmedMs = run.confirmed ? 0 : nowMs - this.#unconfirmedSinceMs.get(run)!;
    const unansweredMs = nowMs - Math.max(worker.answeredMs, this.#state.startedMs);
    return unconfirmedMs >= UNCONFIRMED_MS || unansweredMs >= UNANSWERED_MS ? 'silent' : undefined;
  }

  /** `peers` caches the medians of the steps of which half has ended, by their tasks. */
  #ratio(
    job: JobProgress,
    run: WorkerRun,
    peers: Map<readonly TaskProgress[], number | undefined>,
    nowMs: number,
  ): number {
    const tasks = stepTasks(job, run.ref);
    let medianMs = peers.get(tasks);
    if (medianMs === undefined && !peers.has(tasks)) {
      medianMs = this.#state.durations.medianMs(tasks);
      const doneCount = medianMs ? tasks.filter(({ phase }) => phase === 'done').length : 0;
      if (2 * doneCount < tasks.length) medianMs = undefined;
      peers.set(tasks, medianMs);
    }
    return medianMs ? (nowMs - beganMsOf(run, nowMs)) / medianMs : 0;
  }

  #bind(
    { job, queue, ref, task, run: first, worker, reason, ratio }: CopyCandidate,
    target: WorkerState,
    nowMs: number,
  ): void {
    const run = Math.max(task.run, task.copy?.run ?? 0) + 1;
    const checkpoint = first.checkpoint || task.checkpoint;
    job.recordRoom.reserve(task, target.entry.id);
    task.copy = { run, worker: target.entry.id };
    target.add(taskName(ref), newRun(ref, { run, checkpoint }, first.spec, nowMs));
    this.#state.changed.add(job);
    this.#state.orders.push({
      kind: 'start',
      worker: target.entry.id,
      task: ref,
      run,
      priority: queue.priority,
      payload: job.spec.payload,
      checkpoint,
    });
    this.#state.logEvent('copy-started', {
      task: taskName(ref),
      run,
      worker: target.entry.id,
      firstWorker: worker.entry.id,
      reason,
      ratio: Math.round(10 * ratio) / 10,
    });
  }
}

/** Returns whether tasks of the step may get copies. */
function isCopied({ speculative, lasting, gang }: StepSpec): boolean {
  return speculative && !lasting && !gang;
}

/** Returns, for each pool, the priority of the most urgent step with waiting tasks. */
function waitingPrioritiesOf(waiting: readonly WaitingStep[]): ReadonlyMap<string, number> {
  const priorities = new Map<string, number>();
  for (const { queue, tasks } of waiting) {
    const known = priorities.get(queue.pool) ?? Infinity;
    if (queue.priority < known && tasks.some(({ phase }) => phase === 'waiting'))
      priorities.set(queue.pool, queue.priority);
  }
  return priorities;
}

/** Returns the best worker for the copy that has no run of the task; undefined if there is none. */
function chooseWorker(
  { ref, run, worker, queue }: CopyCandidate,
  candidates: RoundCandidates,
): WorkerState | undefined {
  const target = candidates
    .of(run.spec, queue.pool, false)
    .choose({ ref, spec: run.spec, avoid: worker.entry.id });
  return target?.runs.has(taskName(ref)) ? undefined : target;
}

/** Compares candidates: urgent queues first, then the tasks that have run for longest. */
function byUse(a: CopyCandidate, b: CopyCandidate): number {
  return a.queue.priority - b.queue.priority || a.run.startedMs - b.run.startedMs;
}
