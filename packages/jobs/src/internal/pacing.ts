import { claimedParts } from './best-effort-parts.js';
import type { TailLatencyModel } from './tail-latency-model.js';
import { hasTailLatency } from './tail-latency-model.js';
import type { WorkerRun } from './worker-run.js';
import type { WorkerState } from './worker-state.js';

/**
 * The slack that best-effort tasks are slowed down to leave to a serving task that misses its target; at
 * 1 the tail latency equals its target. It applies to the slack forecast for the next second.
 */
const PACING_SLACK = 1.15;

/** How far ahead slack is forecast, in milliseconds: the next report may come a second later. */
const FORECAST_MS = 1_000;

/** Paces are multiples of this, in percent; a smaller change is not worth a call. */
const PACE_STEP = 10;

/** The least share of its speed to which a task is slowed down before it is halted, in percent. */
const MIN_PACE = 50;

/**
 * The time until a change of pace shows, in milliseconds: the tail latency is measured over half a
 * second, and then one renewal follows.
 */
const SETTLE_MS = 700;

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
 * milliseconds. By then the known causes have been slowed down without enough effect, and users notice
 * a few seconds.
 */
const HALT_AFTER_MS = 1_200;

/** A change of pace for one run. */
export interface PaceChange {
  readonly run: WorkerRun;
  readonly percent: number;
}

/**
 * Chooses which best-effort tasks must run slower or may run faster, from the tail latencies of the
 * serving tasks on the same worker. Beside a target that is missed, images that are known to interfere
 * run at the share of their speed at which it is expected to be met, and at half their speed at least.
 * If no cause is known, or if that does not help soon, every best-effort task is halted, because the
 * users of the serving tasks notice a target that is missed for seconds.
 *
 * Nothing is slowed down while every target is met, however near: a job waits for its last task, so a
 * halted task makes a job late, while a target that is missed for a moment costs little.
 */
export function choosePaces(
  worker: WorkerState,
  model: TailLatencyModel,
  nowMs: number,
): PaceChange[] {
  const serving = [...worker.runs.values()].filter(hasTailLatency);
  const missing = serving.filter(missesTarget);
  const limits = mustHalt(worker, nowMs) ? undefined : limitsOf(worker, missing, model, nowMs);
  const sinceChangeMs = nowMs - worker.paceChangedMs;
  const changes: PaceChange[] = [];
  for (const run of worker.runs.values()) {
    if (run.spec.fills && run.confirmed) {
      const limit = limits ? limits.get(run.spec.image) : 0;
      const percent = nextPace(run.pace, limit, missing.length > 0, sinceChangeMs);
      if (percent !== run.pace) changes.push({ run, percent });
    }
  }
  return changes;
}

function missesTarget({ measure, spec }: WorkerRun): boolean {
  return measure > spec.targetMs;
}

function mustHalt(worker: WorkerState, nowMs: number): boolean {
  for (const { missedTargetSinceMs } of worker.runs.values()) {
    if (missedTargetSinceMs > 0 && nowMs - missedTargetSinceMs >= HALT_AFTER_MS) return true;
  }
  return false;
}

/**
 * Returns, for each best-effort image that is slowed down for a serving task that misses its target,
 * the share of its speed that is left.
 */
function limitsOf(
  worker: WorkerState,
  missing: readonly WorkerRun[],
  model: TailLatencyModel,
  nowMs: number,
): Map<string, number> {
  const limits = new Map<string, number>();
  const limit = (image: string, share: number): void => {
    limits.set(image, Math.min(share, limits.get(image) ?? 1));
  };
  for (const run of missing) {
    const interferences = interferenceOn(run.spec.image, worker, model);
    const full = interferences.reduce((sum, { lostSlack }) => sum + lostSlack, 0);
    const share = (model.baselineSlack(run, worker, nowMs, FORECAST_MS) - PACING_SLACK) / full;
    for (const { image } of interferences) limit(image, Math.max(MIN_PACE / 100, share));
    if (interferences.length === 0) {
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
  isTargetMissed: boolean,
  sinceChangeMs: number,
): number {
  const wanted = roundPace(limit);
  if (wanted < pace) return wanted;
  return isTargetMissed || sinceChangeMs < SETTLE_MS ? pace : wanted;
}

function roundPace(limit = 1): number {
  return Math.min(100, Math.floor((limit * 100) / PACE_STEP) * PACE_STEP);
}
