import type { ClusterState } from './cluster-state.js';
import type { Candidates } from './round-candidates.js';
import type { WaitingStep } from './waiting-steps.js';
import type { WorkerRun } from './worker-run.js';
import { lostCpuMs } from './worker-run.js';
import type { WorkerState } from './worker-state.js';

/**
 * How long a worker counts as being emptied after the stops were sent, in milliseconds: a stop takes
 * up to 900 ms and is sent again once if it is not answered.
 */
const EMPTYING_MS = 2_000;

/** The runs whose end would give an urgent task its memory on one worker. */
interface Victims {
  readonly worker: WorkerState;
  readonly runs: readonly WorkerRun[];
  readonly lostMs: number;
}

/**
 * Stops checkpointing best-effort runs for an urgent task that can end in time and lacks only
 * memory. Best-effort runs reserve no processors, but they keep their memory until they end, so the
 * urgent task would wait for work that comes after it.
 */
export class Preemption {
  readonly #state: ClusterState;

  /** When stops were last sent, by worker. */
  readonly #emptiedMs = new Map<WorkerState, number>();

  /** The candidates without victims, as of this round. */
  readonly #fruitless = new Set<Candidates>();

  #hasStopped = false;

  /** The tasks for which memory was asked in this round. */
  #unplacedTasks = 0;

  constructor(state: ClusterState) {
    this.#state = state;
  }

  startRound(nowMs: number): void {
    this.#fruitless.clear();
    this.#hasStopped = false;
    this.#unplacedTasks = 0;
    for (const [worker, sentMs] of this.#emptiedMs) {
      const isEmptying = [...worker.runs.values()].some(
        ({ stopReason }) => stopReason === 'preempted',
      );
      if (!isEmptying || nowMs - sentMs > EMPTYING_MS) this.#emptiedMs.delete(worker);
    }
  }

  /** Stops the runs on one worker that lose the least work, if that gives a task of the step its memory. */
  freeMemory(step: WaitingStep, candidates: Candidates, nowMs: number): void {
    if (this.#hasStopped || this.#fruitless.has(candidates)) return;
    this.#unplacedTasks += step.tasks.filter(({ phase }) => phase === 'waiting').length;
    if (this.#emptiedMs.size >= this.#unplacedTasks) return;
    let best: Victims | undefined;
    for (const worker of candidates.lackingMemory()) {
      const victims = this.#emptiedMs.has(worker) ? undefined : this.#victims(step, worker, nowMs);
      if (victims && victims.lostMs < (best?.lostMs ?? Infinity)) best = victims;
    }
    if (!best) {
      this.#fruitless.add(candidates);
      return;
    }
    this.#hasStopped = true;
    this.#emptiedMs.set(best.worker, nowMs);
    for (const run of best.runs) this.#state.stopRun(best.worker, run, 'preempted', nowMs);
  }

  #victims({ spec, queue }: WaitingStep, worker: WorkerState, nowMs: number): Victims | undefined {
    let missingMb = spec.memMb - worker.freeMb;
    if (missingMb <= 0 || spec.gpus > worker.freeGpus) return undefined;
    const runs = [...worker.runs.values()]
      .filter((run) => this.#isPreemptible(run, queue.priority))
      .map((run) => ({ run, lostMs: lostCpuMs(run, nowMs) }))
      .sort((a, b) => a.lostMs - b.lostMs);
    const victims: WorkerRun[] = [];
    let totalLostMs = 0;
    for (const { run, lostMs } of runs) {
      if (missingMb > 0) {
        victims.push(run);
        missingMb -= run.spec.memMb;
        totalLostMs += lostMs;
      }
    }
    return missingMb > 0 ? undefined : { worker, runs: victims, lostMs: totalLostMs };
  }

  #isPreemptible({ ref, spec, confirmed, stopSentMs }: WorkerRun, priority: number): boolean {
    if (!spec.fills || !spec.checkpointing || spec.gang || spec.lasting) return false;
    if (!confirmed || stopSentMs > 0 || spec.memMb === 0) return false;
    const job = this.#state.jobs.get(ref.jobId);
    const queue = job && this.#state.queues.get(job.spec.queue);
    return queue !== undefined && queue.priority > priority;
  }
}
