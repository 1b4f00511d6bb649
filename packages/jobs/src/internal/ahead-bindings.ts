import type { AheadBinding, TaskProgress } from '../job-progress.js';
import { isFinal } from '../job.js';
import type { StepSpec } from '../job.js';
import type { TaskRef } from '../task-ref.js';
import { AheadCapacity } from './ahead-capacity.js';
import type { ClusterState } from './cluster-state.js';
import type { WaitCause } from './obstacle.js';
import type { PlacementPolicy } from './placement.js';
import { RecentStarts } from './recent-starts.js';
import type { AheadMode, RoundLimits } from './round-limits.js';
import { RoundBudget } from './round-limits.js';
import type { WaitingStep } from './waiting-steps.js';
import { byUrgency } from './waiting-steps.js';
import type { WorkerState } from './worker-state.js';

/**
 * Interval at which the bindings are chosen anew, in milliseconds: the progress of a job is stored
 * again whenever its ahead bindings change.
 */
const PLAN_INTERVAL_MS = 1_000;

/**
 * The maximum number of ahead bindings: with 1,350 of them, choosing anew took up to 40 ms of a whole
 * core, more than a round has for placement.
 */
const MAX_BINDINGS = 500;

/** The causes of a wait that ends when tasks end on a worker. */
const CAPACITY_CAUSES: ReadonlySet<WaitCause> = new Set(['room', 'memory', 'processors', 'slack']);

/** A task that is bound ahead. */
export interface AheadTask {
  readonly step: WaitingStep;
  readonly ref: TaskRef;
  readonly task: TaskProgress;
  readonly worker: WorkerState;
  readonly binding: AheadBinding;
  /** The version of the worker at which it last lacked the capacity; -1 if it was not checked. */
  fullVersion: number;
}

/**
 * Binds tasks that wait for capacity to workers before there is capacity, so that their starts need
 * no store. While the store does not answer, no binding can be stored; without ahead bindings
 * nothing would start for seconds, although workers end tasks.
 *
 * The task stays `waiting`, and rounds place it as if it were not bound ahead. Only its record shows
 * it as bound, so that a later leader asks the worker before it starts the task elsewhere. A start
 * may be sent only once the binding is known to be stored.
 */
export class AheadBindings {
  readonly #state: ClusterState;

  readonly #recentStarts = new RecentStarts();

  /** The tasks that are bound ahead, the most urgent first. */
  #bound: readonly AheadTask[] = [];

  /** Bindings that were made since they were last taken. */
  #unstored: AheadBinding[] = [];

  readonly #stored = new WeakSet<AheadBinding>();

  #plannedMs = -Infinity;

  constructor(state: ClusterState) {
    this.#state = state;
  }

  /** The number of tasks that are bound ahead. */
  get count(): number {
    return this.#bound.filter(isCurrent).length;
  }

  /** Records the start of a task. */
  started(nowMs: number): void {
    this.#recentStarts.record(nowMs);
  }

