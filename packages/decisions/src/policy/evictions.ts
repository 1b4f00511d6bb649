import type { Job, Resources, Tier } from '@redwingcrank/protocol';
import { NO_RESOURCES, TIERS, addResources, fits } from '@redwingcrank/protocol';
import type { HostState, TaskState } from '../control-fold.js';
import type { PlacementNeed } from '../placement.js';
import type { PassContext } from './pass-context.js';
import { allowsRack } from './placement-view.js';
import type { PlanStep } from './plan-step.js';
import { PAUSE } from './plan-step.js';

/** What a running task of a tier is worth: four of one tier go before one of the next. */
const TIER_FACTOR = 4;

/** So many hosts are compared for one eviction; the next one goes on from there. */
const HOSTS_COMPARED = 600;

interface Candidate {
  readonly task: TaskState;
  readonly cost: number;
}

interface Offer {
  readonly host: HostState;
  readonly victims: readonly TaskState[];
  readonly cost: number;
}

/** Makes room for urgent tasks and replicas at the cost of the least valuable batch work. */
export class Evictions {
  readonly #ctx: PassContext;

  /** What will come free on a host once its revoked attempts have ended. */
  readonly #pending: Map<string, Resources>;

  #cursor = 0;

  constructor(ctx: PassContext) {
    this.#ctx = ctx;
    this.#pending = new Map(ctx.fold.index.pendingRelease);
  }

  /**
   * Keeps room for a task that found none. Room that is already being freed is used first:
   * otherwise each pass until the evicted attempts have ended would evict more.
   *
   * @param tier - Work of a higher tier than this is never evicted.
   * @returns Whether room will come free; the task is bound by a later pass.
   */
  *freeCapacityFor(need: PlacementNeed, tier: Tier): Generator<PlanStep, boolean> {
    const freeing = this.#hostBeingFreed(need);
    if (freeing) {
      this.#ctx.view.commit(freeing, need.resources);
      return true;
    }
    const offer = yield* this.#cheapest(need, tier);
    if (!offer) return false;
    for (const task of offer.victims) {
      this.#addPending(task);
      yield this.#ctx.revoke(task, `room for ${need.owner}`);
    }
    this.#ctx.view.commit(offer.host, need.resources);
    return true;
  }

  #addPending({ hostId, resources }: TaskState): void {
    this.#pending.set(hostId, addResources(this.#pending.get(hostId) ?? NO_RESOURCES, resources));
  }

  #hostBeingFreed(need: PlacementNeed): HostState | undefined {
    for (const hostId of this.#pending.keys()) {
      const host = this.#ctx.hosts.get(hostId);
      if (
        host?.state === 'live' &&
        allowsRack(need, host) &&
        this.#fitsIn(need, host, NO_RESOURCES)
      ) {
        return host;
      }
    }
    return undefined;
  }

  #fitsIn(need: PlacementNeed, host: HostState, freed: Resources): boolean {
    const pending = this.#pending.get(host.hostId) ?? NO_RESOURCES;
    const room = addResources(this.#ctx.view.room(host), addResources(pending, freed));
    return fits(need.resources, room);
  }

  *#cheapest(need: PlacementNeed, tier: Tier): Generator<PlanStep, Offer | undefined> {
    const { hosts } = this.#ctx.view;
    const compared = Math.min(HOSTS_COMPARED, hosts.length);
    let best: Offer | undefined;
    for (let i = 0; i < compared; i += 1) {
      const host = hosts[(this.#cursor + i) % hosts.length];
      if (host && this.#ctx.pacer.due(host.tasks.size)) yield PAUSE;
      const offer = host && allowsRack(need, host) ? this.#offerOf(host, need, tier) : undefined;
      if (offer && (!best || offer.cost < best.cost)) best = offer;
    }
    this.#cursor += compared;
    return best;
  }

  #offerOf(host: HostState, need: PlacementNeed, tier: Tier): Offer | undefined {
    if (!fits(need.resources, host.capacity)) return undefined;
    const victims: Candidate[] = [];
    let freed = NO_RESOURCES;
    for (const candidate of this.#candidates(host, tier)) {
      victims.push(candidate);
      freed = addResources(freed, candidate.task.resources);
      if (this.#fitsIn(need, host, freed)) {
        const cost = victims.reduce((sum, victim) => sum + victim.cost, 0);
        return { host, victims: victims.map((victim) => victim.task), cost };
      }
    }
    return undefined;
  }

  /** The least valuable first; of equals the one bound last, which has done the least. */
  #candidates(host: HostState, tier: Tier): Candidate[] {
    const candidates: Candidate[] = [];
    for (const taskId of host.tasks) {
      const task = this.#ctx.fold.tasks.get(taskId);
      const job = task?.kind === 'job' ? this.#ctx.manifest.jobs.get(task.owner) : undefined;
      if (task && job && this.#ctx.staysActive(task) && mayEvict(job, tier)) {
        candidates.push({ task, cost: TIER_FACTOR ** (TIERS.length - TIERS.indexOf(job.tier)) });
      }
    }
    return candidates.reverse().sort((a, b) => a.cost - b.cost);
  }
}

function mayEvict(job: Job, tier: Tier): boolean {
  return !job.urgent && TIERS.indexOf(job.tier) >= TIERS.indexOf(tier);
}
