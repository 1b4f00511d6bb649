import type { EventLogger } from './cluster-state.js';
import type { StepSpec } from '../job.js';
import type { TaskProgress } from '../job-progress.js';
import { CountByPriority } from './count-by-priority.js';
import { STARVED_RANK } from './idle-jobs.js';
import { ReleasedClaims } from './released-claims.js';
import type { WaitingStep } from './waiting-steps.js';
import { isWaiting } from './waiting-steps.js';
import type { WorkerState } from './worker-state.js';

/**
 * The longest time for which a step waits for the rack of its data, in milliseconds: a job may be
 * idle for 15 s, and needs a start elsewhere after this wait.
 */
const MAX_RACK_WAIT_MS = 10_000;

/**
 * How long long-running and best-effort tasks avoid a rack after tasks waited for it, in
 * milliseconds: jobs with data in one rack come one after another, and the room for the next one
 * must not be given away between two.
 */
const AVOIDANCE_MS = 1_000;

/**
 * What a rack that others wait for takes from the score of its workers: more than any difference of
 * scores between workers on which a task runs at full speed.
 */
const AWAITED_RACK_PENALTY = 500_000;

/** The least time between two log lines about tasks that wait for racks, in milliseconds. */
const LOG_INTERVAL_MS = 1_000;

/** The tasks of one kind, best-effort or not, that wait for a rack. */
class RackDemand {
  /** Claimed processors by queue priority, in thousandths of a core. */
  readonly milli = new CountByPriority();

  count = 0;

  add({ queue, spec }: WaitingStep, count: number): void {
    this.count += count;
    this.milli.add(queue.priority, count * claimOf(spec));
  }
}

/**
 * Decides how long tasks wait for the rack of their data. On another rack a task takes
 * `remoteFactor` times as long, so it waits for its rack while the expected wait is shorter than
 * what it would lose elsewhere.
 */
export class RackPreference {
  readonly #logEvent: EventLogger;

  readonly #startedMs: number;

  /**
   * How many times as long a task takes on another rack than that of its data; with 1 or less no
   * task waits for a rack.
   */
  remoteFactor = 1;

  /** By rack and by whether the tasks are best-effort (see `keyOf`). */
  readonly #released = new Map<string, ReleasedClaims>();

  /** How many tasks of a step wait for the rack of its data, as of the latest round that tried it. */
  readonly #counts = new WeakMap<readonly TaskProgress[], number>();

  /** By rack and by whether the tasks are best-effort (see `keyOf`). */
  readonly #demand = new Map<string, RackDemand>();

  /** When tasks last waited for a rack. */
  readonly #awaitedMs = new Map<string, number>();

  #waitingCount = 0;

  #loggedMs = -Infinity;

  /** `startedMs`: since when ends of tasks are reported. */
  constructor(logEvent: EventLogger, startedMs: number) {
    this.#logEvent = logEvent;
    this.#startedMs = startedMs;
  }

  /** How many tasks wait for the rack of their data, as of the latest round. */
  get waitingCount(): number {
    return this.#waitingCount;
  }

