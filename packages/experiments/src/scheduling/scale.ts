import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { BestFit, SchedulingMemory, planPass } from '@redwingcrank/decisions';
import type { ControlAction } from '@redwingcrank/protocol';
import type { ScaleSize } from './scale-world.js';
import { DATA_CENTRE, ScaleWorld, jobOf } from './scale-world.js';

/** What passes cost at one size. Times in milliseconds, memory in MiB. */
export interface ScaleRow extends ScaleSize {
  readonly passes: number;
  readonly passMedianMs: number;
  readonly passMaxMs: number;
  /** The longest time between two points where the driver may yield. */
  readonly stepMaxMs: number;
  readonly heapMb: number;
  readonly binds: number;
  /** Passes until an urgent task is bound on the full data centre, and their time. */
  readonly urgentPasses: number;
  readonly urgentMs: number;
}

export interface ScaleSettings {
  readonly seed: number;
  readonly passes: number;
  readonly startsPerPass: number;
}

/** The letter's data centre, and one size changed at a time around it. */
const LETTER: ScaleSize = {
  workers: 520,
  replicas: 3_400,
  running: 7_000,
  waiting: 5_000,
  teams: 440,
};

export const SIZES: readonly ScaleSize[] = [
  LETTER,
  { ...LETTER, waiting: 0 },
  { ...LETTER, waiting: 20_000 },
  { ...LETTER, waiting: 50_000 },
  { ...LETTER, workers: 1_040 },
  { ...LETTER, workers: 1_040, replicas: 6_800, running: 14_000 },
  { workers: 12_000, replicas: 78_000, running: 160_000, waiting: 50_000, teams: 440 },
];

const MAX_URGENT_PASSES = 10;

const BYTES_PER_MB = 1024 * 1024;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Runs passes at one size; before each, some tasks complete, so that room comes free. */
export function measureScale(size: ScaleSize, settings: ScaleSettings): ScaleRow {
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const world = new ScaleWorld(size, settings.seed);
  const memory = new SchedulingMemory();
  collectGarbage();
  const heapMb = (process.memoryUsage().heapUsed - before) / BYTES_PER_MB;
  const times: number[] = [];
  let stepMaxMs = 0;
  let binds = 0;
  for (let i = 0; i < settings.passes; i += 1) {
    world.complete(settings.startsPerPass);
    const pass = timedPass(world, memory);
    world.apply(pass.actions);
    times.push(pass.totalMs);
    stepMaxMs = Math.max(stepMaxMs, pass.stepMaxMs);
    binds += pass.actions.filter((action) => action.type === 'bind').length;
  }
  times.sort((a, b) => a - b);
  const passMedianMs = times[Math.floor(times.length / 2)] ?? 0;
  const passMaxMs = times.at(-1) ?? 0;
  const { passes } = settings;
  const urgent = placeUrgent(world, memory);
  return { ...size, passes, passMedianMs, passMaxMs, stepMaxMs, heapMb, binds, ...urgent };
}

/** Workers confirm each eviction before the next pass; their time to stop is not in the figure. */
function placeUrgent(
  world: ScaleWorld,
  memory: SchedulingMemory,
): Pick<ScaleRow, 'urgentPasses' | 'urgentMs'> {
  const urgent = { ...jobOf('urgent', 0), tasks: 1, urgent: true };
  world.manifest = { ...world.manifest, jobs: [...world.manifest.jobs, urgent] };
  let urgentMs = 0;
  for (let urgentPasses = 1; urgentPasses <= MAX_URGENT_PASSES; urgentPasses += 1) {
    const pass = timedPass(world, memory);
    const start = performance.now();
    world.apply(pass.actions);
    urgentMs += pass.totalMs + performance.now() - start;
    if (world.fold.tasksOf('urgent').size > 0) return { urgentPasses, urgentMs };
    world.endRevoked();
  }
  return { urgentPasses: Infinity, urgentMs };
}

interface TimedPass {
  readonly actions: readonly ControlAction[];
  readonly totalMs: number;
  readonly stepMaxMs: number;
}

function timedPass(world: ScaleWorld, memory: SchedulingMemory): TimedPass {
  const { fold, manifest, listed } = world;
  const policy = new BestFit();
  const nowMs = Date.now();
  const actions: ControlAction[] = [];
  let stepMaxMs = 0;
  const start = performance.now();
  let last = start;
  for (const step of planPass({
    dataCentre: DATA_CENTRE,
    manifest,
    fold,
    listed,
    policy,
    nowMs,
    memory,
  })) {
    if (step.type === 'action') actions.push(step.action);
    const now = performance.now();
    stepMaxMs = Math.max(stepMaxMs, now - last);
    last = now;
  }
  const end = performance.now();
  return { actions, totalMs: end - start, stepMaxMs: Math.max(stepMaxMs, end - last) };
}
