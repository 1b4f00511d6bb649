import type { WorkerState } from './worker-state.js';

/** What only workers in evacuated data centres offer. */
export interface EvacuatedCapacity {
  /** Pools of which no worker may be used. */
  readonly pools: ReadonlySet<string>;
  /** Labels of which no worker may be used, by pool. */
  readonly labels: ReadonlyMap<string, ReadonlySet<string>>;
}

/** Returns the pools and labels that only workers in evacuated data centres offer. */
export function evacuatedCapacityOf(workers: Iterable<WorkerState>): EvacuatedCapacity {
  const evacuated = new Map<string, Set<string>>();
  const open = new Map<string, Set<string>>();
  for (const { listed, entry, isEvacuated } of workers) {
    if (listed) {
      const byPool = isEvacuated ? evacuated : open;
      const labels = byPool.get(entry.pool) ?? new Set();
      byPool.set(entry.pool, labels);
      for (const label of entry.labels) labels.add(label);
    }
  }
  const pools = new Set([...evacuated.keys()].filter((pool) => !open.has(pool)));
  for (const [pool, labels] of evacuated) {
    for (const label of open.get(pool) ?? []) labels.delete(label);
    if (pools.has(pool) || labels.size === 0) evacuated.delete(pool);
  }
  return { pools, labels: evacuated };
}
