import type { StepSpec } from '../job.js';
import { SimulatedCluster, STEP_MS, pseudoRandom } from './simulated-cluster.js';
import { QUEUE, jobSpec, stepSpec, workerEntry } from './scheduler-harness.js';

const WORKERS = 24;

const CORES = 64;

/** How long a long-running job runs, and the time over which the first ones arrive. */
const LIFETIME_MS = 70_000;
const FILL_MS = 3_000;

/** The time that is not counted, in which the cluster fills. */
const WARM_UP_MS = 20_000;

const WATCH = stepSpec({ lasting: true, targetMs: 20, taskCount: 5, memMb: 13_000 });

const URGENT = stepSpec({ memMb: 15_000, estimateMs: 640, taskCount: 10 });

const BEST_EFFORT = { fills: true, checkpointing: true, cpuMilli: 7_000, estimateMs: 1_600 };

/** The load of a contended cluster. */
export interface Contention {
  readonly seed: number;
  /** The processors that long-running jobs ask for, as a share of all. */
  readonly longRunning: number;
  /** The memory of a best-effort task, and the number of such jobs of twenty tasks a second. */
  readonly bestEffortMb: number;
  readonly bestEffortPerS: number;
}

/** What became of the jobs after the warm-up. */
export interface Outcome {
  readonly urgent: number;
  readonly urgentInTime: number;
  readonly bestEffort: number;
  readonly bestEffortInTime: number;
  /** The mean part of the processors that long-running tasks reserve, in percent. */
  readonly longRunningPercent: number;
}

/**
 * Simulates some seconds of a cluster at a tenth of the size of linhouse: urgent jobs of ten short
 * tasks beside long-running jobs, which are smaller than there in the same proportion.
 */
export function contend(load: Contention, seconds: number): Outcome {
  const random = pseudoRandom(load.seed);
  const capacity = { cpuMilli: CORES * 1_000, memMb: 250_000, gpus: 0 };
  const workers = Array.from({ length: WORKERS }, (_, i) => workerEntry(`w${i}`, { capacity }));
  const durationMsOf = ({ estimateMs }: StepSpec, part: number): number =>
    estimateMs * (0.5 + part);
  const cluster = new SimulatedCluster(load.seed, workers, { durationMsOf, tailMs: 5 });
  const { harness } = cluster;
  const { scheduler } = harness;
  scheduler.setQueues([
    { ...QUEUE, name: 'urgent', stretch: 1.5, targetLatencyMs: 251 },
    { ...QUEUE, name: 'watch' },
    { ...QUEUE, name: 'best-effort', priority: 2, targetLatencyMs: 1_001 },
  ]);
  const endsMs = new Map<string, number>();
  let jobs = 0;
  const submit = (queue: string, steps: readonly StepSpec[]): string => {
    jobs += 1;
    const id = `${queue}${jobs}`;
    return harness.submit(jobSpec(steps, { id, queue, acceptedMs: harness.nowMs })).spec.id;
  };
  const arrive = (perS: number, submitOne: () => void): void => {
    for (let chance = (perS * STEP_MS) / 1_000; chance > 0; chance -= 1)
      if (random() < chance) submitOne();
  };
  const watchJobs = (load.longRunning * WORKERS * CORES) / (13 * WATCH.taskCount);
  const startMs = harness.nowMs;
  const countedMs = startMs + WARM_UP_MS;
  let firstCounted = 0;
  let percentSum = 0;
  while (harness.nowMs < countedMs + seconds * 1_000) {
    const isFilling = harness.nowMs < startMs + FILL_MS;
    arrive(1.26, () => {
      const step = { ...URGENT, cpuMilli: Math.round(7_500 * (0.4 + 1.2 * random())) };
      submit('urgent', random() < 0.6 ? [step, { ...step, after: [0] }] : [step]);
    });
    arrive((1_000 * watchJobs) / (isFilling ? FILL_MS : LIFETIME_MS), () => {
      const lifetimeMs = LIFETIME_MS * (isFilling ? random() : 1);
      const cpuMilli = Math.round(13_000 * (0.5 + random()));
      const image = `s${Math.floor(10 * random())}`;
      endsMs.set(submit('watch', [{ ...WATCH, cpuMilli, image }]), harness.nowMs + lifetimeMs);
    });
    arrive(load.bestEffortPerS, () => {
      submit('best-effort', [
        stepSpec({ ...BEST_EFFORT, taskCount: 20, memMb: load.bestEffortMb }),
      ]);
    });
    for (const [id, endMs] of endsMs)
      if (endMs <= harness.nowMs) scheduler.cancel(id, harness.nowMs);
    cluster.step();
    if (harness.nowMs <= countedMs) firstCounted = harness.events.length;
    else percentSum += scheduler.backlog(harness.nowMs).longRunningPercent;
  }
  const ends = harness.eventFields.filter(
    (_, i) => i >= firstCounted && harness.events[i] === 'job-ended',
  );
  const count = (queue: string, objectives: readonly string[]): number =>
    ends.filter((end) => end.queue === queue && objectives.includes(`${end.objective}`)).length;
  return {
    urgent: count('urgent', ['met', 'late', 'missed']),
    urgentInTime: count('urgent', ['met']),
    bestEffort: count('best-effort', ['met', 'late', 'missed']),
    bestEffortInTime: count('best-effort', ['met']),
    longRunningPercent: (percentSum * STEP_MS) / (seconds * 1_000),
  };
}
