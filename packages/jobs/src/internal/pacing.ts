import { claimedParts } from './best-effort-parts.js';
import type { TailLatencyModel } from './tail-latency-model.js';
import { hasTailLatency } from './tail-latency-model.js';
import type { WorkerRun } from './worker-run.js';
import type { WorkerState } from './worker-state.js';

/**
 * Best-effort tasks run as fast as they can while serving tasks keep this slack; at 1 the tail
 * latency equals its target. It applies to the slack forecast for the next second. It is a little
 * less than the slack required for placement, so that a task that was just placed may run.
 */
const PACING_SLACK = 1.15;

/** How far ahead slack is forecast, in milliseconds: the next report may come a second later. */
const FORECAST_MS = 1_000;

/**
 * Above this part of its target a tail latency is too long: tasks that interfere with it are slowed
 * down at once.
 */
const NEAR_TARGET_RATIO = 0.9;

/** Paces are multiples of this, in percent; a smaller change is not worth a call. */
const PACE_STEP = 10;

/**
 * A task below this pace, in percent, would occupy its memory with almost no progress; it is halted
 * instead.
 */
const MIN_PACE = 50;

/**
 * The time until a change of pace shows, in milliseconds: the tail latency is measured over half a
 * second, and then one renewal follows.
 */
const SETTLE_MS = 700;

/**
 * How long images that interfere wait before they are sped up, in milliseconds. It is longer than
 * for others, because the load oscillates within seconds.
 */
const SPEED_UP_DELAY_MS = 1_200;

/**
 * A best-effort image that takes less slack than this is not considered as the cause of a long tail
 * latency.
 */
const MIN_BLAMED_SLACK = 0.1;

/**
 * The share of their speed that best-effort tasks keep beside a serving task that misses its target
 * without a known cause. The cause may be the serving task's own load, and then a halt would not
 * help; if it is not, the halt after `HALT_AFTER_MS` follows.
 */
const UNKNOWN_CAUSE_LIMIT = 0.5;

/**
 * How long a target may be missed before every best-effort task on the worker is halted, in
 * milliseconds. By then the known causes have been halted without enough effect, and users notice a
 * few seconds.
 */
const HALT_AFTER_MS = 1_200;

/** A change of pace for one run. */
export interface PaceChange {
  readonly run: WorkerRun;
  readonly percent: number;
}

/**
 * Chooses which best-effort tasks must run slower or may run faster, from the tail latencies of the
 * serving tasks on the same worker. Images that are known to interfere run at the share of their
 * speed at which the tail latency is expected to stay within bounds. If no cause is known, or if
 * that does not help soon, every best-effort task is halted, because the users of the serving tasks
 * notice a target that is missed for seconds. Tasks that do not interfere continue as soon as no
 * target is missed.
 */
export function choosePaces(
  worker: WorkerState,
  model: TailLatencyModel,
  nowMs: number,
): PaceChange[] {
  const serving = [...worker.runs.values()].filter(hasTailLatency);
  const worstRatio = Math.max(0, ...serving.map(targetRatioOf));
  const limits = mustHalt(worker, nowMs) ? undefined : limitsOf(worker, serving, model, nowMs);
  const sinceChangeMs = nowMs - worker.paceChangedMs;
  const changes: PaceChange[] = [];
  for (const run of worker.runs.values()) {
    if (run.spec.fills && run.confirmed) {
      const limit = limits ? limits.get(run.spec.image) : 0;
      const percent = nextPace(run.pace, limit, worstRatio, sinceChangeMs);
      if (percent !== run.pace) changes.push({ run, percent });
    }
  }
  return changes;
}

/** Returns the tail latency divided by its target. */
function targetRatioOf({ measure, spec }: WorkerRun): number {
  return measure / spec.targetMs;
}

function mustHalt(worker: WorkerState, nowMs: number): boolean {
  for (const { missedTargetSinceMs } of worker.runs.values()) {
    if (missedTargetSinceMs > 0 && nowMs - missedTargetSinceMs >= HALT_AFTER_MS) return true;
  }
  return false;
}

/**
 * Returns, for each best-effort image that interferes with a serving task here, the share of its
 * speed that the tail latency permits.
 */
function limitsOf(
  worker: WorkerState,
  serving: readonly WorkerRun[],
  model: TailLatencyModel,
  nowMs: number,
): Map<string, number> {
  const limits = new Map<string, number>();
  const limit = (image: string, share: number): void => {
    limits.set(image, Math.min(share, limits.get(image) ?? 1));
  };
  for (const run of serving) {
    const interferences = interferenceOn(run.spec.image, worker, model);
    const full = interferences.reduce((sum, { lostSlack }) => sum + lostSlack, 0);
    const share = (model.baselineSlack(run, worker, nowMs, FORECAST_MS) - PACING_SLACK) / full;
    for (const { image } of interferences) limit(image, Math.max(0, share));
    if (interferences.length === 0 && targetRatioOf(run) > 1) {
      for (const image of worker.bestEffortClaims().keys()) limit(image, UNKNOWN_CAUSE_LIMIT);
    }
  }
  return limits;
}

interface Interference {
  readonly image: string;
  /** The slack that the image's runs here take when they run at full speed. */
  readonly lostSlack: number;
}

function interferenceOn(
  servingImage: string,
  worker: WorkerState,
  model: TailLatencyModel,
): Interference[] {
  return [...claimedParts(worker)]
    .map(([image, part]) => ({
      image,
      lostSlack: model.interference.weight(servingImage, image) * part,
    }))
    .filter(({ lostSlack }) => lostSlack > MIN_BLAMED_SLACK);
}

function nextPace(
  pace: number,
  limit: number | undefined,
  worstRatio: number,
  sinceChangeMs: number,
): number {
  const wanted = roundPace(limit);
  if (wanted === 0) return 0;
  if (wanted < pace) {
    const isUrgent = worstRatio > NEAR_TARGET_RATIO;
    return isUrgent || sinceChangeMs >= SETTLE_MS ? wanted : pace;
  }
  if (worstRatio > 1) return pace;
  return sinceChangeMs >= (limit === undefined ? SETTLE_MS : SPEED_UP_DELAY_MS) ? wanted : pace;
}

function roundPace(limit = 1): number {
  const percent = Math.floor((limit * 100) / PACE_STEP) * PACE_STEP;
  return percent < MIN_PACE ? 0 : Math.min(100, percent);
}
