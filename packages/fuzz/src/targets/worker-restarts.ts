import type { Coverage } from '../coverage.js';
import { JobsOracle } from '../jobs/jobs-oracle.js';
import { JobsWorld } from '../jobs/jobs-world.js';
import { Jobs } from './jobs.js';

/** Kinds that restart workers while starts are on their way and ends are listed. */
const KINDS = [
  ...Array<string>(8).fill('work-through'),
  ...Array<string>(6).fill('restart-worker'),
  ...Array<string>(4).fill('deliver-unanswered'),
  ...Array<string>(5).fill('end'),
  ...Array<string>(4).fill('list'),
];

/**
 * Does not judge which jobs are given up: a start that is on its way counts as a possible crash, and
 * here it is at every restart.
 */
class RestartsOracle extends JobsOracle {
  protected override mayGiveUp(): boolean {
    return true;
  }
}

/**
 * Fuzzes workers that restart under their ids, with ends, clocks and tokens that start anew, while
 * orders to the former process are on their way: the guarantees of `Jobs`, but for the jobs that are
 * given up. A target of its own, so
 * that the seeds of `Jobs` keep their meaning.
 */
export class WorkerRestarts extends Jobs {
  override readonly name = 'worker-restarts';

  override readonly coveragePoints = [
    ...new Jobs().coveragePoints,
    'restart-worker',
    'start to a former process',
  ];

  protected override get kinds(): readonly string[] {
    return [...super.kinds, ...KINDS];
  }

  protected override createWorld(coverage: Coverage): JobsWorld {
    return new JobsWorld(coverage, false, new RestartsOracle(), true);
  }
}
