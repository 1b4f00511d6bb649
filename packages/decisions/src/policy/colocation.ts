import type { Manifest, UsageReport, WorkerReport } from '@redwingcrank/protocol';
import type { ControlFold, HostState, TaskState } from '../control-fold.js';
import { InterferenceModel, workloadKindOf } from './interference.js';
import { indexOf } from './manifest-index.js';

/** Measurements taken this close to each other show the same moment of a host. */
const SAME_MOMENT_MS = 2_500;

/** The part of a new measurement in the smoothed tail of a replica. */
const FRESH_PART = 0.5;

/** A tail above its target this many measurements in a row calls for something. */
const STREAK = 2;

/** Below this part of the target there is room to give back. */
const CALM = 0.75;

/** An act shows in the reports only after their lag. */
const SETTLE_MS = 25_000;

/** A calm of more than two such lags, so that a share is not raised on what an older act brought. */
const RELAX_MS = 60_000;

/** Held to less, a task hardly gets on: then it is moved instead. */
const LEAST_SHARE = 0.25;

interface Tail {
  readonly smoothed: number;
  readonly measuredMs: number;
}

interface HostGuard {
  /** Measurements in a row above the target. */
  streak: number;
  calmSinceMs: number | undefined;
  actedMs: number;
  fresh: boolean;
  /** The share that each kind of batch work is held to. */
  readonly shares: Map<string, number>;
}

/** A task that is to be checkpointed and moved because it disturbs a service. */
export interface TaskMove {
  readonly taskId: string;
  readonly attempt: number;
  readonly reason: string;
}

/**
 * Watches services and the batch work beside them: learns from usage reports which pairs go
 * badly together, and answers a tail that worsens with a throttle first, which costs little and
 * is undone at once, and with a move only where the throttle was not enough.
 */
export class Colocation {
  readonly model = new InterferenceModel();

  readonly #tails = new Map<string, Tail>();

  readonly #guards = new Map<string, HostGuard>();

  /** Takes a worker's report; late, repeated and lost ones are normal. */
  observe(fold: ControlFold, manifest: Manifest, report: WorkerReport, nowMs: number): void {
    const host = fold.hosts.get(report.hostId);
    if (!host) return;
    for (const usage of report.usage) {
      const task = fold.tasks.get(usage.taskId);
      const isHere = task?.hostId === report.hostId && task.attempt === usage.attempt;
      if (task && isHere && usage.latencyMs !== undefined) {
        const target = indexOf(manifest).services.get(task.owner)?.latencyTargetMs;
        const tail = target === undefined ? undefined : usage.latencyMs / target;
        if (tail !== undefined) this.#take(fold, host, { task, usage, tail, report, nowMs });
      }
    }
  }

  /** The share that a task is to be held to; 1 where it may use all it was bound with. */
  shareOf({ kind, hostId, owner }: TaskState): number {
    if (kind === 'service') return 1;
    return this.#guards.get(hostId)?.shares.get(workloadKindOf(owner)) ?? 1;
  }

  /** Decides on the hosts that were measured since the last review. */
  *review(fold: ControlFold, nowMs: number): Generator<TaskMove> {
    for (const [hostId, guard] of this.#guards) {
      const host = fold.hosts.get(hostId);
      if (!host) this.#guards.delete(hostId);
      else if (guard.fresh) yield* this.#judge(fold, host, guard, nowMs);
    }
    for (const taskId of this.#tails.keys()) {
      const state = fold.tasks.get(taskId)?.state;
      if (state === undefined || state === 'ended') this.#tails.delete(taskId);
    }
  }

