import type { StepSpec } from '../job.js';
import type { Obstacle } from './obstacle.js';
import type { TailLatencyModel } from './tail-latency-model.js';
import { LatencyHeadroom } from './latency-headroom.js';
import type { WorkerState } from './worker-state.js';

/**
 * A worker that has not answered for this time gets no new tasks, in milliseconds: two renewals
 * missed.
 */
export const SILENT_MS = 1_800;

/** Rates workers for tasks. */
export abstract class PlacementPolicy {
  /**
   * Returns how well an otherwise fitting worker suits a task of the step (larger is better), or
   * the obstacle that keeps the task away. Steps of one kind (`kindOf`) have the same score.
   */
  protected abstract score(spec: StepSpec, worker: WorkerState, nowMs: number): number | Obstacle;

  /** Like `score`, for a task of a starved job, which had better run slowly than not at all. */
  protected abstract starvedScore(
    spec: StepSpec,
    worker: WorkerState,
    nowMs: number,
  ): number | Obstacle;

  /** Like `score`, for any worker, including those that are closed or lack capacity. */
  evaluate(
    spec: StepSpec,
    worker: WorkerState,
    nowMs: number,
    isStarved = false,
  ): number | Obstacle {
    if (nowMs < worker.opensMs) return 'evacuated';
    if (!isOpen(worker, nowMs)) return 'closed';
    if (!hasLabel(spec, worker)) return 'label';
    if (!worker.hasProcessorsFor(spec)) return 'room';
    if (!worker.hasMemoryFor(spec)) return 'memory';
    return isStarved ? this.starvedScore(spec, worker, nowMs) : this.score(spec, worker, nowMs);
  }
}

const kinds = new WeakMap<StepSpec, string>();

/**
 * Returns the same text for steps whose tasks can run on the same workers and have the same scores
 * there.
 */
export function kindOf(spec: StepSpec): string {
  const known = kinds.get(spec);
  if (known !== undefined) return known;
  const { cpuMilli, memMb, gpus, requiredLabel, dataRack, image, fills, targetMs } = spec;
  const kind = JSON.stringify([
    [cpuMilli, memMb, gpus],
    [requiredLabel, dataRack, image],
    [fills, targetMs > 0],
  ]);
  kinds.set(spec, kind);
  return kind;
}

function hasLabel({ requiredLabel }: StepSpec, { entry }: WorkerState): boolean {
  return !requiredLabel || entry.labels.includes(requiredLabel);
}

/** Returns whether a worker may take tasks now, if it has capacity for them. */
export function isAvailable(worker: WorkerState, nowMs: number): boolean {
  return nowMs >= worker.opensMs && isOpen(worker, nowMs);
}

function isOpen(worker: WorkerState, nowMs: number): boolean {
  if (!worker.listed || !worker.fenced || worker.entry.draining) return false;
  if (worker.isClosedForUpkeep) return false;
  if (nowMs - worker.answeredMs > SILENT_MS) return false;
  return nowMs >= worker.fullUntilMs && !worker.health.isSuspected(nowMs);
}

/**
 * The part of their claim that serving tasks are assumed to use on average when best-effort tasks
 * are placed beside them; the rest is available to the best-effort tasks.
 */
const SERVING_UTILISATION = 0.5;

/**
 * What a worker in the rack with the step's data adds to the score, in thousandths of a core of
 * free processor time.
 */
const RACK_BONUS = 20_000;

/**
 * What each serving task of the same image on the worker adds to the score of a serving task, in
 * thousandths of a core.
 */
const SAME_IMAGE_BONUS = 6_000;

/**
 * What each other serving image on the worker takes from the score of a serving task: more than any
 * free processors are worth. A best-effort image that interferes with either of two serving images
 * is kept away from a worker that has both.
 */
const OTHER_IMAGE_COST = 20_000;

/** The least share of its speed at which a task of a starved job is placed. */
const MIN_STARVED_SPEED = 0.3;

/** Larger than any score, in thousandths of a core. */
const STARVED_COST = 10_000_000;

/**
 * Places each task on the worker with the most free capacity (worst fit). Serving tasks are placed
 * beside others of their image, so that few workers are closed to any one best-effort image.
 * Best-effort tasks are placed only where the serving tasks have latency headroom for them.
 */
export class WorstFit extends PlacementPolicy {
  readonly #headroom: LatencyHeadroom;

  constructor(model: TailLatencyModel) {
    super();
    this.#headroom = new LatencyHeadroom(model);
  }

  protected score(spec: StepSpec, worker: WorkerState, nowMs: number): number | Obstacle {
    const rackBonus = spec.dataRack && worker.entry.labels.includes(spec.dataRack) ? RACK_BONUS : 0;
    if (spec.fills) {
      const score = this.#bestEffortScore(spec, worker, nowMs);
      return typeof score === 'number' ? rackBonus + score : score;
    }
    const freeMilli = worker.entry.capacity.cpuMilli - worker.cpuMilli;
    if (spec.targetMs > 0) return rackBonus + freeMilli / 2 + colocationScore(spec, worker);
    return rackBonus + freeMilli - worker.bestEffortMilli / 4;
  }

  protected starvedScore(spec: StepSpec, worker: WorkerState, nowMs: number): number | Obstacle {
    const score = this.score(spec, worker, nowMs);
    if (typeof score === 'number' || score === 'harmed') return score;
    const speed = this.#headroom.speedWith(spec, worker, nowMs);
    // Lower than the score of every worker on which the task could run at full speed.
    return speed < MIN_STARVED_SPEED ? score : (speed - 2) * STARVED_COST;
  }

  #bestEffortScore(spec: StepSpec, worker: WorkerState, nowMs: number): number | Obstacle {
    if (worker.missesTarget()) return 'harmed';
    const { cpuMilli } = worker.entry.capacity;
    const used = worker.cpuMilli - worker.servingMilli * (1 - SERVING_UTILISATION);
    const leftMilli = cpuMilli - used - worker.bestEffortMilli;
    if (leftMilli < spec.cpuMilli) return 'processors';
    const headroom = this.#headroom.headroomWith(spec, worker, nowMs);
    if (headroom < 0) return 'slack';
    // One unit of headroom is worth as much as a whole empty worker; more headroom adds nothing.
    return leftMilli + Math.min(1, headroom) * cpuMilli;
  }
}

function colocationScore(spec: StepSpec, worker: WorkerState): number {
  let score = 0;
  for (const [image, count] of worker.servingImages) {
    score += image === spec.image ? count * SAME_IMAGE_BONUS : -OTHER_IMAGE_COST;
  }
  return score;
}
