import type { WorkerState } from './worker-state.js';

/** Above this part of a serving task's target, the filling tasks beside it are slowed down. */
const NEAR_TARGET = 0.85;

/** Below this part, they may work faster again. Well apart from the other, so that it settles. */
const FAR_BELOW_TARGET = 0.6;

/** The shares of their speed that filling tasks step through, in percent. */
const PACES = [0, 15, 30, 50, 70, 100] as const;

/** The tail is measured over half a second; a change shows after that and one renewal, in ms. */
const SETTLE_MS = 800;

/** Speeding up waits longer: the load swings within seconds. */
const SPEED_UP_MS = 1_600;

/**
 * The share of their speed that filling tasks may work at on a worker, from the tails of the
 * serving tasks there. One far over its target brings them to a halt at once: a target missed for
 * seconds on end is what the serving tasks' own users notice.
 */
export function choosePace(worker: WorkerState, nowMs: number): number {
  const worst = worstTail(worker);
  const sinceMs = nowMs - worker.paceChangedMs;
  const level = PACES.findIndex((pace) => pace >= worker.pace);
  if (worst > 1 && sinceMs >= SETTLE_MS) return PACES[Math.max(0, level - 2)]!;
  if (worst > NEAR_TARGET && sinceMs >= SETTLE_MS) return PACES[Math.max(0, level - 1)]!;
  if (worst < FAR_BELOW_TARGET && sinceMs >= SPEED_UP_MS) {
    return PACES[Math.min(PACES.length - 1, level + 1)]!;
  }
  return worker.pace;
}

function worstTail(worker: WorkerState): number {
  let worst = 0;
  for (const { spec, seen, measure } of worker.runs.values()) {
    if (spec.targetMs > 0 && seen) worst = Math.max(worst, measure / spec.targetMs);
  }
  return worst;
}
