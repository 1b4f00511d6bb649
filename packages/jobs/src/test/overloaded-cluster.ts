import { retryDelayMs } from '../admission.js';
import type { JobProgress } from '../job-progress.js';
import { isFinal } from '../job.js';
import type { StepSpec } from '../job.js';
import { SimulatedCluster, STEP_MS, pseudoRandom } from './simulated-cluster.js';
import { QUEUE, jobSpec, stepSpec, workerEntry } from './scheduler-harness.js';

const WORKERS = ['w1', 'w2', 'w3', 'w4', 'w5', 'w6', 'w7', 'w8'];

/** Each worker has eight processors. */
const CORES = 8 * WORKERS.length;

/** What services reserve stays as it is for so long, in seconds. */
const SERVICE_CHANGE_S = 5;

/** A task of a service claims one processor and answers callers of its own. */
const SERVICE = stepSpec({ lasting: true, targetMs: 20, image: 'web' });

/** A best-effort task that takes a second. */
export const BEST_EFFORT: StepSpec = stepSpec({ fills: true, image: 'crunch' });

/** What a crowded cluster is played with. */
export interface LoadProfile {
  readonly seed: number;
  /** Services reserve at least and at most so much of the processors, in percent; drawn anew every five seconds. */
  readonly services: readonly [number, number];
  /** Idle times count while less is reserved, in percent. */
  readonly watchedBelow: number;
}

/** Services come and go while crowds of best-effort jobs wait. */
export class OverloadedCluster {
  readonly #load: LoadProfile;

  readonly #cluster: SimulatedCluster;

  readonly #random: () => number;

  readonly #services: string[] = [];

  readonly #idleMs = new Map<JobProgress, number>();

  #second = 0;

  /** The longest time on end for which an accepted job had nothing at work while it was watched, in ms. */
  longestIdleMs = 0;

  refusedCount = 0;

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

  /** So many jobs come that are late for good, each of two steps with so many tasks. */
  submitLate(count: number, taskCount: number): void {
    const { harness } = this.#cluster;
    const late = { ...BEST_EFFORT, taskCount };
    for (let i = 0; i < count; i += 1) {
      const id = `late${i}-${harness.nowMs}`;
      const job = jobSpec([late, { ...late, after: [0] }], { id, acceptedMs: 0 });
      const waitMs = retryDelayMs(job, QUEUE, harness.scheduler.retryAfter(harness.nowMs));
      if (waitMs !== undefined) this.refusedCount += 1;
      else harness.submit(job);
    }
  }

  /** Plays so many seconds, in each of which so many jobs come that can end in time. */
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

  /** Submits or cancels services until these reserve what is drawn. */
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
