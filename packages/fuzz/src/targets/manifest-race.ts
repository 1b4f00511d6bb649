import fc from 'fast-check';
import { ManifestFold } from '@redwingcrank/decisions';
import type { Coverage } from '../coverage.js';
import { FuzzTarget } from '../fuzz-target.js';
import { emptyManifest } from './manifest-record.js';

const publication = fc.record({
  kind: fc.constantFrom('next', 'racer', 'invalid', 'foreign', 'replay', 'move'),
  step: fc.integer({ min: 1, max: 3 }),
});

type Publication = typeof publication extends fc.Arbitrary<infer T> ? T : never;

const MAX_PUBLICATIONS = 60;

/**
 * Publishes racing, repeated and invalid manifests: the version may only increase, and all readers
 * must get the same version.
 */
export class ManifestRace extends FuzzTarget {
  readonly name = 'manifest-race';

  readonly coveragePoints = ['racer', 'invalid', 'foreign', 'replay', 'move'];

  property(coverage: Coverage): fc.IRawProperty<unknown> {
    const script = fc.array(publication, { maxLength: MAX_PUBLICATIONS, size: 'max' });
    return fc.property(script, (publications) => checkScript(publications, coverage));
  }
}

function checkScript(publications: readonly Publication[], coverage: Coverage): void {
  const immediate = new ManifestFold();
  const records: unknown[] = [];
  let version = 0;
  let base = 0;
  publications.forEach((drawn, offset) => {
    coverage.step();
    const record = recordOf(drawn, { offset, version, base, records });
    records.push(record);
    const verdict = immediate.apply(offset, record);
    const shouldAccept =
      drawn.kind === 'next' ||
      (drawn.kind === 'racer' && base === version) ||
      (drawn.kind === 'move' && version === 0);
    if (!shouldAccept) coverage.hit(drawn.kind);
    if (drawn.kind === 'racer' && base !== version) coverage.hit('racer');
    if (verdict.accepted !== shouldAccept)
      throw new Error(`offset ${offset}: wrong verdict accepted=${!shouldAccept}`);
    if (shouldAccept) {
      base = version;
      version = immediate.version;
    }
    if (immediate.version < version)
      throw new Error(`the version decreased to ${immediate.version}`);
  });
  const replayed = new ManifestFold();
  records.forEach((record, offset) => replayed.apply(offset, record));
  if (replayed.version !== immediate.version)
    throw new Error('two readers of the same records have different versions');
}

interface Progress {
  readonly offset: number;
  readonly version: number;
  readonly base: number;
  readonly records: readonly unknown[];
}

function recordOf(drawn: Publication, { offset, version, base, records }: Progress): unknown {
  const replaces = drawn.kind === 'racer' ? base : version;
  const dataCentre = drawn.kind === 'move' && version > 0 ? 'dc2' : 'dc1';
  const manifest = { ...emptyManifest(replaces + drawn.step, replaces), ...oneJob(dataCentre) };
  const id = `m${offset}`;
  if (drawn.kind === 'foreign') return { some: 'thing' };
  if (drawn.kind === 'replay') return records[0] ?? { some: 'thing' };
  if (drawn.kind === 'invalid') return { type: 'manifest', id, manifest: { ...manifest, jobs: 7 } };
  return { type: 'manifest', id, manifest };
}

/** Returns a job in the given data centre; a later version must not move the job to another. */
function oneJob(dataCentre: string): object {
  const resources = { cpu: 1, memoryMb: 1 };
  return {
    dataCentres: ['dc1', 'dc2'],
    teams: [{ name: 't', quota: resources }],
    jobs: [{ name: 'j', team: 't', dataCentre, tasks: 1, resources }],
  };
}
