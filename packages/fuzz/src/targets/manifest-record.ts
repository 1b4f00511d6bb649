/** Returns a manifest of the given version without teams, services and jobs. */
export function emptyManifest(version: number, replaces: number): object {
  return {
    apiVersion: 'redwingcrank/v1',
    version,
    replaces,
    dataCentres: ['dc1'],
    teams: [],
    services: [],
    jobs: [],
  };
}

/** Returns the log record of an empty manifest. */
export function manifestRecord(id: string, version: number, replaces: number): object {
  return { type: 'manifest', id, manifest: emptyManifest(version, replaces) };
}
