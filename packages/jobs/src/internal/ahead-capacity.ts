import type { TaskProgress } from '../job-progress.js';
import type { StepSpec } from '../job.js';
import { SILENT_MS } from './placement.js';
import type { WaitingStep } from './waiting-steps.js';
import type { WorkerState } from './worker-state.js';

/**
 * The maximum number of ahead bindings on one worker: a later leader that cannot contact the worker
 * holds their tasks until the worker's leases have expired.
 */
const MAX_PER_WORKER = 4;

/** The maximum share of a step's tasks that are bound ahead in one data centre, for the same reason. */
const MAX_DATA_CENTRE_SHARE = 0.5;

/**
 * The number of workers of which the best is chosen for a task. With thousands of waiting tasks,
 * comparing all workers for each of them would take a sixth of a leader's time.
 */
const COMPARED_WORKERS = 16;

/** A worker that could hold waiting tasks once its short tasks have ended. */
interface Host {
  readonly worker: WorkerState;
  /** The capacity beside long-running tasks. */
  readonly cpuMilli: number;
  readonly memMb: number;
  readonly gpus: number;
  /** Whether a task runs there that ends by itself. */
  readonly hasShortTasks: boolean;
}

/** What is bound ahead on one worker. */
interface HostLoad {
  count: number;
  cpuMilli: number;
}

/**
 * The capacity that workers will have when their short tasks have ended, and the part of it that
 * tasks are bound to ahead. It is computed anew for each plan, with one pass over the runs.
 */
export class AheadCapacity {
  readonly #hosts = new Map<WorkerState, Host>();

  readonly #hostsByPool = new Map<string, Host[]>();

  readonly #loads = new Map<WorkerState, HostLoad>();

  /** Where the comparison of workers for the next task begins: each time at others. */
  #cursor = 0;

  /** For each step: the number of its tasks that are bound ahead, by data centre. */
  readonly #byDataCentre = new Map<readonly TaskProgress[], Map<string, number>>();

  constructor(workers: Iterable<WorkerState>, nowMs: number) {
    for (const worker of workers) {
      if (isOpen(worker, nowMs)) this.#addHost(worker);
    }
  }

  /** Counts an ahead binding of a task of the step. */
  add({ tasks, spec }: WaitingStep, worker: WorkerState): void {
    const load = this.#loads.get(worker) ?? { count: 0, cpuMilli: 0 };
    load.count += 1;
    load.cpuMilli += spec.cpuMilli;
    this.#loads.set(worker, load);
    const counts = this.#byDataCentre.get(tasks) ?? new Map<string, number>();
    const { dataCentre } = worker.entry;
    counts.set(dataCentre, (counts.get(dataCentre) ?? 0) + 1);
    this.#byDataCentre.set(tasks, counts);
  }

  /**
   * Returns the workers to which tasks of the step may be bound: those in the rack with its data, if
   * there are any.
   */
  hostsFor({ spec, queue }: WaitingStep): readonly Host[] {
    const hosts = (this.#hostsByPool.get(queue.pool) ?? []).filter(
      (host) => host.hasShortTasks && this.#hasSlot(host) && fits(spec, host),
    );
    if (spec.dataRack === '') return hosts;
    const inRack = hosts.filter(({ worker }) => worker.entry.labels.includes(spec.dataRack));
    return inRack.length > 0 ? inRack : hosts;
  }

  /** Returns whether a worker that a task of the step is bound to ahead can still hold it. */
  canHold({ spec, queue }: WaitingStep, worker: WorkerState): boolean {
    const host = this.#hosts.get(worker);
    return host !== undefined && worker.entry.pool === queue.pool && fits(spec, host);
  }

  /**
   * Returns the worker for the next task of the step: of some workers the one with the most capacity
   * for each task that is bound to it. Returns undefined if the limits allow none.
   */
  choose({ spec, tasks }: WaitingStep, hosts: readonly Host[]): WorkerState | undefined {
    const maxInDataCentre = Math.ceil(MAX_DATA_CENTRE_SHARE * tasks.length);
    const counts = this.#byDataCentre.get(tasks);
    let best: WorkerState | undefined;
    let bestScore = 0;
    let compared = 0;
    for (let i = 0; i < hosts.length && compared < COMPARED_WORKERS; i += 1) {
      this.#cursor += 1;
      const host = hosts[this.#cursor % hosts.length]!;
      const { worker, cpuMilli } = host;
      if (this.#hasSlot(host) && (counts?.get(worker.entry.dataCentre) ?? 0) < maxInDataCentre) {
        compared += 1;
        const boundMilli = this.#loads.get(worker)?.cpuMilli ?? 0;
        const score = cpuMilli / (boundMilli + Math.max(1, spec.cpuMilli));
        if (score > bestScore) {
          best = worker;
          bestScore = score;
        }
      }
    }
    return best;
  }

  #hasSlot({ worker }: Host): boolean {
    return (this.#loads.get(worker)?.count ?? 0) < MAX_PER_WORKER;
  }

  #addHost(worker: WorkerState): void {
    const { capacity, pool } = worker.entry;
    let { cpuMilli, memMb, gpus } = capacity;
    let hasShortTasks = false;
    for (const { spec } of worker.runs.values()) {
      if (spec.lasting) {
        cpuMilli -= spec.fills ? 0 : spec.cpuMilli;
        memMb -= spec.memMb;
        gpus -= spec.gpus;
      } else hasShortTasks = true;
    }
    const host = { worker, cpuMilli, memMb, gpus, hasShortTasks };
    this.#hosts.set(worker, host);
    const hosts = this.#hostsByPool.get(pool);
    if (hosts) hosts.push(host);
    else this.#hostsByPool.set(pool, [host]);
  }
}

/** Whether the worker may take tasks, apart from its capacity. */
function isOpen(worker: WorkerState, nowMs: number): boolean {
  if (!worker.listed || !worker.fenced || worker.entry.draining) return false;
  if (nowMs < worker.opensMs || nowMs - worker.answeredMs > SILENT_MS) return false;
  return !worker.health.isSuspected(nowMs);
}

function fits(spec: StepSpec, { worker, cpuMilli, memMb, gpus }: Host): boolean {
  if (spec.cpuMilli > cpuMilli || spec.memMb > memMb || spec.gpus > gpus) return false;
  return !spec.requiredLabel || worker.entry.labels.includes(spec.requiredLabel);
}
