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

/** Operators race, replay and publish nonsense: the version goes up, alike for every reader. */
export class ManifestRace extends FuzzTarget {
  readonly name = 'manifest-race';

  readonly coveragePoints = ['racer', 'invalid', 'foreign', 'replay', 'move'];

  property(coverage: Coverage): fc.IRawProperty<unknown> {
    const script = fc.array(publication, { maxLength: MAX_PUBLICATIONS, size: 'max' });
    return fc.property(script, (publications) => checkScript(publications, coverage));
  }
}

function checkScript(publications: readonly Publication[], coverage: Coverage): void {
  const early = new ManifestFold();
  const records: unknown[] = [];
  let version = 0;
  let base = 0;
  publications.forEach((drawn, offset) => {
    coverage.step();
    const record = recordOf(drawn, { offset, version, base, records });
    records.push(record);
    const verdict = early.apply(offset, record);
    const wanted =
      drawn.kind === 'next' ||
      (drawn.kind === 'racer' && base === version) ||
      (drawn.kind === 'move' && version === 0);
    if (!wanted) coverage.hit(drawn.kind);
    if (drawn.kind === 'racer' && base !== version) coverage.hit('racer');
    if (verdict.accepted !== wanted) throw new Error(`offset ${offset}: accepted ${!wanted}`);
    if (wanted) {
      base = version;
      version = early.version;
    }
    if (early.version < version) throw new Error(`version went back to ${early.version}`);
  });
  const late = new ManifestFold();
  records.forEach((record, offset) => late.apply(offset, record));
  if (late.version !== early.version) throw new Error('two readers disagree');
}

interface Progress {
  readonly offset: number;
  readonly version: number;
  readonly base: number;
  readonly records: readonly unknown[];
}

function recordOf(drawn: Publication, { offset, version, base, records }: Progress): unknown {
  const replaces = drawn.kind === 'racer' ? base : version;
  const place = drawn.kind === 'move' && version > 0 ? 'dc2' : 'dc1';
  const manifest = { ...emptyManifest(replaces + drawn.step, replaces), ...oneJob(place) };
  const id = `m${offset}`;
  if (drawn.kind === 'foreign') return { some: 'thing' };
  if (drawn.kind === 'replay') return records[0] ?? { some: 'thing' };
  if (drawn.kind === 'invalid') return { type: 'manifest', id, manifest: { ...manifest, jobs: 7 } };
  return { type: 'manifest', id, manifest };
}

/** A job must stay in its data centre from version to version. */
function oneJob(dataCentre: string): object {
  const resources = { cpu: 1, memoryMb: 1 };
  return {
    dataCentres: ['dc1', 'dc2'],
    teams: [{ name: 't', quota: resources }],
    jobs: [{ name: 'j', team: 't', dataCentre, tasks: 1, resources }],
  };
}
