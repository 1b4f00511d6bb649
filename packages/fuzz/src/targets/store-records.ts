import fc from 'fast-check';
import type { Coverage } from '../coverage.js';
import { FuzzTarget } from '../fuzz-target.js';
import type { RecordInput } from '../records/records-world.js';
import { RecordsWorld } from '../records/records-world.js';
import { mutation } from './mutated-json.js';

const MAX_MUTATIONS = 2;

/** Values that occur in valid records, used at positions where they are wrong. */
const misplacedValue = fc.constantFrom<unknown>(
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

const misplacedMutation = fc.record({
  kind: fc.constant('replace' as const),
  path: fc.array(fc.nat(), { minLength: 1, maxLength: 5 }),
  value: misplacedValue,
});

const input: fc.Arbitrary<RecordInput> = fc.record({
  kind: fc.constantFrom(
    ...Array<'worker'>(4).fill('worker'),
    ...Array<'report'>(2).fill('report'),
    ...Array<'progress'>(2).fill('progress'),
    ...(['config', 'wave', 'job', 'cancel', 'leader', 'learned', 'offer', 'order-answer'] as const),
  ),
  keyIndex: fc.nat({ max: 8 }),
  mutations: fc.array(fc.oneof(mutation, misplacedMutation), { maxLength: MAX_MUTATIONS }),
  damage: fc.constantFrom(
    ...Array<'none'>(12).fill('none'),
    ...(['deleted', 'empty', 'no-text', 'cut-value', 'key-too-long', 'key-no-text'] as const),
  ),
  at: fc.nat({ max: 400 }),
});

const page = fc.array(input, { minLength: 1, maxLength: 12, size: 'max' });

/**
 * Reads records of every kind and answers of workers, with changed fields and damaged bytes. In
 * every case, no record hides another, a worker is used only if its newest entry is valid, no
 * invalid configuration is applied, no report is accepted in part, and all jobs that the work table
 * accepts can be scheduled.
 */
export class StoreRecords extends FuzzTarget {
  readonly name = 'store-records';

  readonly coveragePoints = [
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
    'changed-text',
  ];

  property(coverage: Coverage): fc.IRawProperty<unknown> {
    const pages = fc.array(page, { minLength: 1, maxLength: 4 });
    return fc.property(pages, fc.nat({ max: 4_000 }), (drawn, cutAt) => {
      const world = new RecordsWorld(coverage);
      let from = 0;
      for (const inputs of drawn) {
        world.readPage(inputs, from);
        world.readCutPage(inputs, from, cutAt);
        from += inputs.length;
      }
    });
  }
}
