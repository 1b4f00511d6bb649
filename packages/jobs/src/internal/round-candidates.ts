import type { StepSpec } from '../job.js';
import type { TaskRef } from '../task-ref.js';
import type { PlacementPolicy } from './placement.js';
import { isBestEffortLack, isCapacityLack, mostFrequent } from './obstacle.js';
import type { Obstacle } from './obstacle.js';
import { kindOf } from './placement.js';
import type { WorkerState } from './worker-state.js';

/** Larger than any difference of scores, so that a worker to avoid is the last choice. */
const AVOID_PENALTY = 1_000_000;

/** Larger than `AVOID_PENALTY`: suspects share a worker only where no other can take them. */
const SHARED_SUSPECTS_PENALTY = 100_000_000;

/**
 * How many workers of a pool are evaluated at once. A pool of thousands is searched block by block
 * until a block has a worker for the task: evaluating 3,000 workers for one kind of task takes longer
 * than a round may place tasks for on a node with a quarter of a core, so that few tasks a second
 * would be started.
 */
export const BLOCK_SIZE = 512;

/** A task to be placed. */
export interface PlacementRequest {
  readonly ref: TaskRef;
  readonly spec: StepSpec;
  /** The worker on which the task failed or was lost before; it is avoided if there is another. */
  readonly avoid: string;
  /** Whether the task is a suspect: workers crashed under its former runs. */
  readonly isSuspect?: boolean;
}

/** A further rule for the workers of one step, beside their scores. */
export interface WorkerRule {
  /** Called before each choice. */
  readonly prepare: () => void;
  /** Whether a task may be placed on the worker. */
  readonly allows: (worker: WorkerState) => boolean;
  /** What is added to the score of the worker. */
  readonly adjustment: (worker: WorkerState) => number;
}

interface Candidate {
  readonly worker: WorkerState;
  /** The worker's version when it was evaluated. */
  version: number;
  /** The score of the worker, or the obstacle that keeps the tasks away. */
  score: number | Obstacle;
}

/** The candidate workers for tasks of one kind. */
export class Candidates {
  readonly #workers: readonly WorkerState[];

  /** The workers that have been evaluated, in the order of `#workers`. */
  readonly #candidates: Candidate[] = [];

  readonly #evaluate: (worker: WorkerState) => number | Obstacle;

  #isExhausted = false;

  /** The rule of the step that is placed now. */
  rule: WorkerRule | undefined;

  /** Whether the rule was all that kept the latest task from a worker. */
  isHeldBack = false;

  /** The rule that no worker passes for the rest of the round, as capacity only decreases in it. */
  #unmetRule: WorkerRule | undefined;

  /** The obstacle if there are no workers at all. */
  readonly #obstacleOfNone: Obstacle;

  /** Cached until a candidate is evaluated again. */
  #obstacle: Obstacle | undefined;

  constructor(
    workers: readonly WorkerState[],
    evaluate: (worker: WorkerState) => number | Obstacle,
    obstacleOfNone: Obstacle = 'closed',
  ) {
    this.#workers = workers;
    this.#obstacleOfNone = obstacleOfNone;
    this.#evaluate = evaluate;
    this.#evaluateBlock();
  }

  /**
   * Returns the best of the workers that can take the task now, in a large pool of those that have been
   * evaluated; undefined if there is none.
   */
  choose(request: PlacementRequest): WorkerState | undefined {
    this.isHeldBack = false;
    if (this.#isExhausted) return undefined;
    if (this.rule && this.rule === this.#unmetRule) {
      this.isHeldBack = true;
      return undefined;
    }
    this.rule?.prepare();
    for (;;) {
      const { worker, isSuitable, isExhausted, isLimited } = this.#bestEvaluated(request);
      if (isSuitable || !this.#evaluateBlock()) {
        this.#isExhausted = isExhausted;
        this.isHeldBack &&= !worker;
        if (this.isHeldBack && !isLimited) this.#unmetRule = this.rule;
        return worker;
      }
    }
  }

  /** Evaluates the next block of workers; returns whether there was any. */
  #evaluateBlock(): boolean {
    const begin = this.#candidates.length;
    for (const worker of this.#workers.slice(begin, begin + BLOCK_SIZE))
      this.#candidates.push({ worker, version: worker.version, score: this.#evaluate(worker) });
    this.#obstacle = undefined;
    return this.#candidates.length > begin;
  }

  /**
   * Returns the best evaluated worker, whether it is to be taken if there are others to evaluate,
   * whether no evaluated worker can take a task of this kind, and whether the maximum of tasks on one
   * worker kept the task from any.
   */
  #bestEvaluated({ ref, spec, avoid, isSuspect }: PlacementRequest): {
    readonly worker: WorkerState | undefined;
    readonly isSuitable: boolean;
    readonly isExhausted: boolean;
    readonly isLimited: boolean;
  } {
    let best: WorkerState | undefined;
    let bestScore = -Infinity;
    let isExhausted = true;
    let isLimited = false;
    for (const candidate of this.#candidates) {
      const { worker } = candidate;
      if (candidate.version !== worker.version) this.#reevaluate(candidate);
      if (typeof candidate.score === 'number') {
        isExhausted = false;
        let { score } = candidate;
        if (worker.entry.id === avoid) score -= AVOID_PENALTY;
        if (isSuspect && worker.hasSuspect()) score -= SHARED_SUSPECTS_PENALTY;
        score += this.rule?.adjustment(worker) ?? 0;
        if (score > bestScore) {
          if (!isBelowMaxPerWorker(ref, spec, worker)) isLimited = true;
          else if (this.rule?.allows(worker) === false) this.isHeldBack = true;
          else {
            best = worker;
            bestScore = score;
          }
        }
      }
    }
    return { worker: best, isSuitable: bestScore > -AVOID_PENALTY / 2, isExhausted, isLimited };
  }

