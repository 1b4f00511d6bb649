import type { PressModel } from './press-model.js';
import type { WorkerRun, WorkerState } from './worker-state.js';

/** Above this part of a serving task's target, the images to blame are slowed down by one step. */
const NEAR_TARGET = 0.9;

/** Below this part, images that press may work faster again. */
const FAR_BELOW_TARGET = 0.8;

/** The shares of their speed that filling tasks step through, in percent. */
const PACES = [0, 25, 50, 100] as const;

/** The tail is measured over half a second; a change shows after that and one renewal, in ms. */
const SETTLE_MS = 700;

/** Images that press wait longer before they speed up: the load swings within seconds. */
const SPEED_UP_MS = 1_500;

/** A filling image that adds less than this to the logarithm of a tail is not to blame for it. */
const BLAME = 0.08;

/**
 * A target missed for so long halts every filling task beside it, in ms: the causes that are
 * known were halted before and did not suffice, and users notice a few seconds.
 */
const HALT_MS = 1_200;

/** A change of pace for one run. */
export interface PaceChange {
  readonly run: WorkerRun;
  readonly percent: number;
}

/** By filling image: the part of the worker's processors that its runs here used lately. */
export function fillParts(worker: WorkerState): Map<string, number> {
  const parts = new Map<string, number>();
  for (const { spec, seen, measure } of worker.runs.values()) {
    if (spec.fills && seen) {
      const part = measure / worker.entry.capacity.cpuMilli;
      parts.set(spec.image, (parts.get(spec.image) ?? 0) + part);
    }
  }
  return parts;
}

/**
 * Which filling tasks must work slower, or may work faster, from the tails of the serving tasks
 * beside them. An image known to lengthen a tail that is too long is halted at once; if that does
 * not help soon, every filling task is: a target missed for seconds on end is what the serving
 * tasks' own users notice. The harmless ones go on as soon as no target is missed.
 */
export function choosePaces(worker: WorkerState, model: PressModel, nowMs: number): PaceChange[] {
  const halt = mustHalt(worker, nowMs);
  const tails = [...servingTails(worker)];
  const worst = Math.max(0, ...tails.map(({ ratio }) => ratio));
  const blamed = halt ? new Map<string, number>() : blame(worker, tails, model);
  const sinceMs = nowMs - worker.paceChangedMs;
  const changes: PaceChange[] = [];
  for (const run of worker.runs.values()) {
    if (run.spec.fills && run.seen) {
      const ratio = halt ? Infinity : blamed.get(run.spec.image);
      const percent =
        ratio === undefined
          ? fasterPace(run, worker, model, worst, sinceMs)
          : slowerPace(run, ratio, sinceMs);
      if (percent !== run.pace) changes.push({ run, percent });
    }
  }
  return changes;
}

interface ServingTail {
  readonly image: string;
  /** The tail as a part of the target. */
  readonly ratio: number;
}

function* servingTails(worker: WorkerState): Generator<ServingTail> {
  for (const { spec, seen, measure } of worker.runs.values()) {
    if (spec.targetMs > 0 && seen) yield { image: spec.image, ratio: measure / spec.targetMs };
  }
}

function mustHalt(worker: WorkerState, nowMs: number): boolean {
  for (const { overSinceMs } of worker.runs.values()) {
    if (overSinceMs > 0 && nowMs - overSinceMs >= HALT_MS) return true;
  }
  return false;
}

/** By image to blame: the worst tail that it lengthens, as a part of its target. */
function blame(
  worker: WorkerState,
  tails: readonly ServingTail[],
  model: PressModel,
): Map<string, number> {
  const parts = fillParts(worker);
  const blamed = new Map<string, number>();
  for (const { image, ratio } of tails) {
    if (ratio > NEAR_TARGET) {
      const known = [...parts].filter(([fill, part]) => model.weight(image, fill) * part > BLAME);
      // Without a known cause, a tail just over its target may be its own load's doing.
      const causes = known.length > 0 || ratio < 1 ? known : [...parts];
      for (const [fill] of causes) blamed.set(fill, Math.max(ratio, blamed.get(fill) ?? 0));
    }
  }
  return blamed;
}

function slowerPace(run: WorkerRun, ratio: number, sinceMs: number): number {
  if (ratio === Infinity) return 0;
  const level = PACES.findIndex((pace) => pace >= run.pace);
  return sinceMs >= SETTLE_MS ? PACES[Math.max(0, level - 1)]! : run.pace;
}

function fasterPace(
  run: WorkerRun,
  worker: WorkerState,
  model: PressModel,
  worst: number,
  sinceMs: number,
): number {
  if (run.pace === 100 || worst > 1) return run.pace;
  const part = run.spec.cpuMilli / worker.entry.capacity.cpuMilli;
  const presses = [...worker.servingImages.keys()].some(
    (image) => model.weight(image, run.spec.image) * part > BLAME,
  );
  if (!presses) return sinceMs >= SETTLE_MS ? 100 : run.pace;
  if (worst >= FAR_BELOW_TARGET || sinceMs < SPEED_UP_MS) return run.pace;
  const level = PACES.findIndex((pace) => pace >= run.pace);
  return PACES[Math.min(PACES.length - 1, level + 1)]!;
}
