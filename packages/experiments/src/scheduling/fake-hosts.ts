import type { ControlAction, Job, ListedHost, WorkerReport } from '@redwingcrank/protocol';
import type { ControlFold, RandomSource, TaskState } from '@redwingcrank/decisions';
import { workloadKindOf } from '@redwingcrank/decisions';
import type { HiddenTruth } from './truth.js';
import { STEP_MS } from './truth.js';

const STOP_MS = 4_000;
const LEASE_MS = 10_000;
const MIN_LAG_STEPS = 2;
const MAX_LAG_STEPS = 6;
const LOST_PERCENT = 10;
const REPORT_STEPS = 2;
const TARGET_MS = 100;
const NOISE_PERCENT = 8;

/** The true work of a job's task, which its claim may misstate. */
export interface TrueWork {
  /** Core-milliseconds that one task needs. */
  readonly work: number;
  /** The part of its claimed processors that a task can use, at most 1. */
  readonly use: number;
}

export interface HostsOptions {
  readonly fold: ControlFold;
  readonly truth: HiddenTruth;
  readonly random: RandomSource;
  readonly work: (job: string) => TrueWork;
  readonly jobs: ReadonlyMap<string, Job>;
  /** A worker that fails whatever it starts. */
  readonly badHost?: string | undefined;
  /** The share that a task is held to. */
  readonly shareOf: (task: TaskState) => number;
}

type Snapshot = WorkerReport['usage'];

/** Workers in virtual time: they run what is bound, and report usage late, partly, unordered. */
export class FakeHosts {
  readonly #options: HostsOptions;

  readonly #done = new Map<string, number>();

  readonly #since = new Map<string, number>();

  readonly #history = new Map<string, Snapshot[]>();

  /** Steps of replicas in all, and those that were above the target. */
  samples = 0;

  late = 0;

  /** Core-milliseconds of batch work done. */
  work = 0;

  constructor(options: HostsOptions) {
    this.#options = options;
  }

  /** Runs one step; returns what workers say of attempts. */
  *step(nowMs: number, lost: ReadonlySet<string>): Generator<ControlAction> {
    for (const host of this.#options.fold.hosts.values()) {
      const tasks = [...host.tasks].map((id) => this.#options.fold.tasks.get(id));
      if (lost.has(host.hostId)) {
        for (const task of tasks) if (task) yield* this.#lapse(task, nowMs);
      } else {
        yield* this.#runHost(host.hostId, host.capacity.cpu, tasks, nowMs);
      }
    }
  }

  /** The reports that arrive in this step. */
  *reports(nowMs: number, listed: readonly ListedHost[]): Generator<WorkerReport> {
    const { random } = this.#options;
    const due = listed.filter((_host, i) => (i + nowMs / STEP_MS) % REPORT_STEPS === 0);
    for (const { hostId } of due) {
      const lag = random.int(MIN_LAG_STEPS, MAX_LAG_STEPS);
      const usage = this.#history.get(hostId)?.at(-lag);
      if (usage && random.int(1, 100) > LOST_PERCENT) {
        const late = usage.map((item) => ({ ...item, ageMs: lag * STEP_MS }));
        yield {
          hostId,
          incarnation: 'i',
          heartbeat: nowMs,
          orphans: false,
          tasks: [],
          usage: late,
        };
      }
    }
  }

  *#runHost(
    hostId: string,
    cpu: number,
    tasks: readonly (TaskState | undefined)[],
    nowMs: number,
  ): Generator<ControlAction> {
    const beside = new Map<string, number>();
    const usage: Snapshot = [];
    for (const task of tasks) {
      if (task?.kind === 'job') {
        const cores = this.#coresOf(task);
        const kind = workloadKindOf(task.owner);
        beside.set(kind, (beside.get(kind) ?? 0) + cores / cpu);
        usage.push(this.#usageOf(task, cores));
        yield* this.#runTask(task, cores, nowMs);
      }
    }
    for (const task of tasks) {
      if (task?.kind === 'service') usage.push(yield* this.#serve(task, beside, nowMs));
    }
    const history = this.#history.get(hostId) ?? [];
    this.#history.set(hostId, [...history.slice(1 - MAX_LAG_STEPS), usage]);
  }

  #usageOf({ taskId, attempt, resources }: TaskState, cpu: number): Snapshot[number] {
    return { taskId, attempt, cpu, memoryMb: resources.memoryMb, ageMs: 0 };
  }

  *#serve(
    task: TaskState,
    beside: ReadonlyMap<string, number>,
    nowMs: number,
  ): Generator<ControlAction, Snapshot[number]> {
    const { truth, random } = this.#options;
    const { taskId, attempt } = task;
    if (task.state === 'bound') yield { type: 'running', taskId, attempt };
    if (task.state === 'revoked') yield* this.#stop(task, nowMs);
    const tail = truth.tail(workloadKindOf(task.owner), nowMs, beside);
    this.samples += 1;
    if (tail > 1) this.late += 1;
    const noise = 1 + random.int(-NOISE_PERCENT, NOISE_PERCENT) / 100;
    const load = this.#usageOf(task, truth.load(nowMs) * task.resources.cpu);
    return { ...load, latencyMs: tail * noise * TARGET_MS };
  }

  #coresOf(task: TaskState): number {
    if (task.state === 'revoked') return 0;
    const { use } = this.#options.work(task.owner);
    return task.resources.cpu * use * this.#options.shareOf(task);
  }

  *#runTask(task: TaskState, cores: number, nowMs: number): Generator<ControlAction> {
    const { taskId, attempt } = task;
    if (task.state === 'revoked') yield* this.#stop(task, nowMs);
    else if (task.hostId === this.#options.badHost) {
      yield { type: 'ended', taskId, attempt, outcome: 'failed', proof: 'worker' };
    } else {
      if (task.state === 'bound') yield { type: 'running', taskId, attempt };
      const done = (this.#done.get(taskId) ?? 0) + cores * STEP_MS;
      this.#done.set(taskId, done);
      this.work += cores * STEP_MS;
      if (done >= this.#options.work(task.owner).work) {
        yield { type: 'ended', taskId, attempt, outcome: 'completed', proof: 'worker' };
      }
    }
  }

  /** Stopping takes a checkpoint first, so what was done is kept. */
  *#stop(task: TaskState, nowMs: number): Generator<ControlAction> {
    const { taskId, attempt } = task;
    const checkpoint = task.kind === 'job' ? `${taskId}@${nowMs}` : undefined;
    if (!this.#waited(task, nowMs, STOP_MS)) return;
    yield { type: 'ended', taskId, attempt, outcome: 'stopped', proof: 'worker', checkpoint };
  }

  /** A lost host takes the work since the last checkpoint with it: here all of it. */
  *#lapse(task: TaskState, nowMs: number): Generator<ControlAction> {
    const { taskId, attempt } = task;
    this.work -= this.#done.get(taskId) ?? 0;
    this.#done.delete(taskId);
    if (task.kind === 'service') {
      this.samples += 1;
      this.late += 1;
    }
    if (!this.#waited(task, nowMs, LEASE_MS)) return;
    yield { type: 'ended', taskId, attempt, outcome: 'lapsed', proof: 'lease' };
  }

  #waited({ taskId, attempt }: TaskState, nowMs: number, waitMs: number): boolean {
    const key = `${taskId}#${attempt}`;
    const since = this.#since.get(key) ?? nowMs;
    this.#since.set(key, since);
    return nowMs - since >= waitMs;
  }
}