  #take(
    fold: ControlFold,
    host: HostState,
    sample: {
      task: TaskState;
      usage: UsageReport;
      tail: number;
      report: WorkerReport;
      nowMs: number;
    },
  ): void {
    const { task, usage, tail, report, nowMs } = sample;
    const measuredMs = nowMs - usage.ageMs;
    const last = this.#tails.get(task.taskId);
    // The same measurement comes again with every report until there is a new one.
    if (last && measuredMs <= last.measuredMs + 1) return;
    const batchCpuShares = partsOf(fold, host, report, usage.ageMs);
    const load = Math.min(1, usage.cpu / Math.max(task.resources.cpu, 1e-3));
    this.model.learn({ service: workloadKindOf(task.owner), tail, load, batchCpuShares });
    const smoothed = last ? last.smoothed + FRESH_PART * (tail - last.smoothed) : tail;
    this.#tails.set(task.taskId, { smoothed, measuredMs });
    this.#guardOf(host.hostId).fresh = true;
  }

  #guardOf(hostId: string): HostGuard {
    const known = this.#guards.get(hostId);
    if (known) return known;
    const guard: HostGuard = {
      streak: 0,
      calmSinceMs: undefined,
      actedMs: -Infinity,
      fresh: false,
      shares: new Map(),
    };
    this.#guards.set(hostId, guard);
    return guard;
  }

  *#judge(
    fold: ControlFold,
    host: HostState,
    state: HostGuard,
    nowMs: number,
  ): Generator<TaskMove> {
    const guard = state;
    guard.fresh = false;
    const worst = this.#worst(host);
    if (!worst) return;
    guard.streak = worst.tail > 1 ? guard.streak + 1 : 0;
    if (worst.tail >= CALM) guard.calmSinceMs = undefined;
    else guard.calmSinceMs ??= nowMs;
    if (nowMs - guard.actedMs < SETTLE_MS) return;
    if (guard.streak >= STREAK) {
      guard.actedMs = nowMs;
      yield* this.#relieve(fold, host, guard, worst.taskId);
    } else if (guard.calmSinceMs !== undefined && nowMs - guard.calmSinceMs >= RELAX_MS) {
      relax(guard);
      guard.actedMs = nowMs;
    }
  }

  #worst(host: HostState): { taskId: string; tail: number } | undefined {
    let worst: { taskId: string; tail: number } | undefined;
    for (const taskId of host.tasks) {
      const tail = this.#tails.get(taskId)?.smoothed;
      if (tail !== undefined && (!worst || tail > worst.tail)) worst = { taskId, tail };
    }
    return worst;
  }

  /** Throttles the kind that costs the service most here; moves a task of it after that. */
  *#relieve(
    fold: ControlFold,
    host: HostState,
    guard: HostGuard,
    suffering: string,
  ): Generator<TaskMove> {
    const service = workloadKindOf(fold.tasks.get(suffering)?.owner ?? '');
    const batch = [...host.tasks]
      .map((taskId) => fold.tasks.get(taskId))
      .filter((task) => task?.kind === 'job' && task.state === 'running');
    let worst: TaskState | undefined;
    let worstCost = -1;
    for (const task of batch) {
      if (task) {
        const share = this.shareOf(task);
        const cost =
          (this.model.cost(service, workloadKindOf(task.owner)) + 1e-3) * task.resources.cpu;
        if (cost * share > worstCost) {
          worst = task;
          worstCost = cost * share;
        }
      }
    }
    if (!worst) return;
    const share = this.shareOf(worst);
    if (share > LEAST_SHARE) {
      guard.shares.set(workloadKindOf(worst.owner), share / 2);
      return;
    }
    const { taskId, attempt } = worst;
    yield { taskId, attempt, reason: `disturbs ${service}` };
  }
}

function relax(guard: HostGuard): void {
  for (const [kind, share] of guard.shares) {
    if (share * 2 >= 1) guard.shares.delete(kind);
    else guard.shares.set(kind, share * 2);
  }
}

/** The part of the host's processors that each batch kind used when a measurement was taken. */
function partsOf(
  fold: ControlFold,
  host: HostState,
  report: WorkerReport,
  ageMs: number,
): Map<string, number> {
  const parts = new Map<string, number>();
  for (const usage of report.usage) {
    const task = fold.tasks.get(usage.taskId);
    if (task?.kind === 'job' && Math.abs(usage.ageMs - ageMs) <= SAME_MOMENT_MS) {
      const kind = workloadKindOf(task.owner);
      parts.set(kind, (parts.get(kind) ?? 0) + usage.cpu / host.capacity.cpu);
    }
  }
  return parts;
}
