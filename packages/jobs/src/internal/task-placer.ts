import type { TaskProgress } from '../job-progress.js';
import { isFinal } from '../job.js';
import type { TaskRef } from '../task-ref.js';
import { taskName } from '../task-ref.js';
import type { ClusterState } from './cluster-state.js';
import type { PlacementPolicy } from './placement.js';
import type { KindPlaces } from './round-places.js';
import { RoundPlaces } from './round-places.js';
import { newRun } from './runs.js';
import type { WaitingStep } from './waiting-steps.js';
import { byUrgency, waitingStepsOf } from './waiting-steps.js';
import type { WorkerState } from './worker-state.js';

/** Gives waiting tasks to workers. */
export class TaskPlacer {
  readonly #state: ClusterState;

  readonly #placement: PlacementPolicy;

  constructor(state: ClusterState, placement: PlacementPolicy) {
    this.#state = state;
    this.#placement = placement;
  }

  /** Binds what can be started now to workers, the most urgent first. */
  placeAll(nowMs: number): void {
    const waiting = [...this.#waitingSteps()].sort(byUrgency);
    const places = new RoundPlaces(this.#state.workers.values(), this.#placement, nowMs);
    for (const step of waiting) {
      const ofKind = places.of(step.spec, step.queue.pool);
      if (step.spec.gang) this.#placeGang(step, ofKind, nowMs);
      else this.#placeTasks(step, ofKind, nowMs);
    }
  }

  *#waitingSteps(): Generator<WaitingStep> {
    for (const job of this.#state.jobs.values()) {
      if (!isFinal(job.state)) {
        const queue = this.#state.queues.get(job.spec.queue);
        for (const occurrence of job.occurrences.values()) {
          yield* waitingStepsOf(job, queue, occurrence, this.#state.timeOfDayMs);
        }
      }
    }
  }

  #placeTasks(step: WaitingStep, places: KindPlaces, nowMs: number): void {
    for (let index = 0; index < step.tasks.length; index += 1) {
      const task = step.tasks[index]!;
      if (task.phase === 'waiting') {
        const ref = { ...step.ref, index };
        const worker = places.choose({ ref, spec: step.spec, avoid: task.worker });
        // The tasks of a step are alike: where one finds no place, the next finds none either.
        if (!worker) return;
        this.#bind(step, ref, task, worker, task.run + 1, nowMs);
      }
    }
  }

  /** All members or none: a part of a gang would hold its room and wait in vain. */
  #placeGang(step: WaitingStep, places: KindPlaces, nowMs: number): void {
    if (step.tasks.some(({ phase }) => phase !== 'waiting')) return;
    const run = Math.max(...step.tasks.map((task) => task.run)) + 1;
    const placed: [TaskRef, WorkerState][] = [];
    for (let index = 0; index < step.tasks.length; index += 1) {
      const ref = { ...step.ref, index };
      const avoid = step.tasks[index]!.worker;
      const worker = places.choose({ ref, spec: step.spec, avoid });
      if (!worker) break;
      worker.add(taskName(ref), newRun(ref, { run, checkpoint: '' }, step.spec, nowMs));
      placed.push([ref, worker]);
    }
    for (const [ref, worker] of placed) worker.remove(taskName(ref));
    if (placed.length > 0) places.roomReturned();
    if (placed.length < step.tasks.length) return;
    const { checkpoint } = step.tasks[0]!;
    for (const [ref, worker] of placed) {
      const task = step.tasks[ref.index]!;
      task.checkpoint = checkpoint;
      this.#bind(step, ref, task, worker, run, nowMs);
    }
  }

  #bind(
    { job, spec }: WaitingStep,
    ref: TaskRef,
    task: TaskProgress,
    worker: WorkerState,
    run: number,
    nowMs: number,
  ): void {
    Object.assign(task, { phase: 'bound', run, worker: worker.entry.id });
    worker.add(taskName(ref), newRun(ref, task, spec, nowMs));
    job.begin();
    this.#state.changed.add(job);
    this.#state.orders.push({
      kind: 'start',
      worker: worker.entry.id,
      task: ref,
      run,
      payload: job.spec.payload,
      checkpoint: task.checkpoint,
    });
    this.#state.note('bound', {
      task: taskName(ref),
      run,
      worker: worker.entry.id,
      fills: spec.fills,
    });
  }
}
