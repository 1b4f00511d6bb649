import { Jobs } from './jobs.js';

/**
 * Fuzzes jobs in data centres that operators have evacuated and take back, also while the leaders
 * cannot read that: the guarantees of `Jobs`, and no task starts in a data centre that was evacuated
 * long before. A target of its own, so that the seeds of `Jobs` keep their meaning.
 */
export class Evacuations extends Jobs {
  override readonly name = 'evacuations';

  override readonly coveragePoints = [...new Jobs().coveragePoints, 'evacuate', 'evacuate-unread'];

  protected override get kinds(): readonly string[] {
    return [...super.kinds, 'evacuate', 'evacuate', 'read-operators'];
  }
}
