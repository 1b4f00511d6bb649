import type { StepSpec } from '../job.js';
import type { TaskRef } from '../task-ref.js';
import type { WorkerEntry } from '../worker.js';
import type { StopReason } from './stop-reason.js';
import { WorkerHealth } from './worker-health.js';

/** A run that occupies room on a worker, or may. */
export interface WorkerRun {
  readonly ref: TaskRef;
  readonly run: number;
  readonly spec: StepSpec;
  readonly startedMs: number;
  /**
   * A report asked for after this time that does not know the run proves that it never will run.
   * Infinite while the start is on its way.
   */
  sendCompletedMs: number;
  /** The worker has said that the run is there, or was. */
  confirmed: boolean;
  /** When the newest stop was sent; 0 before the first. */
  stopSentMs: number;
  /** Why it was stopped first; undefined before that. */
  stopReason: StopReason | undefined;
  checkpoint: string;
  /** When its checkpoint changed last, or the run was ordered. */
  checkpointedMs: number;
  percent: number;
  /** When `percent` last rose. */
  progressedMs: number;
  measure: number;
  /** Since when every report had its tail over its target; 0 if the newest had not. */
  missedTargetSinceMs: number;
  /** The share of its speed that the run was last told to work at. */
  pace: number;
}

/** One worker as the scheduling node sees it. */
export class WorkerState {
  entry: WorkerEntry;

  /** Whether the store lists it. */
  listed = true;

  /** Whether it has answered under this node's fencing token, so that its lists are the truth. */
  fenced = false;

  answeredMs = -Infinity;

  /** The earliest time at which it may leave, while it is draining. */
  leavesMs = Infinity;

  /** After this time every lease it may have been given is over, on its own slow clock too. */
  leaseEndMs: number;

  /** Ends up to this number have been worked into the jobs. */
  processedEnd = 0;

  /** Ends up to this number may be forgotten by the worker. */
  ackedEnd = 0;

  /** No start before this time: the last one found no room. */
  fullUntilMs = 0;

  /** When any run here was last told to work slower or faster. */
  paceChangedMs = 0;

  #version = 0;

  readonly health = new WorkerHealth();

  readonly runs = new Map<string, WorkerRun>();

  #cpuMilli = 0;

  #memMb = 0;

  #gpus = 0;

  #bestEffortMilli = 0;

  #servingMilli = 0;

  readonly #bestEffortClaims = new Map<string, number>();

  /** How many serving tasks of each image are here. */
  readonly servingImages = new Map<string, number>();

  constructor(entry: WorkerEntry, leaseEndMs: number) {
    this.entry = entry;
    this.leaseEndMs = leaseEndMs;
  }

  /** Rises with every change of what runs here or of what was measured of it. */
  get version(): number {
    return this.#version;
  }

  /** What runs here was measured again. */
  markMeasured(): void {
    this.#version += 1;
  }

  /** Reserved processor time; filling tasks reserve none. */
  get cpuMilli(): number {
    return this.#cpuMilli;
  }

  /** What the filling tasks here would use if nothing else did. */
  get bestEffortMilli(): number {
    return this.#bestEffortMilli;
  }

  /** Reserved by tasks that answer callers of their own. */
  get servingMilli(): number {
    return this.#servingMilli;
  }

  /** By image: the processor time that filling tasks here claim. */
  bestEffortClaims(): ReadonlyMap<string, number> {
    return this.#bestEffortClaims;
  }

  add(key: string, run: WorkerRun): void {
    this.remove(key);
    this.runs.set(key, run);
    this.#count(run.spec, 1);
  }

  remove(key: string): void {
    const run = this.runs.get(key);
    if (!run) return;
    this.runs.delete(key);
    this.#count(run.spec, -1);
  }

  hasCapacityFor(spec: StepSpec): boolean {
    const { capacity } = this.entry;
    const cpu = spec.fills ? 0 : spec.cpuMilli;
    if (this.#cpuMilli + cpu > capacity.cpuMilli) return false;
    if (this.#memMb + spec.memMb > capacity.memMb) return false;
    return this.#gpus + spec.gpus <= capacity.gpus;
  }

  /** The same once everything here has ended but the tasks that last. */
  hasCapacityBesideLongRunning(spec: StepSpec): boolean {
    const { capacity } = this.entry;
    let [cpuMilli, memMb, gpus] = [spec.fills ? 0 : spec.cpuMilli, spec.memMb, spec.gpus];
    for (const { spec: other } of this.runs.values()) {
      if (other.lasting) {
        cpuMilli += other.fills ? 0 : other.cpuMilli;
        memMb += other.memMb;
        gpus += other.gpus;
      }
    }
    return cpuMilli <= capacity.cpuMilli && memMb <= capacity.memMb && gpus <= capacity.gpus;
  }

  /** Whether a serving task here was over its target in the newest report. */
  missesTarget(): boolean {
    for (const { missedTargetSinceMs } of this.runs.values())
      if (missedTargetSinceMs > 0) return true;
    return false;
  }

  /** How many tasks of a step, of one occurrence, occupy room here. */
  countOf({ jobId, occurrence, step }: TaskRef): number {
    let count = 0;
    for (const { ref } of this.runs.values()) {
      if (ref.jobId === jobId && ref.occurrence === occurrence && ref.step === step) count += 1;
    }
    return count;
  }

  #count(spec: StepSpec, sign: 1 | -1): void {
    this.#version += 1;
    if (spec.fills) {
      this.#bestEffortMilli += sign * spec.cpuMilli;
      addTo(this.#bestEffortClaims, spec.image, sign * spec.cpuMilli);
    } else {
      this.#cpuMilli += sign * spec.cpuMilli;
    }
    if (spec.targetMs > 0) {
      this.#servingMilli += sign * spec.cpuMilli;
      addTo(this.servingImages, spec.image, sign);
    }
    this.#memMb += sign * spec.memMb;
    this.#gpus += sign * spec.gpus;
  }
}

function addTo(sums: Map<string, number>, key: string, amount: number): void {
  const sum = (sums.get(key) ?? 0) + amount;
  if (sum > 0) sums.set(key, sum);
  else sums.delete(key);
}
