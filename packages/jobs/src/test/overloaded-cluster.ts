import { retryDelayMs } from '../admission.js';
import type { JobProgress } from '../job-progress.js';
import { isFinal } from '../job.js';
import type { StepSpec } from '../job.js';
import { SimulatedCluster, STEP_MS, pseudoRandom } from './simulated-cluster.js';
import { QUEUE, jobSpec, stepSpec, workerEntry } from './scheduler-harness.js';

const WORKERS = ['w1', 'w2', 'w3', 'w4', 'w5', 'w6', 'w7', 'w8'];

/** Each worker has eight processors. */
const CORES = 8 * WORKERS.length;

/** How long the services' reservations stay unchanged, in seconds. */
const SERVICE_CHANGE_S = 5;

/** A service task claims one processor and serves callers of its own. */
const SERVICE = stepSpec({ lasting: true, targetMs: 20, image: 'web' });

/** A best-effort task that takes a second. */
export const BEST_EFFORT: StepSpec = stepSpec({ fills: true, image: 'crunch' });

/** The load of an overloaded cluster. */
export interface LoadProfile {
  readonly seed: number;
  /**
   * The least and the most of the processors that services reserve, in percent; chosen again every
   * five seconds.
   */
  readonly services: readonly [number, number];
  /** Idle times count while less than this part of the processors is reserved, in percent. */
  readonly watchedBelow: number;
}

/**
 * Simulates a cluster in which services start and end while a backlog of best-effort jobs waits.
 */
export class OverloadedCluster {
  readonly #load: LoadProfile;

  readonly #cluster: SimulatedCluster;

  readonly #random: () => number;

  readonly #services: string[] = [];

  readonly #idleMs = new Map<JobProgress, number>();

  #second = 0;

  /**
   * The longest time without interruption for which an accepted job had no running task while idle
   * times counted, in milliseconds.
   */
  longestIdleMs = 0;

  rejectedCount = 0;

  constructor(load: LoadProfile) {
    this.#load = load;
    this.#cluster = new SimulatedCluster(
      load.seed,
      WORKERS.map((id) => workerEntry(id)),
    );
    this.#random = pseudoRandom(load.seed + 100);
    this.#cluster.harness.nowMs = 60_000;
    for (const id of WORKERS) this.#cluster.harness.report(id);
  }

  /** Submits `count` jobs that can only end late, each of two steps with `taskCount` tasks. */
  submitLate(count: number, taskCount: number): void {
    const { harness } = this.#cluster;
    const late = { ...BEST_EFFORT, taskCount };
    for (let i = 0; i < count; i += 1) {
      const id = `late${i}-${harness.nowMs}`;
      const job = jobSpec([late, { ...late, after: [0] }], { id, acceptedMs: 0 });
      const waitMs = retryDelayMs(job, QUEUE, harness.scheduler.retryAfter(harness.nowMs));
      if (waitMs !== undefined) this.rejectedCount += 1;
      else harness.submit(job);
    }
  }

  /**
   * Simulates `seconds` seconds, in each of which `arrivals` jobs are submitted that can end in
   * time.
   */
  simulate(seconds: number, arrivals = 0): void {
    const endSecond = this.#second + seconds;
    for (; this.#second < endSecond; this.#second += 1) {
      if (this.#second % SERVICE_CHANGE_S === 0) this.#adjustServices();
      for (let ms = 0; ms < 1_000; ms += STEP_MS) {
        this.#cluster.submitInTime(Math.round((arrivals * STEP_MS) / 1_000), BEST_EFFORT);
        this.#cluster.step();
        this.#measureIdle();
      }
    }
  }

  /** Submits or cancels services until they reserve the chosen number of processors. */
  #adjustServices(): void {
    const { harness } = this.#cluster;
    const [min, max] = this.#load.services;
    const wanted = Math.round(((min + (max - min) * this.#random()) / 100) * CORES);
    while (this.#services.length < wanted) {
      const id = `service${this.#services.length}-${harness.nowMs}`;
      harness.submit(jobSpec([SERVICE], { id }));
      this.#services.push(id);
    }
    while (this.#services.length > wanted) {
      harness.scheduler.cancel(this.#services.pop()!, harness.nowMs);
    }
  }

  #measureIdle(): void {
    const { scheduler, nowMs } = this.#cluster.harness;
    const isWatched = scheduler.backlog(nowMs).reservedPercent < this.#load.watchedBelow;
    for (const job of scheduler.jobs.values()) {
      const isIdle = isWatched && !isFinal(job.state) && !job.hasBoundTasks();
      const idleMs = isIdle ? (this.#idleMs.get(job) ?? 0) + STEP_MS : 0;
      this.#idleMs.set(job, idleMs);
      this.longestIdleMs = Math.max(this.longestIdleMs, idleMs);
    }
  }
}
