import fc from 'fast-check';
import type { Coverage } from '../coverage.js';
import { FuzzTarget } from '../fuzz-target.js';
import { CalmPhase } from '../jobs/calm-phase.js';
import { FinalLoss, LOSSES } from '../jobs/final-loss.js';
import { JobsScript } from '../jobs/jobs-script.js';
import { JobsWorld } from '../jobs/jobs-world.js';

const small = fc.integer({ min: 0, max: 7 });

const command = fc.record({
  kind: fc.constantFrom(
    ...Array<string>(2).fill('submit'),
    'submit-lasting',
    ...Array<string>(8).fill('round'),
    ...Array<string>(16).fill('renew'),
    ...Array<string>(16).fill('deliver'),
    ...Array<string>(4).fill('deliver-unanswered'),
    ...Array<string>(5).fill('end'),
    ...Array<string>(2).fill('fail'),
    ...Array<string>(2).fill('time-passes'),
    'renew-late',
    'deliver-late',
    'cancel',
    'crash',
    'leave',
    'list',
    'vanish',
    'cut',
    'cut-off',
    'store',
    'elect',
    'resign',
    'restart',
    'freeze',
    'round-unanswered',
  ),
  a: small,
  b: small,
});

const ending = fc.record({ loss: fc.constantFrom(...LOSSES), cut: small, lost: small });

/** Takeovers, cuts and lapses need room to follow one another. */
const COMMANDS = { minLength: 40, maxLength: 160, size: 'max' } as const;

/**
 * Jobs under two leaders at once, cut, crashing and leaving workers, lost and late orders and
 * renewals, and a store that goes away. Whatever happens: no task runs in two places, none starts
 * again after its good end was noted, none before the step it depends on has ended or after its
 * last attempt, none on a worker that said long before that it leaves, though the leader's list lacks
 * that, no worker is over its capacity, and no job is shown as completed that is not.
 *
 * Each run ends calm, with one leader that acts all the while. Then lasting tasks must be at work
 * again in the time that the leases account for, also after one more worker is lost.
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
    'leave',
    'leave-unread',
    'vanish',
    'cut-off',
    'resign',
    'restart',
    'freeze',
    'append-unanswered',
    'append-lost',
    'renew-late',
    'cut-short',
    ...LOSSES.map((loss) => `lost: ${loss}`),
  ];

  property(coverage: Coverage): fc.IRawProperty<unknown> {
    return fc.property(fc.array(command, COMMANDS), ending, (commands, { loss, cut, lost }) => {
      const world = new JobsWorld(coverage);
      const script = new JobsScript(world);
      for (const { kind, a, b } of commands) {
        coverage.step();
        script.run(kind, a, b);
      }
      const calm = new CalmPhase(world);
      calm.heal(cut);
      new FinalLoss(world, calm, lost).run(loss);
    });
  }
}
