import type { RetryAfter } from '../admission.js';
import { capacityClassOf, evacuatedKeyOf, refusalKeyOf } from '../admission.js';
import { evacuatedCapacityOf } from './evacuated-capacity.js';
import type { ClusterState } from './cluster-state.js';
import type { CountByPriority } from './count-by-priority.js';
import type { IdleJobs } from './idle-jobs.js';
import { StartBacklog } from './start-backlog.js';
import type { WaitingTasks } from './waiting-tasks.js';

/**
 * When callers may retry a job that only workers in evacuated data centres could run, in
 * milliseconds.
 */
const EVACUATED_RETRY_MS = 2_000;

/**
 * The maximum number of labels whose jobs are refused because of evacuations. Every node reads the
 * leader's record several times a second; jobs that need a further label wait.
 */
const MAX_EVACUATED_LABELS = 100;

/** Determines from the rounds of a leader which jobs can be accepted, and how many it can start. */
export class AdmissionControl {
  readonly #state: ClusterState;

  readonly #idle: IdleJobs;

  readonly #idleByClass: ReadonlyMap<string, CountByPriority>;

  readonly #startBacklog: StartBacklog;

  /** `idleByClass`: the number of idle jobs by capacity class, as of the latest round. */
  constructor(
    state: ClusterState,
    idle: IdleJobs,
    idleByClass: ReadonlyMap<string, CountByPriority>,
  ) {
    this.#state = state;
    this.#idle = idle;
    this.#idleByClass = idleByClass;
    this.#startBacklog = new StartBacklog(state.startedMs);
  }

  /** Records a round that placed all tasks for which there was capacity. */
  completed(starts: number, nowMs: number): void {
    this.#startBacklog.completed(starts, nowMs);
  }

  /** Records a round that was cut short before it had tried to place these tasks. */
  cutShort(starts: number, waiting: WaitingTasks, nowMs: number, isNodeBusy = false): void {
    // The reserved share of the processors would not tell: best-effort tasks reserve none.
    const busyLimit = waiting.areMostUntried ? 'leader' : 'workers';
    const limit = isNodeBusy ? busyLimit : 'other';
    this.#startBacklog.cutShort(starts, waiting.byPriority, nowMs, limit);
  }

  /**
   * Returns, for each capacity class and queue priority that would wait too long, after how many
   * milliseconds callers may retry; as of the latest round. Only what comes before a job counts: less
   * urgent work does not delay it.
   */
  retryAfter(nowMs: number): RetryAfter {
    const retryAfterMs: Record<string, number> = {};
    for (const { pool, priority } of this.#state.queues.values()) {
      const overloadMs = this.#startBacklog.retryAfterMs(priority, nowMs) ?? 0;
      for (const isBestEffort of [true, false]) {
        const capacityClass = capacityClassOf(pool, isBestEffort);
        const waitMs = Math.max(overloadMs, this.#idleWaitMs(capacityClass, priority, nowMs));
        if (waitMs > 0) retryAfterMs[refusalKeyOf(capacityClass, priority)] = waitMs;
      }
    }
    for (const key of this.#evacuatedKeys()) retryAfterMs[key] = EVACUATED_RETRY_MS;
    return retryAfterMs;
  }

  /** Returns the keys of the pools and labels that only evacuated data centres have. */
  #evacuatedKeys(): string[] {
    if (this.#state.evacuated.names.size === 0) return [];
    const { pools, labels } = evacuatedCapacityOf(this.#state.workers.values());
    const labelKeys = [...labels].flatMap(([pool, names]) =>
      [...names].map((name) => evacuatedKeyOf(pool, name)),
    );
    return [
      ...[...pools].map((pool) => evacuatedKeyOf(pool)),
      ...labelKeys.slice(0, MAX_EVACUATED_LABELS),
    ];
  }

  #idleWaitMs(capacityClass: string, priority: number, nowMs: number): number {
    const idleJobs = this.#idleByClass.get(capacityClass)?.upTo(priority) ?? 0;
    const { allowance } = this.#idle;
    return this.#state.idleWaits.retryAfterMs(capacityClass, idleJobs, allowance, nowMs) ?? 0;
  }

  /** Records the starts of the last second, in which the node was busy for this share of the time. */
  loadMeasured(startsPerSecond: number, busyShare: number): void {
    this.#startBacklog.loadMeasured(startsPerSecond, busyShare);
  }

  /** Restores the rate of starts that an earlier leader stated. */
  restoreStartRate(startsPerSecond: number): void {
    this.#startBacklog.restoreRate(startsPerSecond);
  }

  /**
   * Returns how many tasks a second this leader can start; undefined if it was not overloaded
   * recently.
   */
  startsPerSecond(): number | undefined {
    return this.#startBacklog.startsPerSecond();
  }
}
