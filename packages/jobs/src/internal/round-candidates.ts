import type { StepSpec } from '../job.js';
import type { TaskRef } from '../task-ref.js';
import type { PlacementPolicy } from './placement.js';
import { mostFrequent } from './obstacle.js';
import type { Obstacle } from './obstacle.js';
import { kindOf } from './placement.js';
import type { WorkerState } from './worker-state.js';

/** Larger than any difference of scores, so that a place to avoid is the last choice. */
const AVOID = 1_000_000;

/** What a task is to be placed for. */
export interface Placing {
  readonly ref: TaskRef;
  readonly spec: StepSpec;
  /** Where it failed or was lost before; avoided if there is another place. */
  readonly avoid: string;
}

interface Place {
  readonly worker: WorkerState;
  /** The worker's version when it was looked at. */
  version: number;
  /** How good it is, or what keeps the tasks from there. */
  score: number | Obstacle;
}

/** The places for tasks of one kind. */
export class Candidates {
  readonly #places: readonly Place[];

  readonly #look: (worker: WorkerState) => number | Obstacle;

  #isFull = false;

  /** Known until a place is looked at again. */
  #obstacle: Obstacle | undefined;

  constructor(workers: readonly WorkerState[], look: (worker: WorkerState) => number | Obstacle) {
    this.#look = look;
    this.#places = workers.map((worker) => ({
      worker,
      version: worker.version,
      score: look(worker),
    }));
  }

  /** The best of the workers that may take the task now. */
  choose({ ref, spec, avoid }: Placing): WorkerState | undefined {
    if (this.#isFull) return undefined;
    let best: WorkerState | undefined;
    let bestScore = -Infinity;
    let isFull = true;
    for (const place of this.#places) {
      const { worker } = place;
      if (place.version !== worker.version) this.#lookAgain(place);
      if (typeof place.score === 'number') {
        isFull = false;
        const score = worker.entry.id === avoid ? place.score - AVOID : place.score;
        if (score > bestScore && hasShare(ref, spec, worker)) {
          best = worker;
          bestScore = score;
        }
      }
    }
    this.#isFull = isFull;
    return best;
  }

  /** What keeps the tasks from most workers. */
  get obstacle(): Obstacle {
    if (this.#obstacle === undefined) {
      const scores = this.#places.map(({ score }) => score);
      this.#obstacle = mostFrequent(scores.filter((score) => typeof score !== 'number'));
    }
    return this.#obstacle;
  }

  /** How many workers each obstacle keeps the tasks from; `open` ones would take one. */
  counts(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const { score } of this.#places) {
      const found = typeof score === 'number' ? 'open' : score;
      counts[found] = (counts[found] ?? 0) + 1;
    }
    return counts;
  }

  /** What was placed on trial has been taken back. */
  roomReturned(): void {
    this.#isFull = false;
  }

  #lookAgain(place: Place): void {
    this.#obstacle = undefined;
    place.version = place.worker.version;
    place.score = this.#look(place.worker);
  }
}

function hasShare(ref: TaskRef, { maxPerWorker }: StepSpec, worker: WorkerState): boolean {
  return maxPerWorker === 0 || worker.countOf(ref) < maxPerWorker;
}

/**
 * The places for tasks within one round of decisions. Workers change there by what is placed alone,
 * so each is looked at once for every kind of task, and again after something was placed on it.
 * A look at all of them for every task that waits took a node with a third of a core seconds after
 * a takeover; it renewed no lease meanwhile, and was taken for dead.
 */
export class RoundCandidates {
  readonly #pools = new Map<string, WorkerState[]>();

  readonly #policy: PlacementPolicy;

  readonly #nowMs: number;

  readonly #kinds = new Map<string, Candidates>();

  constructor(workers: Iterable<WorkerState>, policy: PlacementPolicy, nowMs: number) {
    this.#policy = policy;
    this.#nowMs = nowMs;
    for (const worker of workers) {
      const pool = this.#pools.get(worker.entry.pool);
      if (pool) pool.push(worker);
      else this.#pools.set(worker.entry.pool, [worker]);
    }
  }

  /** The places for tasks of a step in the workers of a pool. */
  of(spec: StepSpec, pool: string, isStarved: boolean): Candidates {
    const key = `${kindOf(spec)} ${pool} ${isStarved}`;
    const known = this.#kinds.get(key);
    if (known) return known;
    const places = new Candidates(this.#pools.get(pool) ?? [], (worker) =>
      this.#policy.look(spec, worker, this.#nowMs, isStarved),
    );
    this.#kinds.set(key, places);
    return places;
  }
}
