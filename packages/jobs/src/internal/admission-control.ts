import type { RetryAfter } from '../admission.js';
import { capacityClassOf } from '../admission.js';
import type { ClusterState } from './cluster-state.js';
import type { IdleJobs } from './idle-jobs.js';
import { AMPLE_CAPACITY_BELOW } from './idle-jobs.js';
import { StartBacklog } from './start-backlog.js';

/** Determines from the rounds of a leader which jobs can be accepted, and how many it can start. */
export class AdmissionControl {
  readonly #state: ClusterState;

  readonly #idle: IdleJobs;

  readonly #idleByClass: ReadonlyMap<string, number>;

  readonly #startBacklog: StartBacklog;

  /** `idleByClass`: the number of idle jobs by capacity class, as of the latest round. */
  constructor(state: ClusterState, idle: IdleJobs, idleByClass: ReadonlyMap<string, number>) {
    this.#state = state;
    this.#idle = idle;
    this.#idleByClass = idleByClass;
    this.#startBacklog = new StartBacklog(state.startedMs);
  }

  /** Records a round that placed all tasks for which there was capacity. */
  completed(starts: number, nowMs: number): void {
    this.#startBacklog.completed(starts, nowMs);
  }

  /** Records a round that was cut short before it had tried to place this many tasks. */
  cutShort(starts: number, waitingTasks: number, nowMs: number, isNodeBusy = false): void {
    const hasAmpleCapacity = this.#state.reservedShare() < AMPLE_CAPACITY_BELOW;
    const busyLimit = hasAmpleCapacity ? 'leader' : 'workers';
    const limit = isNodeBusy ? busyLimit : 'other';
    this.#startBacklog.cutShort(starts, waitingTasks, nowMs, limit);
  }

  /**
   * Returns, for each capacity class with too many idle jobs, after how many milliseconds callers
   * may retry; as of the latest round. A leader that is overloaded itself names all classes.
   */
  retryAfter(nowMs: number): RetryAfter {
    const byIdleJobs = this.#state.idleWaits.retryAfter(
      this.#idleByClass,
      this.#idle.allowance,
      nowMs,
    );
    const overloadMs = this.#startBacklog.retryAfterMs(nowMs);
    if (overloadMs === undefined) return byIdleJobs;
    const byClass: Record<string, number> = { ...byIdleJobs };
    for (const { pool } of this.#state.queues.values()) {
      for (const isBestEffort of [true, false]) {
        const capacityClass = capacityClassOf(pool, isBestEffort);
        byClass[capacityClass] = Math.max(byClass[capacityClass] ?? 0, overloadMs);
      }
    }
    return byClass;
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
