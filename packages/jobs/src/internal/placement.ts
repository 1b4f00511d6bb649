import type { StepSpec } from '../job.js';
import type { Obstacle } from './obstacle.js';
import type { TailLatencyModel } from './tail-latency-model.js';
import { LatencyHeadroom } from './latency-headroom.js';
import type { WorkerState } from './worker-state.js';

/** A worker that has not answered for so long gets nothing new, in ms: two renewals missed. */
export const SILENT_MS = 1_800;

/** Judges places for tasks. */
export abstract class PlacementPolicy {
  /**
   * How good a place on an otherwise fitting worker is for a task of the step, larger is better,
   * or what keeps it from there. Steps of one kind (`kindOf`) are worth the same.
   */
  protected abstract score(spec: StepSpec, worker: WorkerState, nowMs: number): number | Obstacle;

  /** The same for a task of a job that starves: better it works slowly than not at all. */
  protected abstract starvedScore(
    spec: StepSpec,
    worker: WorkerState,
    nowMs: number,
  ): number | Obstacle;

  /** The same for any worker, also where it takes nothing or has no room. */
  evaluate(
    spec: StepSpec,
    worker: WorkerState,
    nowMs: number,
    isStarved = false,
  ): number | Obstacle {
    if (!isOpen(worker, nowMs)) return 'closed';
    if (!hasLabel(spec, worker)) return 'label';
    if (!worker.hasCapacityFor(spec)) return 'room';
    return isStarved ? this.starvedScore(spec, worker, nowMs) : this.score(spec, worker, nowMs);
  }
}

const kinds = new WeakMap<StepSpec, string>();

/** The same text for steps whose tasks can run on the same workers, and are worth the same there. */
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

function isOpen(worker: WorkerState, nowMs: number): boolean {
  if (!worker.listed || !worker.fenced || worker.entry.draining) return false;
  if (nowMs - worker.answeredMs > SILENT_MS) return false;
  return nowMs >= worker.fullUntilMs && !worker.health.isSuspected(nowMs);
}

/**
 * Serving tasks are believed to use this part of their claim on average when filling tasks are
 * placed beside them; the rest is left over for these.
 */
const SERVING_UTILISATION = 0.5;

/** What a rack with the step's data is worth against free processor time, in thousandths of a core. */
const RACK_BONUS = 20_000;

/** What company of the same image is worth to a serving task, in thousandths of a core each. */
const SAME_IMAGE_BONUS = 6_000;

/**
 * What company of each other image costs it: more than any free processors are worth. An image that
 * disturbs either of two is kept from a worker that has both.
 */
const OTHER_IMAGE_COST = 20_000;

/** A task of a job that starves goes where it can work at this share of its speed at least. */
const MIN_STARVED_SPEED = 0.3;

/** Larger than any score, in thousandths of a core. */
const STARVED_COST = 10_000_000;

/**
 * Puts each task where the most is left over; serving tasks beside others of their image, so that
 * few workers are closed to any one filling image; and filling tasks only where the tails of the
 * serving tasks leave room for them.
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
    const free = worker.entry.capacity.cpuMilli - worker.cpuMilli;
    if (spec.targetMs > 0) return rackBonus + free / 2 + colocationScore(spec, worker);
    return rackBonus + free - worker.bestEffortMilli / 4;
  }

  protected starvedScore(spec: StepSpec, worker: WorkerState, nowMs: number): number | Obstacle {
    const score = this.score(spec, worker, nowMs);
    if (typeof score === 'number' || score === 'harmed') return score;
    const share = this.#headroom.speedWith(spec, worker, nowMs);
    // Below every place where it could work at full speed.
    return share < MIN_STARVED_SPEED ? score : (share - 2) * STARVED_COST;
  }

  #bestEffortScore(spec: StepSpec, worker: WorkerState, nowMs: number): number | Obstacle {
    if (worker.missesTarget()) return 'harmed';
    const { cpuMilli } = worker.entry.capacity;
    const used = worker.cpuMilli - worker.servingMilli * (1 - SERVING_UTILISATION);
    const left = cpuMilli - used - worker.bestEffortMilli;
    if (left < spec.cpuMilli) return 'processors';
    const headroom = this.#headroom.headroomWith(spec, worker, nowMs);
    if (headroom < 0) return 'slack';
    // One unit of slack to spare is worth as much as a whole empty worker, and more is no use.
    return left + Math.min(1, headroom) * cpuMilli;
  }
}

function colocationScore(spec: StepSpec, worker: WorkerState): number {
  let score = 0;
  for (const [image, count] of worker.servingImages) {
    score += image === spec.image ? count * SAME_IMAGE_BONUS : -OTHER_IMAGE_COST;
  }
  return score;
}
