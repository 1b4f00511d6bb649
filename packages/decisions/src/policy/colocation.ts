import type { Manifest, UsageReport, WorkerReport } from '@redwingcrank/protocol';
import type { ControlFold, HostState, TaskState } from '../control-fold.js';
import { InterferenceModel, workloadKindOf } from './interference.js';
import { indexOf } from './manifest-index.js';

/** Measurements taken at most this far apart are treated as simultaneous. */
const SIMULTANEOUS_MS = 2_500;

/** The weight of a new measurement in the smoothed tail latency of a replica. */
const SAMPLE_WEIGHT = 0.5;

/** Action is taken when the latency has exceeded the target in this many reviews in a row. */
const MISSES_BEFORE_ACTION = 2;

/** Below this ratio of latency to target, a throttle may be relaxed. */
const LOW_LATENCY_RATIO = 0.75;

/** An action shows in reports only after this lag, which must pass before the next action. */
const REPORT_LAG_MS = 25_000;

/**
 * Latency must have been low for this long before a share is raised. It is more than two such lags,
 * so that the low latency is not merely the effect of an earlier action.
 */
const LOW_LATENCY_MS = 60_000;

/** With a smaller share a task makes hardly any progress, so it is moved instead. */
const MIN_SHARE = 0.25;

interface TailLatency {
  readonly smoothed: number;
  readonly measuredMs: number;
}

interface HostThrottle {
  /** The number of consecutive reviews with a latency above the target. */
  misses: number;
  lowSinceMs: number | undefined;
  lastActionMs: number;
  hasNewSample: boolean;
  /** The share of its resources to which each kind of batch work is limited. */
  readonly shares: Map<string, number>;
}

/** A task to be checkpointed and moved because it interferes with a service. */
export interface TaskMove {
  readonly taskId: string;
  readonly attempt: number;
  readonly reason: string;
}

/**
 * Protects the tail latency of services from batch work on the same host. Learns from usage reports
 * which batch work interferes with which service. If the latency of a service exceeds its target,
 * batch work is first throttled, which costs little and is easily undone. A task is moved only if
 * throttling is not enough.
 */
export class Colocation {
  readonly model = new InterferenceModel();

  readonly #tailLatencies = new Map<string, TailLatency>();

  readonly #throttles = new Map<string, HostThrottle>();

  /** Learns from a worker's report. Reports may be late, repeated or lost. */
  observe(fold: ControlFold, manifest: Manifest, report: WorkerReport, nowMs: number): void {
    const host = fold.hosts.get(report.hostId);
    if (!host) return;
    for (const usage of report.usage) {
      const task = fold.tasks.get(usage.taskId);
      const isHere = task?.hostId === report.hostId && task.attempt === usage.attempt;
      if (task && isHere && usage.latencyMs !== undefined) {
        const target = indexOf(manifest).services.get(task.owner)?.latencyTargetMs;
        const ratio = target === undefined ? undefined : usage.latencyMs / target;
        if (ratio !== undefined) this.#addSample(fold, host, { task, usage, ratio, report, nowMs });
      }
    }
  }

  /** Returns the share of its resources to which a task is limited; 1 if it is not throttled. */
  shareOf({ kind, hostId, owner }: TaskState): number {
    if (kind === 'service') return 1;
    return this.#throttles.get(hostId)?.shares.get(workloadKindOf(owner)) ?? 1;
  }

  /** Reviews the hosts with new measurements: adjusts throttles and yields the tasks to move. */
  *review(fold: ControlFold, nowMs: number): Generator<TaskMove> {
    for (const [hostId, throttle] of this.#throttles) {
      const host = fold.hosts.get(hostId);
      if (!host) this.#throttles.delete(hostId);
      else if (throttle.hasNewSample) yield* this.#reviewHost(fold, host, throttle, nowMs);
    }
    for (const taskId of this.#tailLatencies.keys()) {
      const state = fold.tasks.get(taskId)?.state;
      if (state === undefined || state === 'ended') this.#tailLatencies.delete(taskId);
    }
  }

