import { usedParts } from './best-effort-parts.js';
import { InterferenceModel, slackOf } from './interference-model.js';
import { ServingLoads } from './serving-loads.js';
import type { WorkerRun } from './worker-run.js';
import type { WorkerState } from './worker-state.js';

/** The slack that is assumed for a serving task without measurements. */
const UNMEASURED_SLACK = 1.7;

/**
 * Models the tail latencies of serving tasks: their own load, and the interference by best-effort
 * tasks.
 */
export class TailLatencyModel {
  readonly interference = new InterferenceModel();

  readonly loads = new ServingLoads();

  /** Learns from a worker's latest report of its runs. */
  learn(worker: WorkerState, nowMs: number): void {
    const parts = usedParts(worker);
    for (const run of worker.runs.values()) {
      if (hasTailLatency(run)) {
        const { image } = run.spec;
        const slack = measuredSlack(run);
        this.loads.observe(run.ref, slack + this.interference.lostSlack(image, parts), nowMs);
        const baselineSlack = this.loads.currentSlack(run.ref, nowMs)!;
        this.interference.learn({ image, slack: slack - baselineSlack, parts });
      }
    }
  }

  /**
   * Returns the least slack that a serving run is expected to have within `aheadMs` without
   * interference.
   */
  baselineSlack(run: WorkerRun, worker: WorkerState, nowMs: number, aheadMs: number): number {
    const minSlack = this.loads.minSlackAhead(run.ref, nowMs, aheadMs);
    if (minSlack !== undefined) return minSlack;
    if (!hasTailLatency(run)) return UNMEASURED_SLACK;
    return measuredSlack(run) + this.interference.lostSlack(run.spec.image, usedParts(worker));
  }
}

/** Returns whether the run has a measured tail latency; a task that is starting has none yet. */
export function hasTailLatency({ spec, confirmed, percent, measure }: WorkerRun): boolean {
  return spec.targetMs > 0 && confirmed && percent === 100 && measure > 0;
}

function measuredSlack({ measure, spec }: WorkerRun): number {
  return slackOf(measure / spec.targetMs);
}
