import type { WorkerReport } from '../worker.js';
import type { ClusterState } from './cluster-state.js';
import type { CrashSuspects } from './crash-suspects.js';
import type { WorkerRun } from './worker-run.js';
import type { WorkerState } from './worker-state.js';

/**
 * Replaces the state of a worker when another process appears under its id. The former process has
 * ended, and with it its runs, leases, fencing token, clock and numbers of ends: none of them applies
 * to the present process.
 *
 * A start that was sent to the former process and got no answer may yet be carried out by the present
 * one, as both have the same id and address. Such runs stay with the worker and are stopped: once the
 * stop is answered the worker refuses the run, and its task may be started again.
 */
export class WorkerRestarts {
  readonly #state: ClusterState;

  readonly #crashSuspects: CrashSuspects;

  constructor(state: ClusterState, crashSuspects: CrashSuspects) {
    this.#state = state;
    this.#crashSuspects = crashSuspects;
  }

  /**
   * Returns the state of the process that has stated this incarnation: that of the worker, unless it
   * has been restarted. Undefined stands for a process that did not state it. `report`: what the
   * process lists, if it was asked.
   */
  stateOf(
    worker: WorkerState,
    incarnation: number | undefined,
    nowMs: number,
    report?: WorkerReport,
  ): WorkerState {
    if (incarnation === undefined || incarnation === worker.incarnation) return worker;
    if (worker.incarnation !== undefined) return this.#replace(worker, incarnation, nowMs, report);
    worker.incarnation = incarnation;
    return worker;
  }

  #replace(
    former: WorkerState,
    incarnation: number,
    nowMs: number,
    report: WorkerReport | undefined,
  ): WorkerState {
    const { id } = former.entry;
    this.#state.logEvent('worker-restarted', {
      worker: id,
      incarnation,
      former: former.incarnation!,
      runs: former.runs.size,
      processedEnd: former.processedEnd,
    });
    if (!former.isClosedForUpkeep) this.#crashSuspects.workerEnded(former);
    const present = former.succeededBy(incarnation);
    this.#state.workers.set(id, present);
    this.#state.advice.workerRestarted(id);
    const arrived = report && new Set(runsIn(report));
    for (const [key, run] of former.runs) {
      if (run.sendCount === 0) this.#state.releaseRun(former, key, run);
      else {
        const hasArrived = arrived?.has(`${key} ${run.run}`) ?? false;
        const mustRefuse = !hasArrived && mayArriveLate(run);
        // The link to the former process is closed: a start that waits for its answer gets none.
        run.sendCompletedMs = Math.min(run.sendCompletedMs, nowMs);
        present.add(key, run);
        if (mustRefuse) this.#refuse(present, run, nowMs);
      }
    }
    return present;
  }

  /**
   * Has the worker refuse a run whose start may still be on its way. Without an answer to the stop,
   * the run counts as possible for as long as a lease lasts.
   */
  #refuse(worker: WorkerState, run: WorkerRun, nowMs: number): void {
    const sendCompletedMs = nowMs + this.#state.timing.leaseMs;
    Object.assign(run, { confirmed: false, sendCompletedMs });
    this.#state.stopRun(worker, run, 'worker-restarted', nowMs);
  }
}

/** Yields the runs that a process lists as running or ended. */
function* runsIn({ running, ended }: WorkerReport): Generator<string> {
  for (const { task, run } of [...running, ...ended]) yield `${task} ${run}`;
}

/**
 * Whether an attempt to start the run is unanswered. Starts of earlier leaders are not meant: the
 * present process refuses them once it has answered this leader.
 */
function mayArriveLate({ sendCount, confirmed, sendCompletedMs }: WorkerRun): boolean {
  return sendCompletedMs !== -Infinity && (sendCount > 1 || !confirmed);
}
