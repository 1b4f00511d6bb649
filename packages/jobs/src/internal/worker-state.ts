import type { StepSpec } from '../job.js';
import type { TaskRef } from '../task-ref.js';
import type { WorkerEntry } from '../worker.js';
import { isShort, sizeClassOf } from './urgent-reserve.js';
import { WorkerHealth } from './worker-health.js';
import type { WorkerRun } from './worker-run.js';

/** A worker as known to the leader. */
export class WorkerState {
  entry: WorkerEntry;

  /** Whether the store lists the worker. */
  listed = true;

  /**
   * Whether it has answered under this leader's fencing token, so that its reports can be relied
   * on.
   */
  fenced = false;

  /** The process that this is the state of; undefined if it has not stated which it is. */
  incarnation: number | undefined;

  /** Former processes under the same id: entries that they wrote may be read late. */
  readonly formerIncarnations = new Set<number>();

  answeredMs = -Infinity;

  /** When its entry was first read, or when the term began. */
  knownSinceMs = -Infinity;

  /** The earliest time at which a draining worker may leave; Infinity before it drains. */
  leavesMs = Infinity;

  /**
   * After this time every lease that the worker may hold has expired, even by its own slow clock.
   */
  leaseEndMs: number;

  /** Ends up to this number have been applied to the jobs. */
  processedEnd = 0;

  /** The runs whose ends have been applied and may be listed again, by number in ascending order. */
  readonly readEnds = new Map<number, string>();

  /** The worker may forget its ends up to this number. */
  ackedEnd = 0;

  /** No task is started here before this time, because the last start lacked capacity. */
  fullUntilMs = 0;

  /** No task is started here before this time; Infinity while the data centre is evacuated. */
  opensMs = -Infinity;

  /** Whether its machine drains for maintenance, or may be down for it: no task is started here. */
  isClosedForUpkeep = false;

  /** When the pace of any run here was last changed. */
  paceChangedMs = 0;

  #version = 0;

  readonly health = new WorkerHealth();

  readonly runs = new Map<string, WorkerRun>();

  #cpuMilli = 0;

  #memMb = 0;

  #gpus = 0;

  #bestEffortMilli = 0;

  #servingMilli = 0;

  #longRunningMilli = 0;

  readonly #bestEffortClaims = new Map<string, number>();

  /** The number of short tasks here, by size class. */
  readonly #shortRuns = new Map<number, number>();

  /** The number of serving tasks here, by image. */
  readonly servingImages = new Map<string, number>();

  constructor(entry: WorkerEntry, leaseEndMs: number) {
    this.entry = entry;
    this.leaseEndMs = leaseEndMs;
  }

  /** Drops the ends before `firstListed`, which the worker has forgotten. */
  forgetReadEnds(firstListed: number): void {
    for (const number of this.readEnds.keys()) {
      if (number >= firstListed) return;
      this.readEnds.delete(number);
    }
  }

  /**
   * Returns the state of a new process under the same id, without any runs. It is not listed until an
   * entry of its own is read, as its capacity may differ.
   */
  succeededBy(incarnation: number): WorkerState {
    const entry = { ...this.entry, draining: false, remainingMs: 0 };
    const next = new WorkerState(entry, this.leaseEndMs);
    const { opensMs, isClosedForUpkeep } = this;
    Object.assign(next, { incarnation, listed: false, opensMs, isClosedForUpkeep });
    for (const former of [...this.formerIncarnations, this.incarnation])
      if (former !== undefined && former !== incarnation) next.formerIncarnations.add(former);
    return next;
  }

  /** Increases with every change of the runs here or of their measurements. */
  get version(): number {
    return this.#version;
  }

  /** Whether the operators have the data centre of the worker evacuated. */
  get isEvacuated(): boolean {
    return this.opensMs === Infinity;
  }

  /** Records that the runs here have been measured again. */
  markMeasured(): void {
    this.#version += 1;
  }

  /** Reserved processor time; best-effort tasks reserve none. */
  get cpuMilli(): number {
    return this.#cpuMilli;
  }

  /** Unreserved processor time. */
  get freeMilli(): number {
    return this.entry.capacity.cpuMilli - this.#cpuMilli;
  }

  get freeMb(): number {
    return this.entry.capacity.memMb - this.#memMb;
  }

  get freeGpus(): number {
    return this.entry.capacity.gpus - this.#gpus;
  }

  /** Returns how many short tasks of a size class occupy capacity here. */
  shortRuns(sizeMilli: number): number {
    return this.#shortRuns.get(sizeMilli) ?? 0;
  }

  /** The processor time that the best-effort tasks here would use if no other tasks did. */
  get bestEffortMilli(): number {
    return this.#bestEffortMilli;
  }

  /** The processor time that is reserved by tasks with callers of their own. */
  get servingMilli(): number {
    return this.#servingMilli;
  }

  /** The processor time that is reserved by long-running tasks. */
  get longRunningMilli(): number {
    return this.#longRunningMilli;
  }

  /** Returns, for each image, the processor time that best-effort tasks here claim. */
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

  /** Whether the unreserved processors suffice for a task of the step. */
  hasProcessorsFor(spec: StepSpec): boolean {
    return spec.fills || this.#cpuMilli + spec.cpuMilli <= this.entry.capacity.cpuMilli;
  }

  /** Whether the unreserved memory and GPUs suffice for a task of the step. */
  hasMemoryFor(spec: StepSpec): boolean {
    const { capacity } = this.entry;
    if (this.#memMb + spec.memMb > capacity.memMb) return false;
    return this.#gpus + spec.gpus <= capacity.gpus;
  }

  /** Whether the capacity suffices for a task once all tasks here but long-running ones have ended. */
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

  /** Returns whether a suspect here has not worked for long enough to be harmless. */
  hasSuspect(): boolean {
    for (const { isSuspect, isHarmless } of this.runs.values())
      if (isSuspect && !isHarmless) return true;
    return false;
  }

  /** Returns whether a serving task here missed its target in the latest report. */
  missesTarget(): boolean {
    for (const { missedTargetSinceMs } of this.runs.values())
      if (missedTargetSinceMs > 0) return true;
    return false;
  }

  /** Returns whether a best-effort task works here, at whatever pace. */
  hasWorkingBestEffort(): boolean {
    for (const { spec, confirmed, pace } of this.runs.values())
      if (spec.fills && confirmed && pace > 0) return true;
    return false;
  }

  /** Returns how many tasks of a step, of one occurrence, occupy capacity here. */
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
      if (spec.lasting) this.#longRunningMilli += sign * spec.cpuMilli;
      if (isShort(spec)) addTo(this.#shortRuns, sizeClassOf(spec.cpuMilli), sign);
    }
    if (spec.targetMs > 0) {
      this.#servingMilli += sign * spec.cpuMilli;
      addTo(this.servingImages, spec.image, sign);
    }
    this.#memMb += sign * spec.memMb;
    this.#gpus += sign * spec.gpus;
  }
}

function addTo<K>(sums: Map<K, number>, key: K, amount: number): void {
  const sum = (sums.get(key) ?? 0) + amount;
  if (sum > 0) sums.set(key, sum);
  else sums.delete(key);
}
