import { claimedParts } from './best-effort-parts.js';
import type { TailLatencyModel } from './tail-latency-model.js';
import { hasTailLatency } from './tail-latency-model.js';
import type { WorkerRun, WorkerState } from './worker-state.js';

/**
 * Filling tasks work as fast as leaves serving tasks this slack; 1 is a tail at its target. It goes
 * by the slack expected in a second. A little less than is kept when placing, so that what was just
 * placed may work.
 */
const PACING_SLACK = 1.15;

/** So far ahead slack is expected, in ms: until the next report a second may pass. */
const FORECAST_MS = 1_000;

/** Above this part of its target a tail is too long: what disturbs it works slower at once. */
const NEAR_TARGET_RATIO = 0.9;

/** Paces are multiples of this, in percent; a smaller change is not worth a call. */
const PACE_STEP = 10;

/** A task slower than this holds its memory and gets nowhere: it is halted, in percent. */
const MIN_PACE = 50;

/** The tail is measured over half a second; a change shows after that and one renewal, in ms. */
const SETTLE_MS = 700;

/** Disturbing images wait longer before they speed up: the load swings within seconds. */
const SPEED_UP_DELAY_MS = 1_200;

/** A filling image that takes less slack than this is not to blame for a tail. */
const MIN_BLAMED_SLACK = 0.1;

/**
 * The share of their speed that filling tasks keep beside a missed target with no known cause. It
 * may be the serving task's own load, and then a halt would help nobody; where it is not, the halt
 * after `HALT_MS` follows.
 */
const UNKNOWN_CAUSE_LIMIT = 0.5;

/**
 * A target missed for so long halts every filling task beside it, in ms: the causes that are
 * known were halted before and did not suffice, and users notice a few seconds.
 */
const HALT_AFTER_MS = 1_200;

/** A change of pace for one run. */
export interface PaceChange {
  readonly run: WorkerRun;
  readonly percent: number;
}

/**
 * Which filling tasks must work slower, or may work faster, from the tails of the serving tasks
 * beside them. Images known to lengthen a tail work at the share of their speed at which the tail
 * is expected to be in bounds; where no known cause is found or that does not help soon, every
 * filling task is halted: a target missed for seconds on end is what the serving tasks' own users
 * notice. The harmless ones go on as soon as no target is missed.
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

/** The tail as a part of its target. */
function targetRatioOf({ measure, spec }: WorkerRun): number {
  return measure / spec.targetMs;
}

function mustHalt(worker: WorkerState, nowMs: number): boolean {
  for (const { missedTargetSinceMs } of worker.runs.values()) {
    if (missedTargetSinceMs > 0 && nowMs - missedTargetSinceMs >= HALT_AFTER_MS) return true;
  }
  return false;
}

/** By filling image that disturbs a tail here: the share of its speed that the tail allows. */
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
  /** The slack that the image's runs here take when they work at full speed. */
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
