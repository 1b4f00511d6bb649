import type { Resources } from '@redwingcrank/protocol';
import { fits } from '@redwingcrank/protocol';
import type { HostState } from './control-fold.js';
import type { PlacementView } from './policy/placement-view.js';
import type { ReplicaCounts } from './policy/replica-counts.js';

/** What a task requires of its host. */
export interface PlacementNeed {
  readonly owner: string;
  readonly kind: 'service' | 'job';
  readonly resources: Resources;
  /** The racks on which the task may run; empty if it may run on all. */
  readonly racks: readonly string[];
  /** Urgent tasks may interfere with a service rather than wait or cause evictions. */
  readonly urgent?: boolean;
  /** For a replica: the locations of the other replicas of its service. */
  readonly peers?: ReplicaCounts | undefined;
}

/** Chooses hosts for tasks. What fits on a host is the same for all policies. */
export abstract class PlacementPolicy {
  /**
   * Chooses a host for a task.
   *
   * @param need - The requirements of the task.
   * @param view - The hosts. The caller commits the choice to it.
   * @returns A host with enough free capacity, or undefined if there is no such host.
   */
  abstract place(need: PlacementNeed, view: PlacementView): HostState | undefined;
}

/** Maximum number of hosts compared: beyond the first few of a bucket, the gain is small. */
const MAX_COMPARED = 8;

/** Maximum number of hosts visited for one task, including those the policy refuses. */
const MAX_VISITED = 64;

/** Fills the fullest host first, which leaves capacity for large tasks, but spreads replicas. */
export class BestFit extends PlacementPolicy {
  override place(need: PlacementNeed, view: PlacementView): HostState | undefined {
    if (need.peers) return this.#spread(need, need.peers, view);
    let best: HostState | undefined;
    let refused: HostState | undefined;
    let compared = 0;
    let visited = 0;
    for (const host of view.candidates(need)) {
      visited += 1;
      if (visited > MAX_VISITED) break;
      if (this.accepts(need, host)) {
        if (!best || view.freeOn(host).cpu < view.freeOn(best).cpu) best = host;
        compared += 1;
        if (compared === MAX_COMPARED) break;
      } else {
        refused ??= host;
      }
    }
    return best ?? (need.urgent ? refused : undefined);
  }

  /** Returns whether a host with enough capacity may be used; overridden to keep tasks apart. */
  protected accepts(_need: PlacementNeed, _host: HostState): boolean {
    return true;
  }

  /**
   * Spreads replicas: a whole rack fails every week, and a host every day. The rack with the fewest
   * replicas is preferred, then the host with the fewest. A tie goes to the one with more free
   * capacity.
   */
  #spread(need: PlacementNeed, peers: ReplicaCounts, view: PlacementView): HostState | undefined {
    if (view.isKnownUnplaceable(need)) return undefined;
    const racks = [...view.racks.keys()].sort(
      (a, b) => peers.onRack(a) - peers.onRack(b) || view.rackCpu(b) - view.rackCpu(a),
    );
    let refused: HostState | undefined;
    for (const rack of racks) {
      const fitting = (view.racks.get(rack) ?? []).filter((host) =>
        fits(need.resources, view.freeOn(host)),
      );
      const accepted = fitting.filter((host) => this.accepts(need, host));
      refused ??= fitting[0];
      if (accepted.length > 0) return accepted.reduce((a, b) => (isBetter(b, a) ? b : a));
    }
    // A replica beside tasks that interfere with it is better than a missing replica.
    if (!refused) view.markUnplaceable(need);
    return refused;

    function isBetter(a: HostState, b: HostState): boolean {
      const difference = peers.onHost(a.hostId) - peers.onHost(b.hostId);
      return difference < 0 || (difference === 0 && view.freeOn(a).cpu > view.freeOn(b).cpu);
    }
  }
}
