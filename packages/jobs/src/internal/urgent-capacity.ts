import type { StepSpec } from '../job.js';
import type { JobProgress } from '../job-progress.js';
import type { ClusterState } from './cluster-state.js';
import { FreeSlots } from './free-slots.js';
import { isAvailable, kindOf } from './placement.js';
import { Preemption } from './preemption.js';
import { RoomShortage } from './room-shortage.js';
import type { Candidates, RoundCandidates, WorkerRule } from './round-candidates.js';
import { WINDOW_MS } from './short-task-demand.js';
import type { ReservedClass } from './urgent-reserve.js';
import { IN_TIME_RANK, NEW_LONG_RUNNING_RANK } from './waiting-steps.js';
import type { WaitingStep } from './waiting-steps.js';
import type { WorkerState } from './worker-state.js';

/**
 * The longest time for which new long-running tasks leave reserved capacity free, in milliseconds: as
 * long as they yield where jobs in time lack room.
 */
const MAX_YIELD_MS = 10_000;

/** The least time between two log lines about one size class of a pool, in milliseconds. */
const LOG_INTERVAL_MS = 1_000;

/** A reserve that changed by this share since it was last logged is logged again. */
const LOGGED_CHANGE = 0.25;

/** The reserve of a pool from queues of one priority, and the slots for it, as of one round. */
interface PoolReserve {
  readonly reserved: readonly ReservedClass[];
  readonly slots: FreeSlots;
  /** One rule for all steps of a kind that are treated alike. */
  readonly rules: Map<string, WorkerRule>;
}

/**
 * Keeps long-running and best-effort tasks from occupying the capacity of urgent short tasks, ahead
 * of their demand and when they lack it.
 */
export class UrgentCapacity {
  readonly #state: ClusterState;

  readonly #shortage = new RoomShortage();

  readonly #preemption: Preemption;

  /** Jobs that were added since the last round. */
  #added: JobProgress[] = [];

  /** The task lists of steps that were observed when their job was added. */
  readonly #observed = new WeakSet<object>();

  #candidates: RoundCandidates | undefined;

  readonly #byQueue = new Map<string, PoolReserve>();

  #loggedMs = -Infinity;

  /** The logged number of tasks, by pool, priority and size class. */
  readonly #logged = new Map<string, number>();

  constructor(state: ClusterState) {
    this.#state = state;
    this.#preemption = new Preemption(state);
  }

  /** Records a job that was just accepted, or that an earlier leader has worked on. */
  jobAdded(job: JobProgress): void {
    this.#added.push(job);
  }

