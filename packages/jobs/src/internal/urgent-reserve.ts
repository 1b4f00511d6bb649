import type { QueuePolicy, StepSpec } from '../job.js';
import { MAX_SHORT_MS, ShortTaskDemand } from './short-task-demand.js';

/** The largest part of a pool's processors that is reserved. */
const MAX_RESERVED_SHARE = 0.25;

/** The tasks of one size class that should be able to run at any moment. */
export interface ReservedClass {
  /** The class holds claims up to this one, and over half of it, in thousandths of a core. */
  readonly sizeMilli: number;
  readonly tasks: number;
  /** The largest claims that were observed in the class. */
  readonly cpuMilli: number;
  readonly memMb: number;
}

/**
 * Returns whether the tasks of a step are short and reserve processors. Without an estimate they may
 * run for minutes.
 */
export function isShort({ lasting, fills, cpuMilli, estimateMs }: StepSpec): boolean {
  return !lasting && !fills && cpuMilli > 0 && estimateMs > 0 && estimateMs <= MAX_SHORT_MS;
}

/** Returns the size class of a claim: the least power of two, in thousandths of a core, that holds it. */
export function sizeClassOf(cpuMilli: number): number {
  return 2 ** Math.ceil(Math.log2(cpuMilli));
}

/** What is observed of one pool. */
class PoolDemand {
  /** By queue priority and size class. */
  readonly byPriority = new Map<number, Map<number, ShortTaskDemand>>();

  /** The priorities of the queues whose long-running tasks were observed. */
  readonly longRunning = new Set<number>();
}

/**
 * The capacity that short tasks need at any moment, by pool and queue priority. It is kept free of
 * new long-running tasks of queues that are not more urgent: these would hold it for minutes, while
 * the next short tasks come within a second.
 */
export class UrgentReserve {
  readonly #pools = new Map<string, PoolDemand>();

  /** Records that tasks of a step became ready to start at `readyMs`. */
  observe(queue: QueuePolicy, spec: StepSpec, tasks: number, readyMs: number): void {
    const demand = this.#poolOf(queue);
    const { cpuMilli, memMb } = spec;
    if (spec.lasting && !spec.fills) demand.longRunning.add(queue.priority);
    else if (isShort(spec)) this.#classOf(queue, spec).add({ tasks, cpuMilli, memMb }, readyMs);
  }

  /** Records that a task has ended that took `runMs` from its binding. */
  ended(queue: QueuePolicy | undefined, spec: StepSpec, runMs: number): void {
    if (queue && isShort(spec)) this.#classOf(queue, spec).ended(runMs);
  }

  /**
   * Yields the pools and priorities of queues with long-running tasks from which capacity may be
   * reserved: of those that are not more urgent than a queue with short tasks.
   */
  *enabled(): Generator<[pool: string, priority: number]> {
    for (const [pool, { byPriority, longRunning }] of this.#pools) {
      const mostUrgent = Math.min(...byPriority.keys());
      for (const priority of longRunning) if (priority >= mostUrgent) yield [pool, priority];
    }
  }

  /**
   * Returns what is reserved from long-running tasks of a queue of this pool and priority, the
   * largest size class first. `poolMilli` are the processors of the pool.
   */
  reservedFrom(pool: string, priority: number, poolMilli: number, nowMs: number): ReservedClass[] {
    const bySize = new Map<number, ReservedClass>();
    for (const [urgentPriority, classes] of this.#pools.get(pool)?.byPriority ?? []) {
      if (urgentPriority <= priority)
        for (const [sizeMilli, demand] of classes) {
          const { tasks, cpuMilli, memMb } = demand.need(nowMs);
          const known = bySize.get(sizeMilli);
          if (tasks > 0)
            bySize.set(sizeMilli, {
              sizeMilli,
              tasks: tasks + (known?.tasks ?? 0),
              cpuMilli: Math.max(cpuMilli, known?.cpuMilli ?? 0),
              memMb: Math.max(memMb, known?.memMb ?? 0),
            });
        }
    }
    const needed = [...bySize.values()]
      .map((found) => ({ ...found, tasks: Math.ceil(found.tasks) }))
      .sort((a, b) => b.sizeMilli - a.sizeMilli);
    const milli = needed.reduce((sum, { tasks, cpuMilli }) => sum + tasks * cpuMilli, 0);
    const share = Math.min(1, (MAX_RESERVED_SHARE * poolMilli) / milli);
    return needed
      .map((found) => ({ ...found, tasks: Math.floor(found.tasks * share) }))
      .filter(({ tasks }) => tasks > 0);
  }

  #poolOf({ pool }: QueuePolicy): PoolDemand {
    let demand = this.#pools.get(pool);
    if (!demand) {
      demand = new PoolDemand();
      this.#pools.set(pool, demand);
    }
    return demand;
  }

  #classOf(queue: QueuePolicy, { cpuMilli, estimateMs }: StepSpec): ShortTaskDemand {
    const { byPriority } = this.#poolOf(queue);
    const classes = byPriority.get(queue.priority) ?? new Map<number, ShortTaskDemand>();
    byPriority.set(queue.priority, classes);
    const sizeMilli = sizeClassOf(cpuMilli);
    const known = classes.get(sizeMilli) ?? new ShortTaskDemand(estimateMs);
    classes.set(sizeMilli, known);
    return known;
  }
}
