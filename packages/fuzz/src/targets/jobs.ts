import fc from 'fast-check';
import type { Coverage } from '../coverage.js';
import { FuzzTarget } from '../fuzz-target.js';
import { JobsWorld } from '../jobs/jobs-world.js';

const small = fc.integer({ min: 0, max: 7 });

const command = fc.record({
  kind: fc.constantFrom(
    ...Array<string>(2).fill('submit'),
    ...Array<string>(8).fill('round'),
    ...Array<string>(16).fill('renew'),
    ...Array<string>(16).fill('deliver'),
    ...Array<string>(4).fill('deliver-unanswered'),
    ...Array<string>(5).fill('end'),
    ...Array<string>(2).fill('fail'),
    ...Array<string>(2).fill('time-passes'),
    'cancel',
    'crash',
    'cut',
    'store',
    'elect',
  ),
  a: small,
  b: small,
});

/** Takeovers, cuts and lapses need room to follow one another. */
const COMMANDS = { minLength: 40, maxLength: 160, size: 'max' } as const;

/**
 * Jobs under two leaders at once, cut and crashing workers, lost and late orders and a store that
 * goes away. Whatever happens: no task runs in two places, none starts again after its good end
 * was noted, none before the step it depends on has ended or after its last attempt, no worker is
 * over its capacity, and no job is shown as completed that is not.
 */
export class Jobs extends FuzzTarget {
  readonly name = 'jobs';

  readonly failures = [
    'cancel',
    'cut',
    'store-away',
    'elect',
    'write-fenced',
    'renew-fenced',
    'report-lost',
    'order-unanswered',
    'order-fenced',
    'order-late',
    'fail',
    'crash',
  ];

  property(coverage: Coverage): fc.IRawProperty<unknown> {
    return fc.property(fc.array(command, COMMANDS), (commands) => {
      const world = new JobsWorld(coverage);
      for (const { kind, a, b } of commands) {
        coverage.step();
        world.run(kind, a, b);
      }
    });
  }
}