  startRound(candidates: RoundCandidates, nowMs: number): void {
    for (const job of this.#added) this.#observeAdded(job, nowMs);
    this.#added = [];
    this.#candidates = candidates;
    this.#byQueue.clear();
    this.#preemption.startRound(nowMs);
    this.#log(nowMs);
  }

  /** Records that tasks of a step have become ready to start, or are to be restarted. */
  becameReady({ queue, spec, tasks }: WaitingStep, nowMs: number): void {
    if (this.#observed.delete(tasks)) return;
    const count = tasks.filter(({ phase }) => phase === 'waiting').length;
    this.#state.urgentReserve.observe(queue, spec, count, nowMs);
  }

  /** Returns whether a step leaves its capacity to jobs in time that lack it now. */
  mustYield({ rank, queue }: WaitingStep, waitMs: number, nowMs: number): boolean {
    return rank === NEW_LONG_RUNNING_RANK && this.#shortage.mustYield(queue, waitMs, nowMs);
  }

  /** Returns the rule for the workers of a long-running step; undefined if there is no reserve. */
  ruleFor(
    { spec, queue, rank }: WaitingStep,
    waitMs: number,
    nowMs: number,
  ): WorkerRule | undefined {
    if (!spec.lasting || spec.fills) return undefined;
    const { reserved, slots, rules } = this.#reserveOf(queue.pool, queue.priority, nowMs);
    if (reserved.length === 0) return undefined;
    const isHeldBack = rank === NEW_LONG_RUNNING_RANK && waitMs < MAX_YIELD_MS;
    const key = `${kindOf(spec)} ${isHeldBack}`;
    const known = rules.get(key);
    if (known) return known;
    const rule: WorkerRule = {
      prepare: () => slots.refresh(),
      allows: (worker) => !isHeldBack || slots.allows(worker, spec),
      adjustment: (worker) => fragmentation(worker, spec, reserved[0]!, slots),
    };
    rules.set(key, rule);
    return rule;
  }

  /** Records that a task of a step fits on no worker. */
  unplaced(step: WaitingStep, candidates: Candidates, nowMs: number): void {
    if (step.rank !== IN_TIME_RANK) return;
    if (candidates.lackRoomFor(step.spec)) this.#shortage.found(step.queue, nowMs);
    if (!step.spec.fills && !step.spec.gang) this.#preemption.freeMemory(step, candidates, nowMs);
  }

  #reserveOf(pool: string, priority: number, nowMs: number): PoolReserve {
    const key = `${priority} ${pool}`;
    const known = this.#byQueue.get(key);
    if (known) return known;
    const workers = (this.#candidates?.workersOf(pool) ?? []).filter((worker) =>
      isAvailable(worker, nowMs),
    );
    const poolMilli = workers.reduce((sum, { entry }) => sum + entry.capacity.cpuMilli, 0);
    const reserved = this.#state.urgentReserve.reservedFrom(pool, priority, poolMilli, nowMs);
    const slots = new FreeSlots(reserved.length > 0 ? workers : [], reserved);
    const found = { reserved, slots, rules: new Map<string, WorkerRule>() };
    this.#byQueue.set(key, found);
    return found;
  }

  /**
   * Observes a job's steps that are ready or have been, at the times at which they became ready by
   * its acceptance and its estimates. A new leader learns the demand of the last seconds from the
   * jobs in its table, of which most short ones have ended.
   */
  #observeAdded(job: JobProgress, nowMs: number): void {
    const { spec } = job;
    const queue = this.#state.queues.get(spec.queue);
    if (!queue || spec.schedule) return;
    const [occurrence] = job.occurrences.values();
    const ageMs = Math.max(0, this.#state.timeOfDayMs - spec.acceptedMs);
    const startsMs: number[] = [];
    for (const [index, step] of spec.steps.entries()) {
      const startMs = Math.max(
        0,
        ...step.after.map((earlier) => startsMs[earlier]! + spec.steps[earlier]!.estimateMs),
      );
      startsMs.push(startMs);
      const hasStarted = occurrence
        ? job.isStepReady(occurrence, index)
        : job.state === 'completed';
      if (hasStarted) {
        if (occurrence) this.#observed.add(occurrence.steps[index]!);
        const sinceMs = Math.max(0, ageMs - startMs);
        if (sinceMs < WINDOW_MS || step.lasting)
          this.#state.urgentReserve.observe(queue, step, step.taskCount, nowMs - sinceMs);
      }
    }
  }

  #log(nowMs: number): void {
    if (nowMs - this.#loggedMs < LOG_INTERVAL_MS) return;
    this.#loggedMs = nowMs;
    for (const [pool, priority] of this.#state.urgentReserve.enabled()) {
      const { reserved, slots } = this.#reserveOf(pool, priority, nowMs);
      const found = new Map(reserved.map(({ sizeMilli }, index) => [sizeMilli, index]));
      const prefix = `${priority} ${pool} `;
      const ended = [...this.#logged.keys()]
        .filter((key) => key.startsWith(prefix))
        .map((key) => Number(key.slice(prefix.length)));
      for (const sizeMilli of new Set([...found.keys(), ...ended])) {
        const key = `${prefix}${sizeMilli}`;
        const index = found.get(sizeMilli);
        const tasks = index === undefined ? 0 : reserved[index]!.tasks;
        const before = this.#logged.get(key) ?? 0;
        if (Math.abs(tasks - before) > 0 && Math.abs(tasks - before) >= LOGGED_CHANGE * before) {
          if (tasks > 0) this.#logged.set(key, tasks);
          else this.#logged.delete(key);
          const freeTasks = index === undefined ? 0 : slots.freeTasks(index);
          this.#state.logEvent('urgent-reserve', { pool, priority, sizeMilli, tasks, freeTasks });
        }
      }
    }
  }
}

/**
 * Returns what is added to the score of a worker so that, in place of its free processors, the
 * slots of the largest reserved class that are left beside the task count.
 */
function fragmentation(
  worker: WorkerState,
  spec: StepSpec,
  { cpuMilli }: ReservedClass,
  slots: FreeSlots,
): number {
  return (slots.largestLeft(worker, spec) * cpuMilli - worker.freeMilli) / 2;
}
