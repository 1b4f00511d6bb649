import type { TaskRef } from '../task-ref.js';

/** How fast the level follows what is measured, in milliseconds: a handful of reports count. */
const LEVEL_MS = 400;

/** The same for the slow level, from whose distance the trend is read. */
const SLOW_MS = 1_200;

/** So far ahead the trend is drawn out, in ms: until the next report a second may pass. */
const AHEAD_MS = 1_000;

/** Reports that come at the same moment count as if they were so far apart, in milliseconds. */
const LEAST_APART_MS = 20;

/** A level not measured for so long tells nothing of now, in milliseconds. */
const STALE_MS = 2_500;

interface Level {
  atMs: number;
  fast: number;
  slow: number;
}

/**
 * The load of lasting steps that serve callers of their own, as the slack that their tails would
 * have with nothing beside them. The tasks of one step share their callers, so their loads swing
 * together, while each single figure is rough. Without this the swing of a task's own load was
 * taken for the doing of whatever happened to work beside it, and the other way round.
 */
export class ServingLoads {
  readonly #levels = new Map<string, Level>();

  /** One task of the step would have had this slack with nothing beside it. */
  observe(ref: TaskRef, slack: number, nowMs: number): void {
    const key = stepKey(ref);
    const level = this.#levels.get(key);
    if (!level || nowMs - level.atMs > STALE_MS) {
      this.#forgetStale(nowMs);
      this.#levels.set(key, { atMs: nowMs, fast: slack, slow: slack });
      return;
    }
    const sinceMs = Math.max(LEAST_APART_MS, nowMs - level.atMs);
    level.fast += (slack - level.fast) * (1 - Math.exp(-sinceMs / LEVEL_MS));
    level.slow += (slack - level.slow) * (1 - Math.exp(-sinceMs / SLOW_MS));
    level.atMs = nowMs;
  }

  /** The slack that the step's tails would have now; undefined if nothing recent is known. */
  now(ref: TaskRef, nowMs: number): number | undefined {
    const level = this.#levels.get(stepKey(ref));
    return level && nowMs - level.atMs <= STALE_MS ? level.fast : undefined;
  }

  /** The least slack that the step's tails are expected to have until the next reports. */
  soon(ref: TaskRef, nowMs: number): number | undefined {
    const level = this.#levels.get(stepKey(ref));
    if (!level || nowMs - level.atMs > STALE_MS) return undefined;
    const slope = (level.fast - level.slow) / (SLOW_MS - LEVEL_MS);
    // The fast level itself lags by about its own time.
    return level.fast + Math.min(0, slope) * (AHEAD_MS + LEVEL_MS);
  }

  #forgetStale(nowMs: number): void {
    for (const [key, { atMs }] of this.#levels) {
      if (nowMs - atMs > STALE_MS) this.#levels.delete(key);
    }
  }
}

function stepKey({ jobId, occurrence, step }: TaskRef): string {
  return `${jobId}.${occurrence}.${step}`;
}
