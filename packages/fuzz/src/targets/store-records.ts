import fc from 'fast-check';
import type { Coverage } from '../coverage.js';
import { FuzzTarget } from '../fuzz-target.js';
import type { Meeting } from '../records/records-world.js';
import { RecordsWorld } from '../records/records-world.js';
import { mutation } from './mutated-json.js';

const MAX_MUTATIONS = 2;

/** Values that stand in sound records, at places where they are wrong. */
const nearlySound = fc.constantFrom<unknown>(
  1,
  2,
  57,
  58,
  59,
  -1,
  1.5,
  '1',
  'ready',
  'done',
  [0],
  [[0]],
);

const nearlySoundMutation = fc.record({
  kind: fc.constant('replace' as const),
  path: fc.array(fc.nat(), { minLength: 1, maxLength: 5 }),
  value: nearlySound,
});

const meeting: fc.Arbitrary<Meeting> = fc.record({
  kind: fc.constantFrom(
    ...Array<'worker'>(4).fill('worker'),
    ...Array<'report'>(2).fill('report'),
    ...Array<'progress'>(2).fill('progress'),
    ...(['config', 'wave', 'job', 'cancel', 'leader', 'learned', 'offer', 'order-answer'] as const),
  ),
  which: fc.nat({ max: 8 }),
  mutations: fc.array(fc.oneof(mutation, nearlySoundMutation), { maxLength: MAX_MUTATIONS }),
  damage: fc.constantFrom(
    ...Array<'none'>(12).fill('none'),
    ...(['deleted', 'empty', 'no-text', 'cut-value', 'key-too-long', 'key-no-text'] as const),
  ),
  at: fc.nat({ max: 400 }),
});

const page = fc.array(meeting, { minLength: 1, maxLength: 12, size: 'max' });

/**
 * Records of every kind that a node reads, and answers of workers, with fields changed and bytes
 * spoilt. Whatever there is: no record hides another, only workers are used whose newest entry is
 * sound, no broken configuration comes into force, no report is believed in part, and all that the
 * table of work takes can be scheduled.
 */
export class StoreRecords extends FuzzTarget {
  readonly name = 'store-records';

  readonly failures = [
    'deleted',
    'empty',
    'no-text',
    'cut-value',
    'key-too-long',
    'key-no-text',
    'cut-page',
    'worker-used',
    'worker-refused',
    'config-used',
    'config-refused',
    'report-believed',
    'report-refused',
    'job-unsure',
  ];

  property(coverage: Coverage): fc.IRawProperty<unknown> {
    const pages = fc.array(page, { minLength: 1, maxLength: 4 });
    return fc.property(pages, fc.nat({ max: 4_000 }), (drawn, cutAt) => {
      const world = new RecordsWorld(coverage);
      let from = 0;
      for (const meetings of drawn) {
        world.page(meetings, from);
        world.cutPage(meetings, from, cutAt);
        from += meetings.length;
      }
    });
  }
}
