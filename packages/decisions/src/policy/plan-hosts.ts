import type { ListedHost } from '@redwingcrank/protocol';
import { NO_RESOURCES, RESOURCE_KINDS } from '@redwingcrank/protocol';
import type { HostState } from '../control-fold.js';
import type { PlanInput } from '../plan.js';
import type { PlanStep } from './plan-step.js';
import { PAUSE, Pacer, actionStep } from './plan-step.js';

/**
 * Yields the actions that record changes of the platform's host list.
 *
 * @returns The hosts as they are once these actions are folded: the rest of the pass must not
 *   bind a task to a host that the same record declares as leaving.
 */
export function* planHosts(input: PlanInput): Generator<PlanStep, ReadonlyMap<string, HostState>> {
  const { dataCentre, fold, listed } = input;
  if (!listed) return fold.hosts;
  const hosts = new Map<string, HostState>();
  const pacer = new Pacer();
  for (const host of listed) {
    if (pacer.due()) yield PAUSE;
    if (host.dataCentre === dataCentre && !hosts.has(host.hostId)) {
      const known = fold.hosts.get(host.hostId);
      const next = known && !differs(host, known) ? known : mergeListed(host, known);
      hosts.set(host.hostId, next);
      if (next !== known) yield hostAction(next);
    }
  }
  for (const host of fold.hosts.values()) {
    if (pacer.due()) yield PAUSE;
    if (!hosts.has(host.hostId)) {
      const removed: HostState = { ...host, state: 'gone' };
      hosts.set(host.hostId, removed);
      if (host.state !== 'gone') yield hostAction(removed);
    }
  }
  return hosts;
}

function hostAction({ hostId, rack, address, capacity, state }: HostState): PlanStep {
  return actionStep({ type: 'host', hostId, rack, address, capacity, state });
}

function mergeListed({ dataCentre: _dc, ...host }: ListedHost, known?: HostState): HostState {
  return { committed: NO_RESOURCES, tasks: new Set(), incarnationOffset: -1, ...known, ...host };
}

function differs(listed: ListedHost, known: HostState): boolean {
  return (
    listed.state !== known.state ||
    listed.address !== known.address ||
    listed.rack !== known.rack ||
    RESOURCE_KINDS.some((kind) => listed.capacity[kind] !== known.capacity[kind])
  );
}
