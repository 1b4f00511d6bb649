import fc from 'fast-check';
import { ManifestFold } from '@redwingcrank/decisions';
import type { Manifest } from '@redwingcrank/protocol';
import { readManifest } from '@redwingcrank/protocol';
import type { Coverage } from '../coverage.js';
import { FuzzTarget } from '../fuzz-target.js';
import type { Mutation } from './mutated-json.js';
import { mutate, mutation } from './mutated-json.js';

const MAX_MUTATIONS = 3;

const BASE = {
  apiVersion: 'redwingcrank/v1',
  version: 1,
  replaces: 0,
  dataCentres: ['dc1', 'dc2'],
  teams: [{ name: 'a', quota: { cpu: 8, memoryMb: 800, accelerators: 0 }, weight: 2 }],
  services: [
    {
      name: 'booking',
      team: 'a',
      pathPrefix: '/booking',
      replicas: { dc1: 2 },
      resources: { cpu: 1, memoryMb: 100 },
      requestRules: [{ method: 'POST', path: '/hold', idempotent: false }],
    },
  ],
  jobs: [
    {
      name: 'routes',
      team: 'a',
      dataCentre: 'dc2',
      tasks: 3,
      resources: { cpu: 2, memoryMb: 200 },
      deadline: '2030-01-01T00:00:00Z',
    },
  ],
};

/** Reads damaged manifests: none may crash a reader, and none that breaks a rule may be accepted. */
export class ManifestMutation extends FuzzTarget {
  readonly name = 'manifest-mutation';

  readonly coveragePoints = ['refused', 'harmless', 'refused-after-good'];

  property(coverage: Coverage): fc.IRawProperty<unknown> {
    const mutations = fc.array(mutation, { minLength: 1, maxLength: MAX_MUTATIONS });
    return fc.property(mutations, (drawn) => checkDamaged(drawn, coverage));
  }
}

function checkDamaged(mutations: readonly Mutation[], coverage: Coverage): void {
  coverage.step();
  const damaged = mutations.reduce<unknown>(mutate, BASE);
  const reading = readManifest(damaged);
  if (reading.ok) checkRules(reading.manifest);
  else if (reading.faults.some((fault) => fault.path === '' || fault.expected === '')) {
    throw new Error('a fault has no path or does not say what was expected');
  }
  coverage.hit(reading.ok ? 'harmless' : 'refused');
  const fold = new ManifestFold();
  const first = fold.apply(0, { type: 'manifest', id: 'damaged', manifest: damaged });
  if (first.accepted && !reading.ok) throw new Error('an invalid manifest was accepted');
  if (first.accepted) return;
  if (fold.version !== 0) throw new Error('a rejected manifest changed the version');
  const good = fold.apply(1, { type: 'manifest', id: 'good', manifest: BASE });
  if (!good.accepted) throw new Error('a valid manifest was rejected after an invalid one');
  coverage.hit('refused-after-good');
  fold.apply(2, mutations.reduce<unknown>(mutate, { type: 'manifest', id: 'x', manifest: BASE }));
  if (fold.version < 1) throw new Error('the version decreased');
}

/** Checks the rules of a manifest with a second, simple implementation. */
function checkRules(manifest: Manifest): void {
  const { version, replaces, teams, services, jobs, dataCentres } = manifest;
  const teamNames = teams.map((team) => team.name);
  const owners = [...services, ...jobs];
  const names = owners.map((owner) => owner.name);
  const claims = owners.flatMap(({ resources }) => Object.values(resources));
  const places = [
    ...services.flatMap((service) => Object.keys(service.replicas)),
    ...jobs.map((job) => job.dataCentre),
  ];
  const rules: [string, boolean][] = [
    ['the version increases', version > replaces && Number.isSafeInteger(version)],
    ['names are unique', new Set(names).size === names.length],
    ['teams exist', owners.every((owner) => teamNames.includes(owner.team))],
    ['data centres exist', places.every((place) => dataCentres.includes(place))],
    ['claims are finite', claims.every((claim) => Number.isFinite(claim) && claim >= 0)],
    ['jobs have tasks', jobs.every((job) => job.tasks >= 1)],
  ];
  const broken = rules.filter(([, holds]) => !holds).map(([rule]) => rule);
  if (broken.length > 0)
    throw new Error(`accepted a manifest that breaks these rules: ${broken.join(', ')}`);
}
