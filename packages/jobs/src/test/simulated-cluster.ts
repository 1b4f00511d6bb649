import type { StepSpec } from '../job.js';
import type { Order } from '../order.js';
import type { WorkerEntry } from '../worker.js';
import { SchedulerHarness, jobSpec, runningRow, stepSpec } from './scheduler-harness.js';

/** The duration of one step of the simulation, in milliseconds. */
export const STEP_MS = 100;

type Start = Order & { kind: 'start' };

/**
 * Returns a deterministic source of numbers between 0 and 1, so that each run simulates the same
 * load.
 */
export function pseudoRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
    return state / 2_147_483_648;
  };
}

/** In what a simulation differs from the usual one. */
interface SimulationVariant {
  /** Returns how long a task takes that is not long-running; `random` is from 0 to 1. */
  readonly durationMsOf?: (spec: StepSpec, random: number) => number;
  /** The tail latency of long-running tasks, in milliseconds; none is reported by default. */
  readonly tailMs?: number;
}

/**
 * Simulates a cluster in which each task ends after a random time of 0.5 to 1.5 s, in steps of 100
 * ms. Long-running tasks run until they are stopped.
 */
export class SimulatedCluster {
  readonly harness: SchedulerHarness;

  readonly #random: () => number;

  readonly #running: { readonly order: Start; readonly endsMs: number }[] = [];

  /** When the first task of each job was started. */
  readonly firstStartMs = new Map<string, number>();

  startCount = 0;

  readonly #variant: SimulationVariant;

  constructor(seed: number, workers: readonly WorkerEntry[], variant: SimulationVariant = {}) {
    this.#random = pseudoRandom(seed);
    this.#variant = variant;
    this.harness = new SchedulerHarness(workers);
  }

  /** Submits `count` jobs of one task each that can end in time. */
  submitInTime(count: number, spec = stepSpec()): void {
    for (let i = 0; i < count; i += 1) {
      const id = `${this.harness.nowMs}-${i}`;
      this.harness.submit(jobSpec([spec], { id, acceptedMs: this.harness.nowMs }));
    }
  }

  step(): void {
    const { harness } = this;
    const { orders } = harness.decide();
    for (const order of orders) if (order.kind === 'start') this.#start(order);
    harness.nowMs += STEP_MS;
    const stopped = this.#remove((start) => orders.some((order) => isStopOf(order, start)));
    const ended = this.#remove((_, endsMs) => endsMs <= harness.nowMs);
    for (const { spec, state } of harness.scheduler.jobs.values()) {
      if (state === 'completed') harness.scheduler.dropJob(spec.id);
    }
    for (const id of harness.scheduler.workers.keys()) {
      const running = this.#running
        .filter(({ order }) => order.worker === id)
        .map(({ order }) => this.#rowOf(order));
      const rows = [
        ...stopped.filter(({ worker }) => worker === id).map((end) => harness.end(end, 'stopped')),
        ...ended.filter(({ worker }) => worker === id).map((end) => harness.end(end, 'done')),
      ];
      harness.report(id, { running, ended: rows });
    }
  }

  #start(start: Start): void {
    this.startCount += 1;
    const { jobId } = start.task;
    if (!this.firstStartMs.has(jobId)) this.firstStartMs.set(jobId, this.harness.nowMs);
    this.#running.push({ order: start, endsMs: this.harness.nowMs + this.#durationMs(start) });
  }

  #rowOf(order: Start): ReturnType<typeof runningRow> {
    const { tailMs: measure = 0 } = this.#variant;
    return runningRow(order, this.#isLongRunning(order) ? { percent: 100, measure } : {});
  }

  #durationMs(start: Start): number {
    if (this.#isLongRunning(start)) return Infinity;
    const spec = this.#specOf(start);
    const random = this.#random();
    return (spec && this.#variant.durationMsOf?.(spec, random)) ?? 500 + 1_000 * random;
  }

  #isLongRunning(start: Start): boolean {
    return this.#specOf(start)?.lasting ?? false;
  }

  #specOf({ task }: Start): StepSpec | undefined {
    return this.harness.scheduler.jobs.get(task.jobId)?.spec.steps[task.step];
  }

  /** Removes the running tasks for which `hasEnded` holds, and returns their starts. */
  #remove(hasEnded: (order: Start, endsMs: number) => boolean): Start[] {
    const ended = this.#running.filter(({ order, endsMs }) => hasEnded(order, endsMs));
    for (const end of ended) this.#running.splice(this.#running.indexOf(end), 1);
    return ended.map(({ order }) => order);
  }
}

function isStopOf(order: Order, { task, run }: Start): boolean {
  if (order.kind !== 'stop' || order.run !== run) return false;
  return JSON.stringify(order.task) === JSON.stringify(task);
}
