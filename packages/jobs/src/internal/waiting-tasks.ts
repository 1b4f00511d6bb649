import { CountByPriority } from './count-by-priority.js';
import type { StepWaits } from './step-waits.js';
import type { WaitingStep } from './waiting-steps.js';
import { isWaiting } from './waiting-steps.js';

/** How many tasks wait that could be started now, by what keeps them waiting. */
export interface WaitingCount {
  /** Recent rounds have found no worker for them. */
  unplaced: number;
  /** The limits of the rounds left them out. */
  untried: number;
}

/** The tasks that still wait for a worker after a round. */
export class WaitingTasks {
  readonly byPriority = new CountByPriority();

  readonly reserved: WaitingCount = { unplaced: 0, untried: 0 };

  readonly bestEffort: WaitingCount = { unplaced: 0, untried: 0 };

  constructor(steps: Iterable<WaitingStep>, waits: StepWaits, nowMs: number) {
    for (const { tasks, maxTasks, queue, spec } of steps) {
      // Steps with a limit are listed again without one.
      if (maxTasks === Infinity) {
        const count = tasks.filter(isWaiting).length;
        this.byPriority.add(queue.priority, count);
        const counts = spec.fills ? this.bestEffort : this.reserved;
        counts[waits.isUnplaced(tasks, nowMs) ? 'unplaced' : 'untried'] += count;
      }
    }
  }

  /** Whether most of the tasks would have a worker if the rounds got to them. */
  get areMostUntried(): boolean {
    const { reserved, bestEffort } = this;
    return reserved.untried + bestEffort.untried > reserved.unplaced + bestEffort.unplaced;
  }
}
