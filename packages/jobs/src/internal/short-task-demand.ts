/** Demand that arises within this time is counted together, in milliseconds. */
const BUCKET_MS = 250;

/** The time whose demand determines the need, in milliseconds. */
export const WINDOW_MS = 10_000;

/** A task that is estimated to run for longer than this is not short, in milliseconds. */
export const MAX_SHORT_MS = 5_000;

const WINDOW_BUCKETS = WINDOW_MS / BUCKET_MS;

/** Tasks that became ready before the window may still have run in it. */
const RING_BUCKETS = WINDOW_BUCKETS + MAX_SHORT_MS / BUCKET_MS;

/** The share of the window in which the need may exceed the reserve. */
const EXCEEDED_SHARE = 0.1;

/** The time constant with which the need decays as demand falls, in milliseconds. */
const DECAY_MS = 10_000;

/** A need of less than this part of a task counts as none, so that it ends at some time. */
const MIN_TASKS = 0.5;

/** The weight of one observed run time in their running mean. */
const RUN_TIME_GAIN = 0.1;

interface Bucket {
  number: number;
  tasks: number;
  cpuMilli: number;
  memMb: number;
}

/** A number of tasks with equal claims. */
export interface TaskClaim {
  readonly tasks: number;
  readonly cpuMilli: number;
  readonly memMb: number;
}

/** The recent demand of short tasks of one pool, queue priority and size class. */
export class ShortTaskDemand {
  readonly #ring: Bucket[] = Array.from({ length: RING_BUCKETS }, () => ({
    number: -Infinity,
    tasks: 0,
    cpuMilli: 0,
    memMb: 0,
  }));

  #runMs: number;

  /** The first bucket with demand. */
  #firstNumber = Infinity;

  #need: TaskClaim = { tasks: 0, cpuMilli: 0, memMb: 0 };

  /** The bucket up to which the need has been computed. */
  #computedNumber = -Infinity;

  /** `estimateMs` is used until the first of the tasks has ended. */
  constructor(estimateMs: number) {
    this.#runMs = estimateMs;
  }

  /** Records that tasks became ready to start at `readyMs`, now or earlier. */
  add({ tasks, cpuMilli, memMb }: TaskClaim, readyMs: number): void {
    const number = Math.floor(readyMs / BUCKET_MS);
    this.#firstNumber = Math.min(this.#firstNumber, number);
    const bucket = this.#ring[modulo(number, RING_BUCKETS)]!;
    if (bucket.number > number) return;
    if (bucket.number < number) Object.assign(bucket, { number, tasks: 0, cpuMilli: 0, memMb: 0 });
    bucket.tasks += tasks;
    bucket.cpuMilli = Math.max(bucket.cpuMilli, cpuMilli);
    bucket.memMb = Math.max(bucket.memMb, memMb);
  }

  /** Records that a task took this time from its binding to its end. */
  ended(runMs: number): void {
    this.#runMs += (Math.min(runMs, MAX_SHORT_MS) - this.#runMs) * RUN_TIME_GAIN;
  }

  /**
   * Returns how many tasks should be able to run at any moment, and the largest claim among them.
   * This is the p90 of what was needed at once in the last 10 s; it decays as demand falls.
   */
  need(nowMs: number): TaskClaim {
    const newest = Math.floor(nowMs / BUCKET_MS);
    if (newest > this.#computedNumber) this.#compute(newest);
    return this.#need;
  }

  #compute(newest: number): void {
    const elapsedMs = (newest - this.#computedNumber) * BUCKET_MS;
    this.#computedNumber = newest;
    const needs: number[] = [];
    let cpuMilli = 0;
    let memMb = 0;
    // Just after the first demand the time before it says nothing about the load.
    const oldest = Math.max(newest - WINDOW_BUCKETS + 1, this.#firstNumber);
    for (let number = oldest; number <= newest; number += 1) {
      needs.push(this.#neededIn(number));
      const bucket = this.#bucket(number);
      cpuMilli = Math.max(cpuMilli, bucket?.cpuMilli ?? 0);
      memMb = Math.max(memMb, bucket?.memMb ?? 0);
    }
    needs.sort((a, b) => b - a);
    const needed = needs[Math.floor(EXCEEDED_SHARE * needs.length)] ?? 0;
    const decayed = this.#need.tasks * Math.exp(-elapsedMs / DECAY_MS);
    const tasks = Math.max(needed, decayed);
    this.#need = {
      tasks: tasks < MIN_TASKS ? 0 : tasks,
      cpuMilli: cpuMilli || this.#need.cpuMilli,
      memMb: cpuMilli ? memMb : this.#need.memMb,
    };
  }

  /** Returns how many tasks needed capacity at once in a bucket. */
  #neededIn(number: number): number {
    // Each task needs its capacity in the whole bucket in which it became ready.
    const buckets = Math.max(1, this.#runMs / BUCKET_MS);
    let tasks = 0;
    for (let age = 0; age < buckets; age += 1) {
      tasks += Math.min(1, buckets - age) * (this.#bucket(number - age)?.tasks ?? 0);
    }
    return tasks;
  }

  #bucket(number: number): Bucket | undefined {
    const bucket = this.#ring[modulo(number, RING_BUCKETS)]!;
    return bucket.number === number ? bucket : undefined;
  }
}

/** Returns the remainder, which is not negative. */
function modulo(number: number, divisor: number): number {
  return ((number % divisor) + divisor) % divisor;
}
