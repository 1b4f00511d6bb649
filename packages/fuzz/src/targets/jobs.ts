import fc from 'fast-check';
import type { Coverage } from '../coverage.js';
import { FuzzTarget } from '../fuzz-target.js';
import { RecoveryPhase } from '../jobs/recovery-phase.js';
import type { Loss } from '../jobs/final-loss.js';
import { FinalLoss, LOSSES } from '../jobs/final-loss.js';
import { JobsScript } from '../jobs/jobs-script.js';
import { JobsWorld } from '../jobs/jobs-world.js';

const small = fc.integer({ min: 0, max: 7 });

const KINDS = [
  ...Array<string>(2).fill('submit'),
  'submit-lasting',
  'submit-crashing',
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
];

const ending = fc.record({ loss: fc.constantFrom(...LOSSES), cut: small, workerIndex: small });

/** Long enough for takeovers, cuts and lease expiries to follow one another. */
const COMMANDS = { minLength: 40, maxLength: 160, size: 'max' } as const;

/**
 * Fuzzes jobs with two leaders at once, disconnected, crashing and leaving workers, lost and late
 * orders and renewals, and store outages. In every case, no task runs in two places. No task starts
 * after its successful end was acknowledged, before the step it depends on has ended, after its
 * last attempt, without a stored binding, on a worker that announced long before that it leaves, or in a data centre that was
 * evacuated long before, even if the leader's views lack that. No worker exceeds its capacity, and no unfinished job is shown as completed. A job is
 * shown as running only after a task of it has begun. A job is shown as failed only if a task of it has used up its attempts, or two workers have crashed under
 * one. A task that crashes each worker that starts it gets fewer than three starts after three
 * crashed workers.
 *
 * Each run ends with a recovery phase, in which one leader stays active. Long-running tasks must
 * run again within the time that the leases allow for, also after one more worker is lost, unless
 * their job was given up. A task that crashes its workers is given up.
 */
export class Jobs extends FuzzTarget {
  readonly name: string = 'jobs';

  /** Whether the leaders bind tasks ahead of their starts. */
  protected readonly bindsAhead: boolean = false;

  readonly coveragePoints: readonly string[] = [
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
    'crashing-task',
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

  /** The kinds of commands; a kind that is listed more than once is drawn more often. */
  protected get kinds(): readonly string[] {
    return KINDS;
  }

  property(coverage: Coverage): fc.IRawProperty<unknown> {
    const command = fc.record({ kind: fc.constantFrom(...this.kinds), a: small, b: small });
    return fc.property(
      fc.array(command, COMMANDS),
      ending,
      (commands, { loss, cut, workerIndex }) => {
        const world = this.createWorld(coverage);
        const script = new JobsScript(world);
        for (const { kind, a, b } of commands) {
          coverage.step();
          script.run(kind, a, b);
        }
        this.finish(world, cut, workerIndex, loss);
      },
    );
  }

  protected createWorld(coverage: Coverage): JobsWorld {
    return new JobsWorld(coverage, this.bindsAhead);
  }

  /** Ends a run: connections are restored but those of the worker at `cut`, and one failure occurs. */
  protected finish(world: JobsWorld, cut: number, workerIndex: number, loss: Loss): void {
    const recovery = new RecoveryPhase(world);
    recovery.heal(cut);
    new FinalLoss(world, recovery, workerIndex).run(loss);
  }
}