  /**
   * Drops the bindings that are no longer needed or can no longer be started, and follows `mode`.
   * `waiting`: the steps that the round had to place; `causeOf` returns why a step waits.
   */
  update(
    mode: AheadMode | undefined,
    waiting: readonly WaitingStep[],
    causeOf: (step: WaitingStep) => WaitCause,
    nowMs: number,
  ): void {
    this.#dropUnusable();
    if (mode === 'release') {
      for (const bound of this.#bound) this.#release(bound);
      this.#bound = [];
    }
    if (mode !== 'plan' || nowMs - this.#plannedMs < PLAN_INTERVAL_MS) return;
    this.#plannedMs = nowMs;
    const steps = waiting
      .filter((step) => isEligible(step) && CAPACITY_CAUSES.has(causeOf(step)))
      .sort(byUrgency);
    if (steps.length > 0 || this.#bound.length > 0) this.#plan(steps, nowMs);
  }

  /** Returns the bindings that were made since the last call: their jobs must be stored now. */
  takeUnstored(): readonly AheadBinding[] {
    const unstored = this.#unstored;
    this.#unstored = [];
    return unstored;
  }

  /** Records that the store has confirmed these bindings. */
  stored(bindings: readonly AheadBinding[]): void {
    for (const binding of bindings) this.#stored.add(binding);
  }

  /**
   * Calls `start` for each task whose binding is stored and whose worker has the capacity by now, the
   * most urgent first. Nothing is started on the worker whose capacity is held for another task.
   */
  startAll(
    limits: RoundLimits,
    policy: PlacementPolicy,
    heldWorker: WorkerState | undefined,
    start: (bound: AheadTask) => void,
    nowMs: number,
  ): void {
    const budget = new RoundBudget(limits);
    for (const bound of this.#bound) {
      if (!budget.hasStarts || !budget.hasTime) return;
      const isOpen = bound.worker !== heldWorker && this.#isStartable(bound);
      if (isOpen && hasCapacity(bound, policy, nowMs)) {
        start(bound);
        budget.recordStarts(1);
      }
    }
  }

  #isStartable(bound: AheadTask): boolean {
    return isCurrent(bound) && this.#stored.has(bound.binding) && this.#isUsable(bound);
  }

  /** Chooses which tasks are bound ahead: the most urgent ones of the steps, which are sorted. */
  #plan(steps: readonly WaitingStep[], nowMs: number): void {
    const capacity = new AheadCapacity(this.#state.workers.values(), nowMs);
    const former = new Map(this.#bound.map((bound) => [bound.task, bound]));
    // Bindings that this plan will release count as well: others may take their places next time.
    for (const { step, worker } of this.#bound) capacity.add(step, worker);
    const limit = Math.min(MAX_BINDINGS, this.#recentStarts.count(nowMs));
    const next: AheadTask[] = [];
    const added = this.#unstored.length;
    for (const step of steps) {
      if (next.length >= limit) break;
      this.#planStep(step, capacity, former, next, limit);
    }
    for (const bound of former.values()) this.#release(bound);
    this.#bound = next;
    const count = this.#unstored.length - added;
    if (count === 0) return;
    const workers = new Set(next.map(({ worker }) => worker)).size;
    this.#state.logEvent('bound-ahead', { count, workers, total: next.length });
  }

  /** Adds tasks of the step to `next`, and removes those that stay bound from `former`. */
  #planStep(
    step: WaitingStep,
    capacity: AheadCapacity,
    former: Map<TaskProgress, AheadTask>,
    next: AheadTask[],
    limit: number,
  ): void {
    let hosts: ReturnType<AheadCapacity['hostsFor']> | undefined;
    for (const [index, task] of step.tasks.entries()) {
      if (next.length >= limit) return;
      const known = former.get(task);
      if (known && capacity.canHold(step, known.worker)) {
        former.delete(task);
        next.push({ ...known, step });
      } else if (!known && task.phase === 'waiting' && !task.crashWeight) {
        hosts ??= capacity.hostsFor(step);
        const worker = capacity.choose(step, hosts);
        if (worker && this.#state.hasRecordRoom(step.job, [[task, worker.entry.id]])) {
          capacity.add(step, worker);
          next.push(this.#bind(step, { ...step.ref, index }, task, worker));
        } else hosts = [];
      }
    }
  }

  #bind(step: WaitingStep, ref: TaskRef, task: TaskProgress, worker: WorkerState): AheadTask {
    const binding = { run: task.run + 1, worker: worker.entry.id };
    step.job.recordRoom.reserve(task, binding.worker);
    Object.assign(task, { ahead: binding });
    this.#unstored.push(binding);
    this.#state.changed.add(step.job);
    return { step, ref, task, worker, binding, fullVersion: -1 };
  }

  /** Lets the task wait without a binding. The run number stays used. */
  #release({ task, binding, step }: AheadTask): void {
    if (task.ahead !== binding) return;
    delete task.ahead;
    task.run = binding.run;
    // The record of a job that has ended may have been deleted.
    if (!isFinal(step.job.state)) this.#state.changed.add(step.job);
  }

  #dropUnusable(): void {
    this.#bound = this.#bound.filter((bound) => {
      if (!isCurrent(bound)) return false;
      if (this.#isUsable(bound)) return true;
      this.#release(bound);
      return false;
    });
  }

  /** Whether the job goes on and the worker may take its tasks. */
  #isUsable({ step: { job }, worker }: AheadTask): boolean {
    const { entry, listed, isEvacuated } = worker;
    if (isFinal(job.state) || this.#state.jobs.get(job.spec.id) !== job) return false;
    if (!listed || entry.draining || isEvacuated) return false;
    if (this.#state.workers.get(entry.id) !== worker) return false;
    return this.#state.queues.get(job.spec.queue)?.pool === entry.pool;
  }
}

/** Whether the task still waits under this binding: it was neither placed nor ended meanwhile. */
function isCurrent({ task, binding }: AheadTask): boolean {
  return task.phase === 'waiting' && task.ahead === binding;
}

/**
 * Whether tasks of the step may be bound ahead. Gangs, steps that count their tasks by worker and
 * steps with several copies of a task are placed with regard to their other tasks; long-running tasks
 * hold their capacity for minutes, and their placement matters more than the seconds of a silence.
 */
function isEligible({ spec, queue, maxTasks }: WaitingStep): boolean {
  // A ticket may expire before the start.
  return maxTasks === Infinity && isPlain(spec) && !queue.advice;
}

function isPlain({ gang, lasting, speculative, maxPerWorker }: StepSpec): boolean {
  return !gang && !lasting && !speculative && maxPerWorker === 0;
}

function hasCapacity(bound: AheadTask, policy: PlacementPolicy, nowMs: number): boolean {
  const { step, worker } = bound;
  if (bound.fullVersion === worker.version) return false;
  const score = policy.evaluate(step.spec, worker, nowMs);
  if (score === 'room' || score === 'memory') bound.fullVersion = worker.version;
  return typeof score === 'number';
}
