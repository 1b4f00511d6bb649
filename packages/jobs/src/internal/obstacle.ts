/**
 * Why a worker cannot take a task.
 *
 * - `advice`: it has no valid ticket for the step.
 * - `closed`: the worker takes no tasks now: it is leaving, its machine is about to have
 *   maintenance, it does not answer, is suspected, or has just rejected a start for lack of capacity.
 * - `evacuated`: its data centre is evacuated, or was until a moment ago.
 * - `label`: it lacks a label that the task requires.
 * - `room`: its unreserved processors are too few.
 * - `memory`: its unreserved memory or GPUs are too few.
 * - `harmed`: a serving task there misses its target; only best-effort tasks are kept away.
 * - `processors`: the best-effort tasks there use all processors that other tasks leave.
 * - `slack`: the serving tasks there have no latency headroom for one more best-effort task.
 */
export type Obstacle =
  | 'advice'
  | 'closed'
  | 'evacuated'
  | 'label'
  | 'room'
  | 'memory'
  | 'harmed'
  | 'processors'
  | 'slack';

/** Whether a score of a worker is an obstacle that its ended tasks may remove. */
export function isCapacityLack(score: number | Obstacle): boolean {
  return score === 'room' || score === 'memory';
}

/** Whether an obstacle keeps only best-effort tasks away, and ended tasks may remove it. */
export function isBestEffortLack(score: Obstacle): boolean {
  return score === 'harmed' || score === 'processors' || score === 'slack';
}

/**
 * Why the tasks of a step wait: an obstacle, the `limits` of the rounds, no known cause, the full
 * rack of their data (`rack`), the full record of their job (`record`), or, for new long-running
 * tasks, jobs in time that lack room (`yields`).
 */
export type WaitCause = Obstacle | 'limits' | 'rack' | 'record' | 'yields' | 'none';

/** Returns the most frequent obstacle; `closed` if there are no obstacles. */
export function mostFrequent(obstacles: Iterable<Obstacle>): Obstacle {
  const counts = new Map<Obstacle, number>();
  for (const obstacle of obstacles) counts.set(obstacle, (counts.get(obstacle) ?? 0) + 1);
  let mostCommon: Obstacle = 'closed';
  for (const [obstacle, count] of counts)
    if (count > (counts.get(mostCommon) ?? 0)) mostCommon = obstacle;
  return mostCommon;
}
