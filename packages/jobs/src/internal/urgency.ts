import type { JobSpec, QueuePolicy } from '../job.js';

/** An end later than this many times the objective is worth nothing to the caller. */
const WORTHLESS_FACTOR = 3;

/**
 * How much a caller still gets from work on a job now.
 *
 * - 0: it can end in time.
 * - 1: it can only end late.
 * - 2: it ends too late to be of use, whatever is done.
 */
export type Feasibility = 0 | 1 | 2;

const knownPaths = new WeakMap<JobSpec, readonly number[]>();

/** By step: the estimated time from its start to the job's end along the longest chain. */
export function criticalPathsMs(spec: JobSpec): readonly number[] {
  const known = knownPaths.get(spec);
  if (known) return known;
  const paths = spec.steps.map(({ estimateMs }) => estimateMs);
  for (let step = spec.steps.length - 1; step >= 0; step -= 1) {
    for (const earlier of spec.steps[step]!.after) {
      const pathMs = spec.steps[earlier]!.estimateMs + paths[step]!;
      paths[earlier] = Math.max(paths[earlier]!, pathMs);
    }
  }
  knownPaths.set(spec, paths);
  return paths;
}

/** How long the job may take from its acceptance (or its due time), in milliseconds. */
export function objectiveMs(spec: JobSpec, { stretch, targetLatencyMs }: QueuePolicy): number {
  return stretch * Math.max(0, ...criticalPathsMs(spec)) + targetLatencyMs;
}

/** What is left for a job that must still do a step and all that follows it. */
export function feasibilityOf(
  spec: JobSpec,
  queue: QueuePolicy,
  step: number,
  requestedMs: number,
  timeOfDayMs: number,
): Feasibility {
  if (spec.steps[step]!.lasting) return 0;
  const endMs = timeOfDayMs + criticalPathsMs(spec)[step]!;
  const objective = objectiveMs(spec, queue);
  if (endMs <= requestedMs + objective) return 0;
  return endMs <= requestedMs + WORTHLESS_FACTOR * objective ? 1 : 2;
}