  #addSample(
    fold: ControlFold,
    host: HostState,
    sample: {
      task: TaskState;
      usage: UsageReport;
      ratio: number;
      report: WorkerReport;
      nowMs: number;
    },
  ): void {
    const { task, usage, ratio, report, nowMs } = sample;
    const measuredMs = nowMs - usage.ageMs;
    const last = this.#tailLatencies.get(task.taskId);
    // Every report repeats the last measurement until there is a new one.
    if (last && measuredMs <= last.measuredMs + 1) return;
    const batchCpuShares = batchCpuSharesOf(fold, host, report, usage.ageMs);
    const load = Math.min(1, usage.cpu / Math.max(task.resources.cpu, 1e-3));
    this.model.learn({
      service: workloadKindOf(task.owner),
      latencyRatio: ratio,
      load,
      batchCpuShares,
    });
    const smoothed = last ? last.smoothed + SAMPLE_WEIGHT * (ratio - last.smoothed) : ratio;
    this.#tailLatencies.set(task.taskId, { smoothed, measuredMs });
    this.#throttleOf(host.hostId).hasNewSample = true;
  }

  #throttleOf(hostId: string): HostThrottle {
    const known = this.#throttles.get(hostId);
    if (known) return known;
    const throttle: HostThrottle = {
      misses: 0,
      lowSinceMs: undefined,
      lastActionMs: -Infinity,
      hasNewSample: false,
      shares: new Map(),
    };
    this.#throttles.set(hostId, throttle);
    return throttle;
  }

  *#reviewHost(
    fold: ControlFold,
    host: HostState,
    state: HostThrottle,
    nowMs: number,
  ): Generator<TaskMove> {
    const throttle = state;
    throttle.hasNewSample = false;
    const worst = this.#highestLatency(host);
    if (!worst) return;
    throttle.misses = worst.ratio > 1 ? throttle.misses + 1 : 0;
    if (worst.ratio >= LOW_LATENCY_RATIO) throttle.lowSinceMs = undefined;
    else throttle.lowSinceMs ??= nowMs;
    if (nowMs - throttle.lastActionMs < REPORT_LAG_MS) return;
    if (throttle.misses >= MISSES_BEFORE_ACTION) {
      throttle.lastActionMs = nowMs;
      yield* this.#reduceInterference(fold, host, throttle, worst.taskId);
    } else if (throttle.lowSinceMs !== undefined && nowMs - throttle.lowSinceMs >= LOW_LATENCY_MS) {
      raiseShares(throttle);
      throttle.lastActionMs = nowMs;
    }
  }

  #highestLatency(host: HostState): { taskId: string; ratio: number } | undefined {
    let worst: { taskId: string; ratio: number } | undefined;
    for (const taskId of host.tasks) {
      const ratio = this.#tailLatencies.get(taskId)?.smoothed;
      if (ratio !== undefined && (!worst || ratio > worst.ratio)) worst = { taskId, ratio };
    }
    return worst;
  }

  /**
   * Throttles the kind of batch work that interferes most with the service. If its share is already
   * at the minimum, one of its tasks is moved.
   */
  *#reduceInterference(
    fold: ControlFold,
    host: HostState,
    throttle: HostThrottle,
    affectedTaskId: string,
  ): Generator<TaskMove> {
    const service = workloadKindOf(fold.tasks.get(affectedTaskId)?.owner ?? '');
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
    if (share > MIN_SHARE) {
      throttle.shares.set(workloadKindOf(worst.owner), share / 2);
      return;
    }
    const { taskId, attempt } = worst;
    yield { taskId, attempt, reason: `disturbs ${service}` };
  }
}

function raiseShares(throttle: HostThrottle): void {
  for (const [kind, share] of throttle.shares) {
    if (share * 2 >= 1) throttle.shares.delete(kind);
    else throttle.shares.set(kind, share * 2);
  }
}

/** Returns the share of the host's processors that each batch kind used at a measurement. */
function batchCpuSharesOf(
  fold: ControlFold,
  host: HostState,
  report: WorkerReport,
  ageMs: number,
): Map<string, number> {
  const cpuShares = new Map<string, number>();
  for (const usage of report.usage) {
    const task = fold.tasks.get(usage.taskId);
    if (task?.kind === 'job' && Math.abs(usage.ageMs - ageMs) <= SIMULTANEOUS_MS) {
      const kind = workloadKindOf(task.owner);
      cpuShares.set(kind, (cpuShares.get(kind) ?? 0) + usage.cpu / host.capacity.cpu);
    }
  }
  return cpuShares;
}
