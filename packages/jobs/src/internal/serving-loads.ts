import type { TaskRef } from '../task-ref.js';
import { CommonPeriod } from './common-period.js';
import { StepLoad } from './step-load.js';

/** A load not measured for so long tells nothing of now, in milliseconds. */
const STALE_MS = 2_500;

/** The usual slack of a step, until some were observed. */
const INITIAL_PRIOR_SLACK = 1.7;

/** What one observation adds to the usual slack. */
const PRIOR_LEARNING_RATE = 0.002;

/**
 * The load of lasting steps that serve callers of their own, as the slack that their tails would
 * have with nothing beside them. The tasks of one step share their callers, so their loads swing
 * together, while each single figure is rough. Without this the swing of a task's own load was
 * taken for the doing of whatever happened to work beside it, and the other way round.
 *
 * What is started beside a serving task works for seconds, and a swing turns within these. So the
 * swing itself is fitted: its trend alone, drawn out that far, is worse than the mean.
 */
export class ServingLoads {
  readonly #loads = new Map<string, StepLoad>();

  readonly #period = new CommonPeriod();

  #priorSlack = INITIAL_PRIOR_SLACK;

  /** One task of the step would have had this slack with nothing beside it. */
  observe(ref: TaskRef, slack: number, nowMs: number): void {
    this.#priorSlack += (slack - this.#priorSlack) * PRIOR_LEARNING_RATE;
    const load = this.#recent(ref, nowMs);
    if (load) {
      load.observe(slack, nowMs, this.#priorSlack);
      return;
    }
    this.#forgetStale(nowMs);
    this.#loads.set(stepKey(ref), new StepLoad(slack, nowMs, this.#period));
  }

  /** The slack that the step's tails would have now; undefined if nothing recent is known. */
  currentSlack(ref: TaskRef, nowMs: number): number | undefined {
    return this.#recent(ref, nowMs)?.level;
  }

  /** The least slack that the step's tails are expected to have within so many milliseconds. */
  minSlackAhead(ref: TaskRef, nowMs: number, aheadMs: number): number | undefined {
    return this.#recent(ref, nowMs)?.minSlackAhead(nowMs, aheadMs);
  }

  #recent(ref: TaskRef, nowMs: number): StepLoad | undefined {
    const load = this.#loads.get(stepKey(ref));
    return load && nowMs - load.atMs <= STALE_MS ? load : undefined;
  }

  #forgetStale(nowMs: number): void {
    for (const [key, { atMs }] of this.#loads) {
      if (nowMs - atMs > STALE_MS) this.#loads.delete(key);
    }
  }
}

function stepKey({ jobId, occurrence, step }: TaskRef): string {
  return `${jobId}.${occurrence}.${step}`;
}
