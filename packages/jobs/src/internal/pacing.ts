import type { PressModel } from './press-model.js';
import type { WorkerRun, WorkerState } from './worker-state.js';

/** Above this part of a serving task's target, the filling tasks beside it are slowed down. */
const NEAR_TARGET = 0.9;

/** Below this part, they may work faster again. Well apart from the other, so that it settles. */
const FAR_BELOW_TARGET = 0.7;

/** The shares of their speed that filling tasks step through, in percent. */
const PACES = [0, 25, 50, 100] as const;

/** The tail is measured over half a second; a change shows after that and one renewal, in ms. */
const SETTLE_MS = 700;

/** Speeding up waits longer: the load swings within seconds. */
const SPEED_UP_MS = 1_500;

/**
 * A target missed for so long halts every filling task beside it, in ms: the causes that are
 * known were slowed down by then and did not suffice, and users notice a few seconds.
 */
const HALT_MS = 900;

/** A filling image that adds less than this to the logarithm of a tail is not to blame for it. */
const BLAME = 0.08;

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
 * beside them. Only those are slowed down whose images are known to lengthen the tail that is too
 * long; while none is known, all of them: a target missed for seconds on end is what the serving
 * tasks' own users notice.
 */
export function choosePaces(worker: WorkerState, model: PressModel, nowMs: number): PaceChange[] {
  const changes: PaceChange[] = [];
  if (mustHalt(worker, nowMs)) {
    for (const run of worker.runs.values()) {
      if (run.spec.fills && run.pace > 0) changes.push({ run, percent: 0 });
    }
    return changes;
  }
  const { blamed, isCalm } = judge(worker, model);
  const sinceMs = nowMs - worker.paceChangedMs;
  for (const run of worker.runs.values()) {
    if (run.spec.fills && run.seen) {
      const level = PACES.findIndex((pace) => pace >= run.pace);
      if (blamed.has(run.spec.image)) {
        if (sinceMs >= SETTLE_MS && level > 0) changes.push({ run, percent: PACES[level - 1]! });
      } else if (isCalm && sinceMs >= SPEED_UP_MS && level < PACES.length - 1) {
        changes.push({ run, percent: PACES[level + 1]! });
      }
    }
  }
  return changes;
}

function mustHalt(worker: WorkerState, nowMs: number): boolean {
  for (const { overSinceMs } of worker.runs.values()) {
    if (overSinceMs > 0 && nowMs - overSinceMs >= HALT_MS) return true;
  }
  return false;
}

function judge(worker: WorkerState, model: PressModel): { blamed: Set<string>; isCalm: boolean } {
  const parts = fillParts(worker);
  const blamed = new Set<string>();
  let worst = 0;
  for (const { spec, seen, measure } of worker.runs.values()) {
    if (spec.targetMs > 0 && seen) {
      const ratio = measure / spec.targetMs;
      worst = Math.max(worst, ratio);
      if (ratio > NEAR_TARGET) blame(spec.image, ratio, parts, model, blamed);
    }
  }
  return { blamed, isCalm: worst < FAR_BELOW_TARGET };
}

function blame(
  serving: string,
  ratio: number,
  parts: ReadonlyMap<string, number>,
  model: PressModel,
  blamed: Set<string>,
): void {
  const known = [...parts].filter(([image, part]) => model.weight(serving, image) * part > BLAME);
  // Without a known cause, a tail just over its target may be its own load's doing.
  const causes = known.length > 0 || ratio < 1 ? known : [...parts];
  for (const [image] of causes) blamed.add(image);
}
