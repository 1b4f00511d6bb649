import type { WorkerState } from './worker-state.js';

/** What only workers in evacuated data centres offer. */
export interface ClosedCapacity {
  /** Pools of which no worker may be used. */
  readonly pools: ReadonlySet<string>;
  /** Labels of which no worker may be used, by pool. */
  readonly labels: ReadonlyMap<string, ReadonlySet<string>>;
}

/** Returns the pools and labels that only workers in evacuated data centres offer. */
export function closedCapacityOf(workers: Iterable<WorkerState>): ClosedCapacity {
  const closed = new Map<string, Set<string>>();
  const open = new Map<string, Set<string>>();
  for (const { listed, entry, isEvacuated } of workers) {
    if (listed) {
      const byPool = isEvacuated ? closed : open;
      const labels = byPool.get(entry.pool) ?? new Set();
      byPool.set(entry.pool, labels);
      for (const label of entry.labels) labels.add(label);
    }
  }
  const pools = new Set([...closed.keys()].filter((pool) => !open.has(pool)));
  for (const [pool, labels] of closed) {
    for (const label of open.get(pool) ?? []) labels.delete(label);
    if (pools.has(pool) || labels.size === 0) closed.delete(pool);
  }
  return { pools, labels: closed };
}