  /** Whether the step lacks not capacity but a worker with a ticket. */
  get lacksTicket(): boolean {
    return this.#obstacleOfNone === 'advice' && this.#candidates.length === 0;
  }

  /** The obstacle that most workers have. */
  get obstacle(): Obstacle {
    if (this.#obstacle === undefined) {
      const scores = this.#candidates.map(({ score }) => score);
      const obstacles = scores.filter((score) => typeof score !== 'number');
      this.#obstacle = scores.length > 0 ? mostFrequent(obstacles) : this.#obstacleOfNone;
    }
    return this.#obstacle;
  }

  /** Whether a worker that is large enough would take the task if less of it were reserved. */
  lackRoomFor({ cpuMilli, memMb, gpus }: StepSpec): boolean {
    return this.#candidates.some(({ score, worker: { entry } }) => {
      if (typeof score === 'number' || !isCapacityLack(score)) return false;
      const { capacity } = entry;
      return cpuMilli <= capacity.cpuMilli && memMb <= capacity.memMb && gpus <= capacity.gpus;
    });
  }

  /** Yields the workers that would take the task if they had more memory or GPUs. */
  *lackingMemory(): Generator<WorkerState> {
    for (const { score, worker } of this.#candidates) if (score === 'memory') yield worker;
  }

  /** Whether a worker that is large enough would take a task of the step once tasks there end. */
  canOpenFor(spec: StepSpec): boolean {
    if (this.lackRoomFor(spec)) return true;
    return this.#candidates.some(
      ({ score }) => typeof score !== 'number' && isBestEffortLack(score),
    );
  }

  /** Returns the number of workers by obstacle; those that would take a task count as `open`. */
  counts(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const { score } of this.#candidates) {
      const found = typeof score === 'number' ? 'open' : score;
      counts[found] = (counts[found] ?? 0) + 1;
    }
    return counts;
  }

  /** Records that tentative placements were undone. */
  capacityReturned(): void {
    this.#isExhausted = false;
    this.#unmetRule = undefined;
  }

  #reevaluate(candidate: Candidate): void {
    this.#obstacle = undefined;
    candidate.version = candidate.worker.version;
    candidate.score = this.#evaluate(candidate.worker);
  }
}

function isBelowMaxPerWorker(
  ref: TaskRef,
  { maxPerWorker }: StepSpec,
  worker: WorkerState,
): boolean {
  return maxPerWorker === 0 || worker.countOf(ref) < maxPerWorker;
}

/** Shared by all steps without a ticket: thousands of them may wait. */
const NONE_WITH_TICKET = new Candidates([], () => 'advice', 'advice');

/** Returns what is subtracted from the score of a worker for tasks of the step. */
export type PlacementPenalty = (spec: StepSpec, worker: WorkerState, nowMs: number) => number;

/**
 * The candidate workers for tasks within one round. During a round workers change only by
 * placements, so each worker is evaluated once for every kind of task, and again after a task was
 * placed on it. After a takeover, evaluating all of them for every waiting task takes seconds on a
 * node with a third of a core; the node renews no lease meanwhile and is considered dead.
 */
export class RoundCandidates {
  readonly #workersByPool = new Map<string, WorkerState[]>();

