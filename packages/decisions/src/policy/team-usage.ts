import type { Resources, Team } from '@redwingcrank/protocol';
import {
  NO_RESOURCES,
  RESOURCE_KINDS,
  addResources,
  fits,
  subtractResources,
} from '@redwingcrank/protocol';

/**
 * What each team's tasks are bound with in this data centre. Quotas hold in each data centre by
 * itself: data centres that are cut off from each other cannot share one.
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

  /** Whether the team's quota leaves room for a task. */
  allows(team: string, resources: Resources): boolean {
    const quota = this.#teams.get(team)?.quota;
    return quota !== undefined && fits(resources, subtractResources(quota, this.used(team)));
  }

  /** Whether the team's whole quota would hold the task. */
  couldEverAllow(team: string, resources: Resources): boolean {
    const quota = this.#teams.get(team)?.quota;
    return quota !== undefined && fits(resources, quota);
  }

  /** The team's largest part of any resource, divided by its weight (dominant share). */
  share(team: string): number {
    const known = this.#shares.get(team);
    if (known !== undefined) return known;
    const used = this.used(team);
    const parts = RESOURCE_KINDS.map((kind) =>
      this.#total[kind] > 0 ? used[kind] / this.#total[kind] : 0,
    );
    const share = Math.max(...parts) / (this.#teams.get(team)?.weight ?? 1);
    this.#shares.set(team, share);
    return share;
  }
}
