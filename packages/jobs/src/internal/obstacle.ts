/**
 * What keeps a task from a worker.
 *
 * - `closed`: the worker takes nothing now: it leaves, does not answer, or is suspected.
 * - `label`: it lacks a label that the task requires.
 * - `room`: what is reserved there leaves too little.
 * - `harmed`: a serving task there misses its target; only best-effort tasks are kept away.
 * - `processors`: the best-effort tasks there use all that the others leave.
 * - `slack`: the tails of the serving tasks leave no room for one more best-effort task.
 */
export type Obstacle = 'closed' | 'label' | 'room' | 'harmed' | 'processors' | 'slack';

/** What keeps the tasks of a step waiting: an obstacle, `limits` of the rounds, or nothing known. */
export type WaitCause = Obstacle | 'limits' | 'none';

/** The obstacle that most workers have; `closed` where there is no worker at all. */
export function mostFrequent(obstacles: Iterable<Obstacle>): Obstacle {
  const counts = new Map<Obstacle, number>();
  for (const obstacle of obstacles) counts.set(obstacle, (counts.get(obstacle) ?? 0) + 1);
  let mostCommon: Obstacle = 'closed';
  for (const [obstacle, count] of counts)
    if (count > (counts.get(mostCommon) ?? 0)) mostCommon = obstacle;
  return mostCommon;
}