  /** Built when it is first needed in the round. */
  #workersById: Map<string, WorkerState> | undefined;

  readonly #workersByRack = new Map<string, readonly WorkerState[]>();

  readonly #policy: PlacementPolicy;

  /** The time of the round. */
  readonly nowMs: number;

  readonly #penaltyOf: PlacementPenalty;

  readonly #byKind = new Map<string, Candidates>();

  readonly #round: number;

  /**
   * `round`: the number of the round, which determines where the search of a large pool begins.
   * `penaltyOf`: what is taken from the score of a worker.
   */
  constructor(
    workers: Iterable<WorkerState>,
    policy: PlacementPolicy,
    nowMs: number,
    round = 0,
    penaltyOf: PlacementPenalty = () => 0,
  ) {
    this.#policy = policy;
    this.nowMs = nowMs;
    this.#round = round;
    this.#penaltyOf = penaltyOf;
    for (const worker of workers) {
      const pool = this.#workersByPool.get(worker.entry.pool);
      if (pool) pool.push(worker);
      else this.#workersByPool.set(worker.entry.pool, [worker]);
    }
  }

  /** Returns the workers of a pool that may take tasks in this round. */
  workersOf(pool: string): readonly WorkerState[] {
    return this.#workersByPool.get(pool) ?? [];
  }

  /**
   * Returns the candidates for tasks of a step among the workers of a pool, or among those of them
   * that are in a rack.
   */
  of(spec: StepSpec, pool: string, isStarved: boolean, rack = ''): Candidates {
    const key = `${kindOf(spec)} ${pool} ${isStarved} ${rack}`;
    const known = this.#byKind.get(key);
    if (known) return known;
    const candidates = new Candidates(this.#inSearchOrder(spec, pool, rack), (worker) =>
      this.#evaluate(spec, worker, isStarved),
    );
    this.#byKind.set(key, candidates);
    return candidates;
  }

  /**
   * Returns the workers of a pool, or of a rack in it, in the order in which they are searched for tasks
   * of the step. In a large pool each round begins with another block, so that all blocks are filled
   * alike, and those in the rack with the step's data go first.
   */
  #inSearchOrder({ dataRack }: StepSpec, pool: string, rack: string): readonly WorkerState[] {
    const workers = this.#workersIn(pool, rack);
    if (workers.length <= BLOCK_SIZE) return workers;
    const begin = (this.#round * BLOCK_SIZE) % workers.length;
    const rotated = [...workers.slice(begin), ...workers.slice(0, begin)];
    if (!dataRack) return rotated;
    const isNear = ({ entry }: WorkerState): boolean => entry.labels.includes(dataRack);
    return [...rotated.filter(isNear), ...rotated.filter((worker) => !isNear(worker))];
  }

  /** Returns the candidates for tasks of a step among workers with a ticket, as `of` does. */
  withTicket(
    spec: StepSpec,
    pool: string,
    isStarved: boolean,
    rack: string,
    ids: Iterable<string>,
  ): Candidates {
    const workers: WorkerState[] = [];
    for (const id of ids) {
      const worker = this.#workerById(id);
      const isInRack = rack === '' || worker?.entry.labels.includes(rack);
      if (worker?.entry.pool === pool && isInRack) workers.push(worker);
    }
    if (workers.length === 0) return NONE_WITH_TICKET;
    const evaluate = (worker: WorkerState): number | Obstacle =>
      this.#evaluate(spec, worker, isStarved);
    return new Candidates(workers, evaluate, 'advice');
  }

  #workerById(id: string): WorkerState | undefined {
    if (!this.#workersById) {
      const workers = [...this.#workersByPool.values()].flat();
      this.#workersById = new Map(workers.map((worker) => [worker.entry.id, worker]));
    }
    return this.#workersById.get(id);
  }

  #evaluate(spec: StepSpec, worker: WorkerState, isStarved: boolean): number | Obstacle {
    const score = this.#policy.evaluate(spec, worker, this.nowMs, isStarved);
    return typeof score === 'number' ? score - this.#penaltyOf(spec, worker, this.nowMs) : score;
  }

  #workersIn(pool: string, rack: string): readonly WorkerState[] {
    const workers = this.workersOf(pool);
    if (rack === '') return workers;
    const key = `${pool} ${rack}`;
    let inRack = this.#workersByRack.get(key);
    if (!inRack) {
      inRack = workers.filter(({ entry }) => entry.labels.includes(rack));
      this.#workersByRack.set(key, inRack);
    }
    return inRack;
  }
}
