import type { Manifest } from '@redwingcrank/protocol';
import { NO_RESOURCES, TIERS, addResources, fits, subtractResources } from '@redwingcrank/protocol';
import type { ControlFold, HostState, TaskState } from '../control-fold.js';

/**
 * Yields the attempts to revoke on hosts whose capacity has shrunk below the committed resources.
 * The fold refuses new bindings there, but running tasks would continue to overload the host.
 */
export function* overcommittedTasks(
  fold: ControlFold,
  manifest: Manifest,
): Generator<TaskState, void> {
  for (const host of fold.hosts.values()) {
    if (host.state !== 'gone' && !fits(host.committed, host.capacity)) {
      yield* victims(fold, host, manifest);
    }
  }
}

function* victims(
  fold: ControlFold,
  host: HostState,
  manifest: Manifest,
): Generator<TaskState, void> {
  const tiers = tiersOf(manifest);
  const remaining = [...host.tasks]
    .map((taskId) => fold.tasks.get(taskId))
    .filter((task) => task !== undefined)
    .filter((task) => task.state !== 'revoked')
    .sort(
      (a, b) => evictionRank(b, tiers) - evictionRank(a, tiers) || b.boundOffset - a.boundOffset,
    );
  let required = remaining.reduce((sum, task) => addResources(sum, task.resources), NO_RESOURCES);
  for (const task of remaining) {
    if (fits(required, host.capacity)) return;
    required = subtractResources(required, task.resources);
    yield task;
  }
}

function tiersOf({ services, jobs }: Manifest): Map<string, number> {
  return new Map([...services, ...jobs].map(({ name, tier }) => [name, TIERS.indexOf(tier)]));
}

/** Returns the eviction rank: jobs rank above services, and lower tiers above higher ones. */
function evictionRank({ kind, owner }: TaskState, tiers: ReadonlyMap<string, number>): number {
  const tier = tiers.get(owner) ?? TIERS.length;
  return kind === 'job' ? tier + TIERS.length + 1 : tier;
}
