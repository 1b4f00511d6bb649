import { usedParts } from './best-effort-parts.js';
import { InterferenceModel, slackOf } from './interference-model.js';
import { ServingLoads } from './serving-loads.js';
import type { WorkerRun, WorkerState } from './worker-state.js';

/** The slack of a serving task is taken to be this while nothing was measured. */
const UNMEASURED_SLACK = 1.7;

/** What is known of the tails of serving tasks: their own load, and what disturbs them. */
export class TailLatencyModel {
  readonly interference = new InterferenceModel();

  readonly loads = new ServingLoads();

  /** Takes in what a worker has just reported of its runs. */
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

  /** The least slack that a serving run is about to have with nothing beside it. */
  baselineSlack(run: WorkerRun, worker: WorkerState, nowMs: number, aheadMs: number): number {
    const minSlack = this.loads.minSlackAhead(run.ref, nowMs, aheadMs);
    if (minSlack !== undefined) return minSlack;
    if (!hasTailLatency(run)) return UNMEASURED_SLACK;
    return measuredSlack(run) + this.interference.lostSlack(run.spec.image, usedParts(worker));
  }
}

/** Whether the run has a tail to go by: one that starts up has none of its own yet. */
export function hasTailLatency({ spec, confirmed, percent, measure }: WorkerRun): boolean {
  return spec.targetMs > 0 && confirmed && percent === 100 && measure > 0;
}

function measuredSlack({ measure, spec }: WorkerRun): number {
  return slackOf(measure / spec.targetMs);
}
