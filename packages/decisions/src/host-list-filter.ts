import type { ListedHost } from '@redwingcrank/protocol';
import type { ControlFold } from './control-fold.js';

/** Fewer than this part of a data centre's hosts may vanish at once without a second look. */
const SUDDEN_SHARE = 0.5;

/** What a look at the list comes to. */
export interface FilteredHostList {
  readonly hosts: readonly ListedHost[];
  /** Hosts that the list left out and that are kept until it has done so for long enough. */
  readonly retained: readonly string[];
}

/**
 * Judges the platform's host list before anything acts on it. The list lags and may be wrong: one
 * that is suddenly empty would declare every host gone, and every task on them would be started
 * elsewhere. So where more than half of a data centre's hosts vanish at once they are kept until
 * every look during `confirmMs` has left them out. What the list does show (new hosts, leaving
 * ones) counts at once: it only takes work away from a host or offers one more.
 */
export class HostListFilter {
  readonly #confirmMs: number;

  #accepted = new Map<string, ListedHost>();

  /** Since when each host has been left out by every look. */
  readonly #missingSince = new Map<string, number>();

  /** Hosts that were accepted as gone and have not come back. */
  readonly #dropped = new Set<string>();

  #newestVersion = -Infinity;

  constructor(confirmMs: number) {
    this.#confirmMs = confirmMs;
  }

  /**
   * @param listed - The list as it came.
   * @param known - Hosts that the control stream holds: the measure of a node's first look.
   * @param nowMs - The time of the look, in milliseconds of any steady clock.
   * @param version - The list's own version where it has one; an older list is passed over.
   * @returns What to act on, or undefined where the list is older than one seen before.
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
      this.#dropped.delete(hostId);
    }
    const before = this.#before(known);
    const shown = new Map(listed.map((host) => [host.hostId, host]));
    const heldBack = [...this.#heldBack(before, shown, nowMs)];
    this.#accepted = new Map([...heldBack.map((host) => [host.hostId, host] as const), ...shown]);
    return { hosts: [...this.#accepted.values()], retained: heldBack.map((host) => host.hostId) };
  }

  #before(known: Iterable<ListedHost>): ListedHost[] {
    const all = new Map([...known].map((host) => [host.hostId, host]));
    this.#accepted.forEach((host, hostId) => all.set(hostId, host));
    return [...all.values()].filter(({ hostId }) => !this.#dropped.has(hostId));
  }

  *#heldBack(
    before: readonly ListedHost[],
    shown: ReadonlyMap<string, ListedHost>,
    nowMs: number,
  ): Generator<ListedHost> {
    const missing = before.filter(({ hostId }) => !shown.has(hostId));
    const total = countByDataCentre(before);
    const gone = countByDataCentre(missing);
    for (const host of missing) {
      const since = this.#missingSince.get(host.hostId) ?? nowMs;
      this.#missingSince.set(host.hostId, since);
      const { dataCentre } = host;
      const sudden = (gone.get(dataCentre) ?? 0) > (total.get(dataCentre) ?? 0) * SUDDEN_SHARE;
      if (sudden && nowMs - since < this.#confirmMs) yield host;
      else this.#drop(host.hostId);
    }
  }

  #drop(hostId: string): void {
    this.#dropped.add(hostId);
    this.#missingSince.delete(hostId);
  }
}

/** The hosts of a data centre that its control stream holds, as a list would show them. */
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
