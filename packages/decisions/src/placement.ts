import type { Resources } from '@redwingcrank/protocol';
import { fits } from '@redwingcrank/protocol';
import type { HostState } from './control-fold.js';
import type { PlacementView } from './policy/placement-view.js';
import type { ReplicaCounts } from './policy/replica-counts.js';

/** What a task asks of its place. */
export interface PlacementNeed {
  readonly owner: string;
  readonly kind: 'service' | 'job';
  readonly resources: Resources;
  /** Racks on which it may run; empty for all. */
  readonly racks: readonly string[];
  /** Urgent work goes beside a service it disturbs rather than wait or cost evictions. */
  readonly urgent?: boolean;
  /** For a replica: where the others of its service stand. */
  readonly peers?: ReplicaCounts | undefined;
}

/** Chooses hosts. Policies differ; what fits is the same for all of them. */
export abstract class PlacementPolicy {
  /**
   * @param need - What the task asks for.
   * @param view - The hosts; the choice is not yet committed to it.
   * @returns A host that has room, or undefined where none has.
   */
  abstract place(need: PlacementNeed, view: PlacementView): HostState | undefined;
}

/** So many hosts are compared: beyond the first few of a bucket the gain is small. */
const COMPARED = 8;

/** So many hosts are asked for one task, also where the policy refuses them. */
const MAX_SEEN = 64;

/** Fills the fullest host first, which keeps room for large tasks; replicas stand apart. */
export class BestFit extends PlacementPolicy {
  override place(need: PlacementNeed, view: PlacementView): HostState | undefined {
    if (need.peers) return this.#apart(need, need.peers, view);
    let best: HostState | undefined;
    let refused: HostState | undefined;
    let compared = 0;
    let seen = 0;
    for (const host of view.candidates(need)) {
      seen += 1;
      if (seen > MAX_SEEN) break;
      if (this.accepts(need, host)) {
        if (!best || view.room(host).cpu < view.room(best).cpu) best = host;
        compared += 1;
        if (compared === COMPARED) break;
      } else {
        refused ??= host;
      }
    }
    return best ?? (need.urgent ? refused : undefined);
  }

  /** Whether a host that has room may be used; a policy that keeps tasks apart says no. */
  protected accepts(_need: PlacementNeed, _host: HostState): boolean {
    return true;
  }

  /**
   * A rack fails as a whole every week, and so does a host every day: the rack with the fewest
   * replicas comes first, and on it the host with the fewest. The emptier one wins a tie.
   */
  #apart(need: PlacementNeed, peers: ReplicaCounts, view: PlacementView): HostState | undefined {
    if (view.isKnownUnplaceable(need)) return undefined;
    const racks = [...view.racks.keys()].sort(
      (a, b) => peers.onRack(a) - peers.onRack(b) || view.rackCpu(b) - view.rackCpu(a),
    );
    let refused: HostState | undefined;
    for (const rack of racks) {
      const fitting = (view.racks.get(rack) ?? []).filter((host) =>
        fits(need.resources, view.room(host)),
      );
      const open = fitting.filter((host) => this.accepts(need, host));
      refused ??= fitting[0];
      if (open.length > 0) return open.reduce((a, b) => (isBetter(b, a) ? b : a));
    }
    // A replica beside work that disturbs it is better than a replica that is missing.
    if (!refused) view.markUnplaceable(need);
    return refused;

    function isBetter(a: HostState, b: HostState): boolean {
      const difference = peers.onHost(a.hostId) - peers.onHost(b.hostId);
      return difference < 0 || (difference === 0 && view.room(a).cpu > view.room(b).cpu);
    }
  }
}
