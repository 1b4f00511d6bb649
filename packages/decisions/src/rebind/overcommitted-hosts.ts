import type { Manifest } from '@redwingcrank/protocol';
import { NO_RESOURCES, TIERS, addResources, fits, subtractResources } from '@redwingcrank/protocol';
import type { ControlFold, HostState, TaskState } from '../control-fold.js';

/**
 * The attempts to revoke where a host has shrunk below what is committed on it. The fold refuses
 * new bindings there, but what already runs would go on overloading the host.
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
  const staying = [...host.tasks]
    .map((taskId) => fold.tasks.get(taskId))
    .filter((task) => task !== undefined)
    .filter((task) => task.state !== 'revoked')
    .sort((a, b) => rank(b, tiers) - rank(a, tiers) || b.boundOffset - a.boundOffset);
  let needed = staying.reduce((sum, task) => addResources(sum, task.resources), NO_RESOURCES);
  for (const task of staying) {
    if (fits(needed, host.capacity)) return;
    needed = subtractResources(needed, task.resources);
    yield task;
  }
}

function tiersOf({ services, jobs }: Manifest): Map<string, number> {
  return new Map([...services, ...jobs].map(({ name, tier }) => [name, TIERS.indexOf(tier)]));
}

/** What goes first has the highest rank: jobs before services, then what matters less. */
function rank({ kind, owner }: TaskState, tiers: ReadonlyMap<string, number>): number {
  const tier = tiers.get(owner) ?? TIERS.length;
  return kind === 'job' ? tier + TIERS.length + 1 : tier;
}
