import type { StepSpec } from '../job.js';
import { claimedParts } from './best-effort-parts.js';
import type { TailLatencyModel } from './tail-latency-model.js';
import type { WorkerState } from './worker-state.js';

/**
 * The slack that serving tasks must keep when best-effort tasks are placed beside them; at 1 the
 * tail latency equals its target.
 */
const PLACING_SLACK = 1.2;

/**
 * How far ahead slack is forecast, in milliseconds: a task that is halted sooner than this was
 * started in vain.
 */
const FORECAST_MS = 2_500;

/** The slack that serving tasks must keep when a task of a starved job is placed beside them. */
const STARVED_SLACK = 1.15;

/** Interference that takes less slack than this is ignored. */
const NEGLIGIBLE_INTERFERENCE = 0.05;

interface CachedHeadroom {
  readonly version: number;
  /** For each serving image: the least headroom of its tasks on the worker. */
  readonly byImage: ReadonlyMap<string, number>;
}

/**
 * How much more slack best-effort tasks may take from the serving tasks of a worker. It is based on
 * the current tail latencies, not on their usual values: an image that interferes strongly fits
 * only beside serving tasks whose load is low for a while.
 */
export class LatencyHeadroom {
  readonly #model: TailLatencyModel;

  readonly #cache = new WeakMap<WorkerState, CachedHeadroom>();

  constructor(model: TailLatencyModel) {
    this.#model = model;
  }

  /**
   * Returns the headroom that is left after a task of the step is started on the worker; Infinity
   * if it interferes with no serving task.
   */
  headroomWith(spec: StepSpec, worker: WorkerState, nowMs: number): number {
    const part = spec.cpuMilli / worker.entry.capacity.cpuMilli;
    let minHeadroom = Infinity;
    for (const [image, headroom] of this.#headroomOf(worker, nowMs)) {
      const lost = this.#model.interference.weight(image, spec.image) * part;
      if (lost > NEGLIGIBLE_INTERFERENCE) minHeadroom = Math.min(minHeadroom, headroom - lost);
    }
    return minHeadroom;
  }

  /**
   * Returns the share of its speed at which a task of the step could run on the worker, together
   * with all tasks that are there.
   */
  speedWith(spec: StepSpec, worker: WorkerState, nowMs: number): number {
    const parts = claimedParts(worker);
    const { cpuMilli } = worker.entry.capacity;
    parts.set(spec.image, (parts.get(spec.image) ?? 0) + spec.cpuMilli / cpuMilli);
    let speed = 1;
    for (const run of worker.runs.values()) {
      const { image, targetMs } = run.spec;
      if (
        targetMs > 0 &&
        this.#model.interference.weight(image, spec.image) > NEGLIGIBLE_INTERFERENCE
      ) {
        const slack = this.#model.baselineSlack(run, worker, nowMs, FORECAST_MS) - STARVED_SLACK;
        speed = Math.min(speed, slack / this.#model.interference.lostSlack(image, parts));
      }
    }
    return speed;
  }

  #headroomOf(worker: WorkerState, nowMs: number): ReadonlyMap<string, number> {
    const known = this.#cache.get(worker);
    if (known?.version === worker.version) return known.byImage;
    const byImage = this.#computeHeadroom(worker, nowMs);
    this.#cache.set(worker, { version: worker.version, byImage });
    return byImage;
  }

  #computeHeadroom(worker: WorkerState, nowMs: number): Map<string, number> {
    const byImage = new Map<string, number>();
    for (const run of worker.runs.values()) {
      if (run.spec.targetMs > 0) {
        const { image } = run.spec;
        const headroom = this.#model.baselineSlack(run, worker, nowMs, FORECAST_MS) - PLACING_SLACK;
        byImage.set(image, Math.min(headroom, byImage.get(image) ?? Infinity));
      }
    }
    const claimed = claimedParts(worker);
    for (const [image, headroom] of byImage) {
      byImage.set(image, headroom - this.#model.interference.lostSlack(image, claimed));
    }
    return byImage;
  }
}
