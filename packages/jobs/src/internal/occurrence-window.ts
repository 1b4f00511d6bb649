import { isFinal } from '../job.js';
import type { JobSpec } from '../job.js';
import type { JobProgress } from '../job-progress.js';

/** Maximum number of open occurrences of a job. */
export const MAX_OPEN_OCCURRENCES = 256;

/** As many occurrences of a job may be open however many steps each has, and on a busy node. */
const MIN_OPEN_OCCURRENCES = 8;

/**
 * Maximum number of steps in the open occurrences of a job: its record lists them all, and is written
 * and read by every node with each change of the job.
 */
const MAX_OPEN_STEPS = 1_024;

/** Maximum number of tasks in the open occurrences of a job; one occurrence may have more. */
const MAX_OPEN_TASKS = 10_000;

/** The same for the open occurrences of all scheduled jobs, at least one occurrence of each. */
const MAX_OPEN_OCCURRENCES_OF_ALL = 2_000;

const MAX_OPEN_TASKS_OF_ALL = 100_000;

/** A job whose next occurrence has been due for longer than this is far behind, in milliseconds. */
const OVERDUE_MS = 10_000;

/** The limits on what a job may have open. */
interface WindowLimits {
  readonly occurrences: number;
  readonly tasks: number;
}

const LIMITS_OF_ONE: WindowLimits = { occurrences: MAX_OPEN_OCCURRENCES, tasks: MAX_OPEN_TASKS };

/** The size of one occurrence of a job. */
interface OccurrenceSize {
  readonly taskCount: number;
  readonly hasLasting: boolean;
}

const knownSizes = new WeakMap<JobSpec, OccurrenceSize>();

function sizeOf(spec: JobSpec): OccurrenceSize {
  const known = knownSizes.get(spec);
  if (known) return known;
  const size = {
    taskCount: spec.steps.reduce((sum, { taskCount }) => sum + taskCount, 0),
    hasLasting: spec.steps.some(({ lasting }) => lasting),
  };
  knownSizes.set(spec, size);
  return size;
}

/**
 * Returns how many occurrences of a job may be open at once, at least one. The long-running tasks of
 * all occurrences run at the same time, so only their number limits them.
 */
export function windowOf(spec: JobSpec, limits = LIMITS_OF_ONE): number {
  const { taskCount, hasLasting } = sizeOf(spec);
  if (hasLasting) return Math.max(1, Math.floor(MAX_OPEN_TASKS / taskCount));
  const byTasks = Math.floor(limits.tasks / taskCount);
  const bySteps = Math.max(MIN_OPEN_OCCURRENCES, Math.floor(MAX_OPEN_STEPS / spec.steps.length));
  return Math.max(1, Math.min(limits.occurrences, bySteps, byTasks));
}

/**
 * Opens the occurrences of all jobs when they are due, the oldest of a job first and as many at a time
 * as its window holds. Hours of a short interval may be due together after an outage, or years in a job
 * that is submitted late: all of them at once would fill the memory of every leader. Those that are not
 * open cost nothing but the number of the next one.
 */
export class OccurrenceWindow {
  /** The window of each job, as of the latest round. */
  #limits = LIMITS_OF_ONE;

  /** Jobs whose next occurrence was due before this time of day have a narrow window. */
  #narrowBeforeMs = -Infinity;

  /** Opens what is due, and returns the jobs of which an occurrence was opened. */
  openDue(jobs: Iterable<JobProgress>, timeOfDayMs: number, isNodeBusy = false): JobProgress[] {
    const due: JobProgress[] = [];
    let sharingCount = 0;
    for (const job of jobs) {
      if (!isFinal(job.state)) {
        const isDue = job.hasUnopened && job.nextDueMs <= timeOfDayMs;
        if (isDue) due.push(job);
        if (job.spec.schedule && (isDue || job.occurrences.size > 0)) sharingCount += 1;
      }
    }
    this.#limits = limitsFor(sharingCount);
    this.#narrowBeforeMs = isNodeBusy ? timeOfDayMs - OVERDUE_MS : -Infinity;
    return due.filter((job) => job.openDue(timeOfDayMs, this.#windowOf(job)));
  }

  /**
   * Returns how many occurrences of a job may be open. While the node has no processor time left, a job
   * that is far behind leaves it to the others: its occurrences are late in any case.
   */
  #windowOf(job: JobProgress): number {
    const size = windowOf(job.spec, this.#limits);
    const isNarrow = job.nextDueMs < this.#narrowBeforeMs && !sizeOf(job.spec).hasLasting;
    return isNarrow ? Math.min(size, MIN_OPEN_OCCURRENCES) : size;
  }

  /** Returns when the next occurrence can be opened; undefined if there is none. */
  nextDueMs(jobs: Iterable<JobProgress>): number | undefined {
    let next: number | undefined;
    for (const job of jobs) {
      const isPending = !isFinal(job.state) && job.hasUnopened;
      const isEarlier = isPending && (next === undefined || job.nextDueMs < next);
      if (isEarlier && job.occurrences.size < this.#windowOf(job)) next = job.nextDueMs;
    }
    return next;
  }
}

/** Returns the limits on the window of each of as many jobs. */
function limitsFor(jobCount: number): WindowLimits {
  const divisor = Math.max(1, jobCount);
  return {
    occurrences: Math.min(MAX_OPEN_OCCURRENCES, Math.floor(MAX_OPEN_OCCURRENCES_OF_ALL / divisor)),
    tasks: Math.min(MAX_OPEN_TASKS, Math.floor(MAX_OPEN_TASKS_OF_ALL / divisor)),
  };
}
