import type { Coverage } from '../coverage.js';
import { CopiesWorld } from '../jobs/copies-world.js';
import type { JobsWorld } from '../jobs/jobs-world.js';
import { LOSSES } from '../jobs/final-loss.js';
import { Jobs } from './jobs.js';

/** Commands of `Jobs` about tasks that are not copied. */
const NOT_COPIED: readonly string[] = ['submit-lasting', 'submit-crashing'];

/** Commands that are drawn more often than in `Jobs`, so that tasks have slow and failing runs. */
const MORE_COMMANDS = [
  ...Array<string>(2).fill('submit'),
  ...Array<string>(3).fill('end'),
  ...Array<string>(4).fill('fail'),
  ...Array<string>(8).fill('deliver'),
  'deliver-unanswered',
  'time-passes',
];

const NOT_COVERED: ReadonlySet<string> = new Set([
  'crashing-task',
  ...LOSSES.map((loss) => `lost: ${loss}`),
]);

/**
 * Fuzzes jobs of which every other one is `speculative`: the guarantees of `Jobs`, with up to two runs
 * of a task of these jobs on two workers, never three, and one run of any other task. No task starts
 * after an end of either run was acknowledged as success, or after its last attempt. At the end all
 * jobs end, so that no task was lost with one of its runs. A target of its own, so that the seeds of
 * `Jobs` keep their meaning.
 */
export class Copies extends Jobs {
  override readonly name = 'copies';

  override readonly coveragePoints = [
    ...new Jobs().coveragePoints.filter((name) => !NOT_COVERED.has(name)),
    'copy-started slow',
    'copy-started silent',
    'copy-ended copy',
    'copy-ended first-run',
    'copy-end-held ',
  ];

  protected override get kinds(): readonly string[] {
    return [...super.kinds.filter((kind) => !NOT_COPIED.includes(kind)), ...MORE_COMMANDS];
  }

  protected override createWorld(coverage: Coverage): CopiesWorld {
    return new CopiesWorld(coverage);
  }

  protected override finish(world: JobsWorld, cut: number, workerIndex: number): void {
    (world as CopiesWorld).finishJobs(cut, workerIndex % 2 === 1);
  }
}
