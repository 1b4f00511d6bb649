import type { Job, Resources, Tier } from '@redwingcrank/protocol';
import { NO_RESOURCES, TIERS, addResources, fits } from '@redwingcrank/protocol';
import type { HostState, TaskState } from '../control-fold.js';
import type { PlacementNeed } from '../placement.js';
import type { PassContext } from './pass-context.js';
import { allowsRack } from './placement-view.js';
import type { PlanStep } from './plan-step.js';
import { PAUSE } from './plan-step.js';

/** Cost ratio of adjacent tiers: evicting a task costs as much as four of the next lower tier. */
const TIER_COST_FACTOR = 4;

/** Number of hosts compared for one eviction; the next eviction continues after them. */
const MAX_HOSTS_COMPARED = 600;

interface Candidate {
  readonly task: TaskState;
  readonly cost: number;
}

interface EvictionPlan {
  readonly host: HostState;
  readonly victims: readonly TaskState[];
  readonly cost: number;
}

/** Frees capacity for urgent tasks and replicas by evicting the least valuable batch work. */
export class Evictions {
  readonly #ctx: PassContext;

  /** The resources that become free on a host once its revoked attempts have ended. */
  readonly #pendingRelease: Map<string, Resources>;

  #cursor = 0;

  constructor(ctx: PassContext) {
    this.#ctx = ctx;
    this.#pendingRelease = new Map(ctx.fold.index.pendingRelease);
  }

  /**
   * Reserves capacity for a task that could not be placed. Capacity that is already being freed is
   * used first: otherwise each pass until the evicted attempts have ended would evict more.
   *
   * @param tier - Tasks of a higher tier are never evicted.
   * @returns Whether capacity becomes free; a later pass then binds the task.
   */
  *freeCapacityFor(need: PlacementNeed, tier: Tier): Generator<PlanStep, boolean> {
    const hostBeingFreed = this.#hostBeingFreed(need);
    if (hostBeingFreed) {
      this.#ctx.view.commit(hostBeingFreed, need.resources);
      return true;
    }
    const plan = yield* this.#cheapestPlan(need, tier);
    if (!plan) return false;
    for (const task of plan.victims) {
      this.#addPendingRelease(task);
      yield this.#ctx.revoke(task, `room for ${need.owner}`);
    }
    this.#ctx.view.commit(plan.host, need.resources);
    return true;
  }

  #addPendingRelease({ hostId, resources }: TaskState): void {
    this.#pendingRelease.set(
      hostId,
      addResources(this.#pendingRelease.get(hostId) ?? NO_RESOURCES, resources),
    );
  }

  #hostBeingFreed(need: PlacementNeed): HostState | undefined {
    for (const hostId of this.#pendingRelease.keys()) {
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
    const pendingRelease = this.#pendingRelease.get(host.hostId) ?? NO_RESOURCES;
    const available = addResources(
      this.#ctx.view.freeOn(host),
      addResources(pendingRelease, freed),
    );
    return fits(need.resources, available);
  }

  *#cheapestPlan(need: PlacementNeed, tier: Tier): Generator<PlanStep, EvictionPlan | undefined> {
    const { hosts } = this.#ctx.view;
    const compared = Math.min(MAX_HOSTS_COMPARED, hosts.length);
    let best: EvictionPlan | undefined;
    for (let i = 0; i < compared; i += 1) {
      const host = hosts[(this.#cursor + i) % hosts.length];
      if (host && this.#ctx.pacer.due(host.tasks.size)) yield PAUSE;
      const plan = host && allowsRack(need, host) ? this.#planFor(host, need, tier) : undefined;
      if (plan && (!best || plan.cost < best.cost)) best = plan;
    }
    this.#cursor += compared;
    return best;
  }

  #planFor(host: HostState, need: PlacementNeed, tier: Tier): EvictionPlan | undefined {
    if (!fits(need.resources, host.capacity)) return undefined;
    const victims: Candidate[] = [];
    let freed = NO_RESOURCES;
    for (const candidate of this.#evictable(host, tier)) {
      victims.push(candidate);
      freed = addResources(freed, candidate.task.resources);
      if (this.#fitsIn(need, host, freed)) {
        const cost = victims.reduce((sum, victim) => sum + victim.cost, 0);
        return { host, victims: victims.map((victim) => victim.task), cost };
      }
    }
    return undefined;
  }

  /**
   * Returns the tasks that may be evicted, the least valuable first. Of equal ones, the last bound
   * comes first, because it has done the least work.
   */
  #evictable(host: HostState, tier: Tier): Candidate[] {
    const candidates: Candidate[] = [];
    for (const taskId of host.tasks) {
      const task = this.#ctx.fold.tasks.get(taskId);
      const job = task?.kind === 'job' ? this.#ctx.manifest.jobs.get(task.owner) : undefined;
      if (task && job && this.#ctx.staysActive(task) && mayEvict(job, tier)) {
        candidates.push({
          task,
          cost: TIER_COST_FACTOR ** (TIERS.length - TIERS.indexOf(job.tier)),
        });
      }
    }
    return candidates.reverse().sort((a, b) => a.cost - b.cost);
  }
}

function mayEvict(job: Job, tier: Tier): boolean {
  return !job.urgent && TIERS.indexOf(job.tier) >= TIERS.indexOf(tier);
}