  /** Records that a task of the step has ended on a worker. */
  ended({ entry }: WorkerState, spec: StepSpec, nowMs: number): void {
    for (const label of entry.labels) {
      const key = keyOf(label, spec.fills);
      let released = this.#released.get(key);
      if (!released) {
        released = new ReleasedClaims(this.#startedMs);
        this.#released.set(key, released);
      }
      released.add(claimOf(spec), nowMs);
    }
  }

  /** Begins a round, with the steps that have tasks to place. */
  startRound(waiting: readonly WaitingStep[], nowMs: number): void {
    this.#demand.clear();
    this.#waitingCount = 0;
    for (const step of waiting) {
      const count = step.spec.dataRack && isListedWhole(step) && this.#counts.get(step.tasks);
      if (count) this.#countWaiting(step, count, nowMs);
    }
    for (const [rack, awaitedMs] of this.#awaitedMs)
      if (nowMs - awaitedMs >= AVOIDANCE_MS) this.#awaitedMs.delete(rack);
    this.#log(nowMs);
  }

  /** Returns whether tasks of the step are tried on the rack of their data before all others. */
  triesRackFirst({ spec }: WaitingStep): boolean {
    return spec.dataRack !== '' && lossMs(spec, this.remoteFactor) > 0;
  }

  /**
   * Decides how many tasks of a step that fit on no worker of its rack wait for the rack, and returns
   * how many of them are to be placed on any rack now. `waitMs`: for how long the step has waited;
   * `canOpen`: whether ended tasks can make room for it on a worker of the rack.
   */
  elsewhereCount(step: WaitingStep, waitMs: number, canOpen: boolean, nowMs: number): number {
    const { tasks, spec } = step;
    const unplaced = tasks.filter(isWaiting).length;
    const mayWait = canOpen && step.rank !== STARVED_RANK && waitMs < this.#maxWaitMs(spec);
    const fitting = mayWait ? Math.min(unplaced, this.#countWithinLoss(step, nowMs)) : 0;
    // A gang starts as a whole, on its rack or elsewhere.
    const count = spec.gang && fitting < unplaced ? 0 : fitting;
    this.#setCount(step, count);
    return unplaced - count;
  }

  /** Records that no task of the step waits for its rack. */
  placed(step: WaitingStep): void {
    this.#setCount(step, 0);
  }

  /** Returns what tasks of the step that wait for a rack take from the score of a worker. */
  penaltyOf(spec: StepSpec, { entry }: WorkerState, nowMs: number): number {
    if (this.#awaitedMs.size === 0) return 0;
    const heldMs = spec.lasting || spec.fills ? AVOIDANCE_MS : 0;
    for (const label of entry.labels) {
      const awaitedMs = label === spec.dataRack ? undefined : this.#awaitedMs.get(label);
      if (awaitedMs !== undefined && nowMs - awaitedMs <= heldMs) return AWAITED_RACK_PENALTY;
    }
    return 0;
  }

  #countWaiting(step: WaitingStep, count: number, nowMs: number): void {
    const { dataRack, fills } = step.spec;
    this.#demandOf(dataRack, fills).add(step, count);
    this.#waitingCount += count;
    this.#awaitedMs.set(dataRack, nowMs);
  }

  /** Sets how many tasks of the step wait; steps that are tried after it in the round count them. */
  #setCount(step: WaitingStep, count: number): void {
    const { tasks, spec } = step;
    const former = this.#counts.get(tasks) ?? 0;
    if (count === former) return;
    this.#waitingCount += count - former;
    this.#demandOf(spec.dataRack, spec.fills).add(step, count - former);
    if (count > 0) this.#counts.set(tasks, count);
    else this.#counts.delete(tasks);
  }

  #demandOf(rack: string, fills: boolean): RackDemand {
    const key = keyOf(rack, fills);
    let demand = this.#demand.get(key);
    if (!demand) {
      demand = new RackDemand();
      this.#demand.set(key, demand);
    }
    return demand;
  }

  #maxWaitMs(spec: StepSpec): number {
    return Math.min(MAX_RACK_WAIT_MS, lossMs(spec, this.remoteFactor));
  }

  /** Returns how many tasks of the step the rack is expected to take within the loss elsewhere. */
  #countWithinLoss(step: WaitingStep, nowMs: number): number {
    const { spec, queue, tasks } = step;
    const rate = this.#released.get(keyOf(spec.dataRack, spec.fills))?.rate(nowMs) ?? 0;
    const ahead = this.#demandOf(spec.dataRack, spec.fills);
    const former = this.#counts.get(tasks) ?? 0;
    const aheadMilli = ahead.milli.upTo(queue.priority) - former * claimOf(spec);
    const withinLossMilli = rate * this.#maxWaitMs(spec) - aheadMilli;
    return Math.max(0, Math.floor(withinLossMilli / claimOf(spec)));
  }

  /** Logs the rack that most tasks wait for. */
  #log(nowMs: number): void {
    if (this.#waitingCount === 0 || nowMs - this.#loggedMs < LOG_INTERVAL_MS) return;
    this.#loggedMs = nowMs;
    const [key, demand] = [...this.#demand].reduce((most, other) =>
      other[1].count > most[1].count ? other : most,
    );
    const rate = this.#released.get(key)?.rate(nowMs) ?? 0;
    this.#logEvent('rack-wait', {
      rack: key.slice(key.indexOf(' ') + 1),
      waiting: demand.count,
      ...(rate > 0 && { expectedMs: Math.round(demand.milli.upTo(Infinity) / rate) }),
      racks: this.#demand.size,
    });
  }
}

/** Returns how much longer a task takes on another rack than that of its data, in milliseconds. */
function lossMs({ lasting, estimateMs }: StepSpec, remoteFactor: number): number {
  return lasting ? 0 : (remoteFactor - 1) * estimateMs;
}

/** Whether the step is listed with all of its tasks, not a second time for one of them. */
function isListedWhole({ maxTasks }: WaitingStep): boolean {
  return maxTasks === Infinity;
}

/** Returns the claim of one task in thousandths of a core; tasks without a claim count as 1. */
function claimOf({ cpuMilli }: StepSpec): number {
  return Math.max(1, cpuMilli);
}

function keyOf(rack: string, fills: boolean): string {
  return `${fills ? 'best-effort' : 'reserving'} ${rack}`;
}
