import type { ListedHost } from '@redwingcrank/protocol';
import type { ControlFold } from './control-fold.js';

/** If more than this share of a data centre's hosts disappears at once, removal is delayed. */
const MAX_SUDDEN_SHARE = 0.5;

/** The result of filtering one version of the host list. */
export interface FilteredHostList {
  readonly hosts: readonly ListedHost[];
  /** Ids of hosts that the list omits and that are kept until it has omitted them long enough. */
  readonly retained: readonly string[];
}

/**
 * Filters the platform's host list before it takes effect. The list lags and may be wrong: a list
 * that is suddenly empty would declare all hosts removed, and their tasks would be started
 * elsewhere. If more than half of a data centre's hosts disappear at once, they are therefore
 * retained until every list during `confirmMs` has omitted them. Hosts that the list contains (new
 * or leaving ones) take effect at once: they only add a host or take work away from one.
 */
export class HostListFilter {
  readonly #confirmMs: number;

  #accepted = new Map<string, ListedHost>();

  /** The time since which every list has omitted a host, by host id. */
  readonly #missingSince = new Map<string, number>();

  /** Hosts whose removal was accepted and that have not reappeared. */
  readonly #removed = new Set<string>();

  #newestVersion = -Infinity;

  constructor(confirmMs: number) {
    this.#confirmMs = confirmMs;
  }

  /**
   * Filters a list that was just received.
   *
   * @param listed - The list as received.
   * @param known - The hosts in the control stream, with which a node compares its first list.
   * @param nowMs - The current time, in milliseconds of any monotonic clock.
   * @param version - The version of the list, if it has one; an older list is ignored.
   * @returns The hosts to act on, or undefined if the list is older than a previous one.
   */
  filter(
    listed: readonly ListedHost[],
    known: Iterable<ListedHost>,
    nowMs: number,
    version?: number,
  ): FilteredHostList | undefined {
    if (version !== undefined && version < this.#newestVersion) return undefined;
    this.#newestVersion = version ?? this.#newestVersion;
    for (const { hostId } of listed) {
      this.#missingSince.delete(hostId);
      this.#removed.delete(hostId);
    }
    const previous = this.#previousHosts(known);
    const present = new Map(listed.map((host) => [host.hostId, host]));
    const retained = [...this.#retainMissing(previous, present, nowMs)];
    this.#accepted = new Map([...retained.map((host) => [host.hostId, host] as const), ...present]);
    return { hosts: [...this.#accepted.values()], retained: retained.map((host) => host.hostId) };
  }

  #previousHosts(known: Iterable<ListedHost>): ListedHost[] {
    const all = new Map([...known].map((host) => [host.hostId, host]));
    this.#accepted.forEach((host, hostId) => all.set(hostId, host));
    return [...all.values()].filter(({ hostId }) => !this.#removed.has(hostId));
  }

  *#retainMissing(
    previous: readonly ListedHost[],
    present: ReadonlyMap<string, ListedHost>,
    nowMs: number,
  ): Generator<ListedHost> {
    const missing = previous.filter(({ hostId }) => !present.has(hostId));
    const totalCounts = countByDataCentre(previous);
    const missingCounts = countByDataCentre(missing);
    for (const host of missing) {
      const missingSince = this.#missingSince.get(host.hostId) ?? nowMs;
      this.#missingSince.set(host.hostId, missingSince);
      const { dataCentre } = host;
      const sudden =
        (missingCounts.get(dataCentre) ?? 0) >
        (totalCounts.get(dataCentre) ?? 0) * MAX_SUDDEN_SHARE;
      if (sudden && nowMs - missingSince < this.#confirmMs) yield host;
      else this.#remove(host.hostId);
    }
  }

  #remove(hostId: string): void {
    this.#removed.add(hostId);
    this.#missingSince.delete(hostId);
  }
}

/** Yields the hosts in the control stream of a data centre, in the form of the host list. */
export function* listedHostsOf(fold: ControlFold, dataCentre: string): Generator<ListedHost> {
  for (const { hostId, rack, address, capacity, state } of fold.hosts.values()) {
    if (state !== 'gone') yield { hostId, dataCentre, rack, address, capacity, state };
  }
}

function countByDataCentre(hosts: readonly ListedHost[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { dataCentre } of hosts) counts.set(dataCentre, (counts.get(dataCentre) ?? 0) + 1);
  return counts;
}
