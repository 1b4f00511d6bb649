import type { TaskRef } from '../task-ref.js';
import { CommonPeriod } from './common-period.js';
import { StepLoad } from './step-load.js';

/** A load that was last measured longer ago than this is ignored, in milliseconds. */
const STALE_MS = 2_500;

/** The prior slack of a step before any was observed. */
const INITIAL_PRIOR_SLACK = 1.7;

/** The weight of one observation in the prior slack. */
const PRIOR_LEARNING_RATE = 0.002;

/**
 * The load of long-running steps that serve callers, expressed as the slack that their tail
 * latencies would have without best-effort tasks on the same workers. The tasks of one step share
 * their callers, so their loads oscillate together, while each single measurement is rough. Without
 * this model, an oscillation of a task's own load would be attributed to the tasks that happen to
 * run beside it, and the other way round.
 *
 * A task that is started beside a serving task runs for seconds, and an oscillation turns within
 * that time. Therefore the oscillation itself is fitted: its trend alone, extrapolated that far, is
 * worse than the mean.
 */
export class ServingLoads {
  readonly #loads = new Map<string, StepLoad>();

  readonly #period = new CommonPeriod();

  #priorSlack = INITIAL_PRIOR_SLACK;

  /** Records the slack that one task of the step would have had without interference. */
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

  /**
   * Returns the slack that the step's tail latencies would have now without interference; undefined
   * if there is no recent observation.
   */
  currentSlack(ref: TaskRef, nowMs: number): number | undefined {
    return this.#recent(ref, nowMs)?.level;
  }

  /**
   * Returns the least slack that the step's tail latencies are expected to have within `aheadMs`
   * without interference; undefined if there is no recent observation.
   */
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
