import type { StepSpec } from '../job.js';
import { claimedParts } from './best-effort-parts.js';
import type { TailLatencyModel } from './tail-latency-model.js';
import type { WorkerState } from './worker-state.js';

/**
 * The slack that serving tasks keep when filling tasks are placed beside them; 1 is a tail at its
 * target.
 */
const PLACING_SLACK = 1.2;

/** So far ahead slack is expected, in ms: a task that is halted sooner has lost its start. */
const FORECAST_MS = 2_500;

/** The slack that is kept where a task of a job that starves is placed. */
const STARVED_SLACK = 1.15;

/** Taking less slack than this is not worth a thought. */
const NEGLIGIBLE_INTERFERENCE = 0.05;

interface CachedHeadroom {
  readonly version: number;
  /** By serving image: the least room of its tasks on the worker. */
  readonly byImage: ReadonlyMap<string, number>;
}

/**
 * How much more slack filling tasks may take from the serving tasks of a worker. It goes by the
 * tails as they are now, not by their usual value: an image that disturbs much fits beside serving
 * tasks that have little to do for a while, and nowhere else.
 */
export class LatencyHeadroom {
  readonly #model: TailLatencyModel;

  readonly #cache = new WeakMap<WorkerState, CachedHeadroom>();

  constructor(model: TailLatencyModel) {
    this.#model = model;
  }

  /** What is left after a task of the step is started there; Infinity if it disturbs nobody. */
  headroomWith(spec: StepSpec, worker: WorkerState, nowMs: number): number {
    const part = spec.cpuMilli / worker.entry.capacity.cpuMilli;
    let minHeadroom = Infinity;
    for (const [image, headroom] of this.#headroomOf(worker, nowMs)) {
      const lost = this.#model.interference.weight(image, spec.image) * part;
      if (lost > NEGLIGIBLE_INTERFERENCE) minHeadroom = Math.min(minHeadroom, headroom - lost);
    }
    return minHeadroom;
  }

  /** The share of its speed at which a task of the step could work there, with all beside it. */
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
