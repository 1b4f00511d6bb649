import type { JobSpec, QueuePolicy } from '../job.js';

/** A job that ends later than this many times its objective is of no use to its caller. */
const WORTHLESS_FACTOR = 3;

/** Whether a completed job met its objective, was late, or took more than three times as long. */
export type ObjectiveOutcome = 'met' | 'late' | 'missed';

/** Returns how a job did that took the given time, in milliseconds. */
export function objectiveOutcomeOf(tookMs: number, objectiveMs: number): ObjectiveOutcome {
  if (tookMs <= objectiveMs) return 'met';
  return tookMs <= WORTHLESS_FACTOR * objectiveMs ? 'late' : 'missed';
}

/**
 * How useful work on a job still is to its caller.
 *
 * - 0: the job can end in time.
 * - 1: it can only end late.
 * - 2: it ends too late to be of use in any case.
 */
export type Feasibility = 0 | 1 | 2;

/** The estimated times of a job's steps, in milliseconds. */
interface StepPaths {
  /** For each step: from its start to the job's end. */
  readonly pathsMs: readonly number[];
  readonly longestMs: number;
}

const knownPaths = new WeakMap<JobSpec, StepPaths>();

/**
 * Returns, for each step, the estimated time from its start to the job's end along the longest
 * chain of steps, in milliseconds.
 */
export function criticalPathsMs(spec: JobSpec): readonly number[] {
  return pathsOf(spec).pathsMs;
}

function pathsOf(spec: JobSpec): StepPaths {
  const known = knownPaths.get(spec);
  if (known) return known;
  const paths = spec.steps.map(({ estimateMs }) => estimateMs);
  for (let step = spec.steps.length - 1; step >= 0; step -= 1) {
    for (const earlier of spec.steps[step]!.after) {
      const pathMs = spec.steps[earlier]!.estimateMs + paths[step]!;
      paths[earlier] = Math.max(paths[earlier]!, pathMs);
    }
  }
  const found = { pathsMs: paths, longestMs: paths.reduce((a, b) => Math.max(a, b), 0) };
  knownPaths.set(spec, found);
  return found;
}

/** Returns how long the job may take from its acceptance or due time, in milliseconds. */
export function objectiveMsOf(spec: JobSpec, { stretch, targetLatencyMs }: QueuePolicy): number {
  return stretch * pathsOf(spec).longestMs + targetLatencyMs;
}

/** Returns after how long from its acceptance the end of a job is of no use, in milliseconds. */
export function worthlessAfterMs(spec: JobSpec, queue: QueuePolicy): number {
  return WORTHLESS_FACTOR * objectiveMsOf(spec, queue);
}

/** Returns the feasibility of a job that has yet to run a step and all steps that depend on it. */
export function feasibilityOf(
  spec: JobSpec,
  queue: QueuePolicy,
  step: number,
  requestedMs: number,
  timeOfDayMs: number,
): Feasibility {
  if (spec.steps[step]!.lasting) return 0;
  const endMs = timeOfDayMs + criticalPathsMs(spec)[step]!;
  const objective = objectiveMsOf(spec, queue);
  if (endMs <= requestedMs + objective) return 0;
  return endMs <= requestedMs + WORTHLESS_FACTOR * objective ? 1 : 2;
}
