import type { Resources, Team } from '@redwingcrank/protocol';
import {
  NO_RESOURCES,
  RESOURCE_KINDS,
  addResources,
  fits,
  subtractResources,
} from '@redwingcrank/protocol';

/**
 * The resources of each team's tasks in this data centre. A quota applies to each data centre
 * separately: data centres that are cut off from each other cannot share one.
 */
export class TeamUsage {
  readonly #teams: ReadonlyMap<string, Team>;

  readonly #total: Resources;

  readonly #used = new Map<string, Resources>();

  readonly #shares = new Map<string, number>();

  /** @param total - The capacity of the data centre. */
  constructor(teams: ReadonlyMap<string, Team>, total: Resources) {
    this.#teams = teams;
    this.#total = total;
  }

  add(team: string, resources: Resources): void {
    this.#used.set(team, addResources(this.used(team), resources));
    this.#shares.delete(team);
  }

  used(team: string): Resources {
    return this.#used.get(team) ?? NO_RESOURCES;
  }

  /** Returns whether a task fits in the unused part of the team's quota. */
  allows(team: string, resources: Resources): boolean {
    const quota = this.#teams.get(team)?.quota;
    return quota !== undefined && fits(resources, subtractResources(quota, this.used(team)));
  }

  /** Returns whether the task fits in the team's whole quota. */
  couldEverAllow(team: string, resources: Resources): boolean {
    const quota = this.#teams.get(team)?.quota;
    return quota !== undefined && fits(resources, quota);
  }

  /** Returns the dominant share of a team: its largest share of a resource, over its weight. */
  share(team: string): number {
    const cached = this.#shares.get(team);
    if (cached !== undefined) return cached;
    const used = this.used(team);
    const resourceShares = RESOURCE_KINDS.map((kind) =>
      this.#total[kind] > 0 ? used[kind] / this.#total[kind] : 0,
    );
    const share = Math.max(...resourceShares) / (this.#teams.get(team)?.weight ?? 1);
    this.#shares.set(team, share);
    return share;
  }
}
