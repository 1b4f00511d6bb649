import type { Job, Manifest, Service, Team } from '@redwingcrank/protocol';

/** Lookup tables by name for a manifest, which has thousands of services and jobs. */
export interface ManifestIndex {
  readonly services: ReadonlyMap<string, Service>;
  readonly jobs: ReadonlyMap<string, Job>;
  readonly teams: ReadonlyMap<string, Team>;
}

const indexes = new WeakMap<Manifest, ManifestIndex>();

const byName = <T extends { readonly name: string }>(items: readonly T[]): Map<string, T> =>
  new Map(items.map((item) => [item.name, item]));

/** Returns the index of a manifest; it is built once for each manifest. */
export function indexOf(manifest: Manifest): ManifestIndex {
  const known = indexes.get(manifest);
  if (known) return known;
  const { services, jobs, teams } = manifest;
  const index = { services: byName(services), jobs: byName(jobs), teams: byName(teams) };
  indexes.set(manifest, index);
  return index;
}
