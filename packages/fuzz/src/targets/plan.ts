import fc from 'fast-check';
import type { Coverage } from '../coverage.js';
import { FuzzTarget } from '../fuzz-target.js';
import { PlanWorld } from './plan-world.js';

const small = fc.integer({ min: 0, max: 7 });

const command = fc.record({
  kind: fc.constantFrom(
    'pass',
    'pass',
    'end-some',
    'fail-some',
    'end-revoked',
    'host-leaves',
    'host-vanishes',
    'host-shrinks',
    'host-returns',
    'job-added',
    'job-dropped',
    'urgent-added',
    'service-resized',
    'name-swapped',
    'quota-cut',
    'time-passes',
  ),
  a: small,
  b: small,
});

/** Long enough to fill the hosts. */
const COMMANDS = { minLength: 15, maxLength: 60, size: 'max' } as const;

/**
 * Runs passes over a data centre that changes at random. In every case, the fold that a pass was
 * planned on rejects none of its actions, no binding exceeds a quota or over-commits a host, no
 * task that would fit keeps waiting for capacity, and the pass terminates.
 */
export class Plan extends FuzzTarget {
  readonly name = 'plan';

  readonly coveragePoints = [
    'fail-some',
    'host-leaves',
    'host-vanishes',
    'host-shrinks',
    'job-dropped',
    'name-swapped',
    'quota-cut',
    'eviction',
    'over-quota',
    'no-room',
    'never-fits',
    'attempts-exhausted',
    'name-reused',
  ];

  property(coverage: Coverage): fc.IRawProperty<unknown> {
    return fc.property(fc.array(command, COMMANDS), (commands) => {
      const world = new PlanWorld(coverage);
      for (const { kind, a, b } of commands) {
        coverage.step();
        world.run(kind, a, b);
      }
      world.run('pass', 0, 0);
    });
  }
}
