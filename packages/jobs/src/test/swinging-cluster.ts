import type { StepSpec } from '../job.js';
import type { Order } from '../order.js';
import {
  SchedulerHarness,
  jobSpec,
  runningRow,
  stepSpec,
  workerEntry,
} from './scheduler-harness.js';
import { pseudoRandom } from './simulated-cluster.js';

/** The duration of one step of the simulation, in milliseconds. */
const STEP_MS = 50;

/** How often a worker reports while no run has ended there, in milliseconds. */
const REPORT_INTERVAL_MS = 1_000;

/** How long a tail latency is averaged, in milliseconds. */
const MEASURE_MS = 500;

const WORKERS = 24;

const WORKER_CORES = 64;

const TARGET_MS = 20;

/** The part of its claim that a serving task uses on average, and how far that swings. */
const SERVING_LOAD = 0.42;

const SWING = 0.6;

const SWING_PERIOD_MS = 10_000;

/** The slack of a serving task without interference at the average load. */
const MEAN_SLACK = 2.4;

const SERVING_IMAGES = 10;

const BEST_EFFORT_IMAGES = 18;

/** The slack that an image which interferes takes if it uses a whole worker. */
const INTERFERENCE = 3;

/** The part of all pairs of images that interfere. */
const INTERFERING_SHARE = 0.65;

/** The tasks of a step of a best-effort job, and how long each works, in milliseconds. */
const STEP_WIDTH = 20;

const TASK_MS = 1_700;

const SERVING: StepSpec = stepSpec({ lasting: true, targetMs: TARGET_MS, cpuMilli: 13_000 });

const BEST_EFFORT: StepSpec = stepSpec({
  fills: true,
  cpuMilli: 7_000,
  taskCount: STEP_WIDTH,
  estimateMs: TASK_MS,
  checkpointing: true,
});

interface SimulatedRun {
  readonly order: Order & { kind: 'start' };
  readonly spec: StepSpec;
  /** The part of its claim that a serving task uses now. */
  load: number;
  /** How much work is left, in milliseconds. */
  leftMs: number;
  doneMs: number;
  pace: number;
  /** The averaged tail latency, or the processors in use. */
  measure: number;
  missedSinceMs: number;
}

/**
 * Simulates workers nine tenths of which are reserved by serving tasks whose load swings with a period,
 * and best-effort jobs of two wide steps that disturb some of them.
 */
export class SwingingCluster {
  readonly harness: SchedulerHarness;

  readonly #random: () => number;

  readonly #runs = new Map<string, SimulatedRun[]>();

  readonly #reportDueMs = new Map<string, number>();

  readonly #interferes = new Set<string>();

  readonly #acceptedMs = new Map<string, number>();

  #jobCount = 0;

  /** How many best-effort tasks were halted or slowed while no serving task there missed its target. */
  needlessSlowdowns = 0;

  /** The jobs that were done within twice their longest chain and a second. */
  inTime = 0;

  submitted = 0;

  /** The longest time for which a serving task missed its target by the doing of others, in milliseconds. */
  longestMissMs = 0;

  /** The time that serving tasks missed their target by the doing of others, in seconds. */
  missedS = 0;

  constructor(seed: number) {
    this.#random = pseudoRandom(seed);
    const capacity = { cpuMilli: WORKER_CORES * 1_000, memMb: 1_000_000, gpus: 0 };
    const ids = Array.from({ length: WORKERS }, (_, index) => `w${index}`);
    this.harness = new SchedulerHarness(ids.map((id) => workerEntry(id, { capacity })));
    for (const id of ids) {
      this.#runs.set(id, []);
      this.#reportDueMs.set(id, this.harness.nowMs + this.#random() * REPORT_INTERVAL_MS);
    }
    for (let a = 0; a < SERVING_IMAGES; a += 1) {
      for (let b = 0; b < BEST_EFFORT_IMAGES; b += 1)
        if (this.#random() < INTERFERING_SHARE) this.#interferes.add(`s${a} b${b}`);
    }
    for (let job = 0; job < (WORKERS * 4.2) / 14; job += 1) {
      const image = `s${Math.floor(this.#random() * SERVING_IMAGES)}`;
      this.#submit([{ ...SERVING, image, taskCount: 14, maxPerWorker: 2 }]);
    }
  }

  /** Simulates some seconds, in each of which so many best-effort jobs are submitted. */
  simulate(seconds: number, jobsPerSecond: number): void {
    let due = 0;
    for (let ms = 0; ms < seconds * 1_000; ms += STEP_MS) {
      due += (jobsPerSecond * STEP_MS) / 1_000;
      for (; due >= 1; due -= 1) this.#submitBestEffort();
      this.#step();
    }
  }

  #submitBestEffort(): void {
    const image = `b${Math.floor(this.#random() * BEST_EFFORT_IMAGES)}`;
    const step = { ...BEST_EFFORT, image };
    this.submitted += 1;
    this.#acceptedMs.set(this.#submit([step, { ...step, after: [0] }]), this.harness.nowMs);
  }

