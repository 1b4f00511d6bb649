import type { ListedHost } from '@redwingcrank/protocol';
import { NO_RESOURCES, RESOURCE_KINDS } from '@redwingcrank/protocol';
import type { HostState } from '../control-fold.js';
import type { PlanInput } from '../plan.js';
import type { PlanStep } from './plan-step.js';
import { PAUSE, Pacer, actionStep } from './plan-step.js';

/**
 * Takes over what the platform's list says of hosts.
 *
 * @returns The hosts as they are once these actions are folded: the rest of the pass must not
 *   bind to a host that the same record declares as leaving.
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
      const next = known && !differs(host, known) ? known : merged(host, known);
      hosts.set(host.hostId, next);
      if (next !== known) yield hostAction(next);
    }
  }
  for (const host of fold.hosts.values()) {
    if (pacer.due()) yield PAUSE;
    if (!hosts.has(host.hostId)) {
      const gone: HostState = { ...host, state: 'gone' };
      hosts.set(host.hostId, gone);
      if (host.state !== 'gone') yield hostAction(gone);
    }
  }
  return hosts;
}

function hostAction({ hostId, rack, address, capacity, state }: HostState): PlanStep {
  return actionStep({ type: 'host', hostId, rack, address, capacity, state });
}

function merged({ dataCentre: _dc, ...host }: ListedHost, known?: HostState): HostState {
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