  #submit(steps: readonly StepSpec[]): string {
    this.#jobCount += 1;
    const id = `${this.#jobCount}`.padStart(16, '0');
    this.harness.submit(jobSpec(steps, { id, acceptedMs: this.harness.nowMs }));
    return id;
  }

  #step(): void {
    const { harness } = this;
    for (const order of harness.decide().orders) this.#carryOut(order);
    harness.nowMs += STEP_MS;
    for (const [id, runs] of this.#runs) this.#work(id, runs);
    for (const { spec, state } of harness.scheduler.jobs.values()) {
      if (state === 'completed') this.#completed(spec.id);
    }
  }

  #completed(id: string): void {
    const objectiveMs = 2 * 2 * TASK_MS + 1_000;
    if (this.harness.nowMs - this.#acceptedMs.get(id)! <= objectiveMs) this.inTime += 1;
    this.harness.scheduler.dropJob(id);
  }

  #carryOut(order: Order): void {
    const runs = this.#runs.get(order.worker)!;
    const name = JSON.stringify(order.task);
    const found = runs.find((run) => JSON.stringify(run.order.task) === name);
    if (order.kind === 'pace' && found) {
      const isMissed = runs.some(({ spec, measure }) => spec.lasting && measure > TARGET_MS);
      if (order.percent < found.pace && !isMissed) this.needlessSlowdowns += 1;
      found.pace = order.percent;
    }
    if (order.kind === 'stop' && found) {
      runs.splice(runs.indexOf(found), 1);
      const saved = Math.floor(found.doneMs / 1_000) * 1_000;
      this.harness.report(order.worker, {
        running: this.#rows(runs),
        ended: [this.harness.end(found.order, 'stopped', saved > 0 ? `${saved}` : '')],
      });
    }
    if (order.kind === 'start') {
      const spec = this.harness.scheduler.jobs.get(order.task.jobId)!.spec.steps[order.task.step]!;
      this.harness.answer(order, 'done');
      const doneMs = Number(order.checkpoint || 0);
      const workMs = TASK_MS * (0.7 + 0.6 * this.#random());
      runs.push({
        order,
        spec,
        load: 0,
        leftMs: spec.lasting ? Infinity : Math.max(100, workMs - doneMs),
        doneMs,
        pace: 100,
        measure: spec.lasting ? TARGET_MS / 2 : 0,
        missedSinceMs: 0,
      });
    }
  }

  #work(id: string, runs: SimulatedRun[]): void {
    const { nowMs } = this.harness;
    let servingCores = 0;
    for (const run of runs) {
      if (run.spec.lasting) {
        const phase = (Number(run.order.task.jobId) % 10) / 10;
        run.load =
          SERVING_LOAD * (1 + SWING * Math.sin(2 * Math.PI * (nowMs / SWING_PERIOD_MS + phase)));
        servingCores += (run.load * run.spec.cpuMilli) / 1_000;
      }
    }
    const fills = runs.filter(({ spec }) => !spec.lasting);
    const wanted = fills.reduce((sum, { spec, pace }) => sum + (spec.cpuMilli * pace) / 100_000, 0);
    const share = Math.min(1, Math.max(0, WORKER_CORES - servingCores) / Math.max(0.001, wanted));
    const ended: SimulatedRun[] = [];
    const gain = STEP_MS / MEASURE_MS;
    for (const run of fills) {
      const speed = (run.pace / 100) * share;
      run.doneMs += STEP_MS * speed;
      run.leftMs -= STEP_MS * speed;
      run.measure += (run.spec.cpuMilli * speed - run.measure) * gain;
      if (run.leftMs <= 0) ended.push(run);
    }
    for (const run of runs) if (run.spec.lasting) this.#serve(run, fills, share, gain);
    for (const run of ended) runs.splice(runs.indexOf(run), 1);
    if (ended.length === 0 && nowMs < this.#reportDueMs.get(id)!) return;
    this.#reportDueMs.set(id, nowMs + REPORT_INTERVAL_MS);
    this.harness.report(id, {
      running: this.#rows(runs),
      ended: ended.map(({ order }) => this.harness.end(order, 'done')),
    });
  }

  /** Updates the tail latency of a serving task, and how long others have kept it over its target. */
  #serve(run: SimulatedRun, fills: readonly SimulatedRun[], share: number, gain: number): void {
    const { nowMs } = this.harness;
    let lost = 0;
    for (const { spec, pace } of fills) {
      if (this.#interferes.has(`${run.spec.image} ${spec.image}`))
        lost += (INTERFERENCE * spec.cpuMilli * pace * share) / (100_000 * WORKER_CORES);
    }
    const ownSlack = (MEAN_SLACK * SERVING_LOAD) / run.load;
    const tailMs = TARGET_MS / Math.max(0.2, ownSlack - lost);
    run.measure += (tailMs - run.measure) * gain;
    const isMissed = tailMs > TARGET_MS && ownSlack >= 1;
    if (!isMissed) run.missedSinceMs = 0;
    else {
      run.missedSinceMs ||= nowMs;
      this.missedS += STEP_MS / 1_000;
      this.longestMissMs = Math.max(this.longestMissMs, nowMs - run.missedSinceMs);
    }
  }

  #rows(runs: readonly SimulatedRun[]): ReturnType<typeof runningRow>[] {
    return runs.map(({ order, spec, measure, doneMs }) =>
      runningRow(order, {
        percent: spec.lasting ? 100 : Math.min(99, 1 + Math.floor((100 * doneMs) / TASK_MS)),
        checkpoint: spec.lasting || doneMs < 1_000 ? '' : `${Math.floor(doneMs / 1_000) * 1_000}`,
        measure: Math.round(measure),
      }),
    );
  }
}
