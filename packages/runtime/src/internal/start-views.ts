import type { LogFields } from '../node-log.js';
import type { NodeSettings } from '../node-settings.js';
import { delay, steadyMs } from './delay.js';
import {
  CLOCK_MARGIN_MS,
  CLOCK_DRIFT_FACTOR,
  MIN_START_WINDOW_MS,
  START_WINDOW_MS,
} from './timing.js';
import type { WorkFollower } from './work-follower.js';
import type { WorkerList } from './worker-list.js';

/** How often to look whether the views have been read, in milliseconds. */
const LOOK_MS = 20;

/** What a start must not be later than, counted from the record that forbids it. */
type StartBounds = Pick<NodeSettings, 'drainMs' | 'cancelMs'>;

/**
 * The views that a start rests on, and for how long it may take effect by their ages.
 *
 * A view that is read late, or not at all, looks like one to which nothing was added. By such a list
 * a task begins on a worker that said seconds ago that it leaves, and is lost with it; or one begins
 * whose job was cancelled. What forbids the start was stored after the view was last complete, and
 * the worker refuses a start whose time is over, on its own clock: so a time that ends within the
 * bound after that moment is enough, however long the start then waits or is under way.
 */
export class StartViews {
  readonly #workers: Pick<WorkerList, 'completeAsOfMs'>;

  readonly #work: Pick<WorkFollower, 'jobsCompleteAsOfMs'>;

  readonly #bounds: StartBounds;

  readonly #signal: AbortSignal;

  #isWaiting = false;

  /** `signal`: given when nobody starts anything any more. */
  constructor(
    workers: Pick<WorkerList, 'completeAsOfMs'>,
    work: Pick<WorkFollower, 'jobsCompleteAsOfMs'>,
    bounds: StartBounds,
    signal: AbortSignal,
  ) {
    this.#workers = workers;
    this.#work = work;
    this.#bounds = bounds;
    this.#signal = signal;
  }

  /** How long a start that is sent now may take effect, in whole milliseconds; 0: send none. */
  windowMs(nowMs: number): number {
    const workersEndMs = this.#workers.completeAsOfMs + this.#bounds.drainMs;
    const jobsEndMs = this.#work.jobsCompleteAsOfMs + this.#bounds.cancelMs;
    const leftMs = Math.min(workersEndMs, jobsEndMs) - nowMs - CLOCK_MARGIN_MS;
    const windowMs = Math.floor(Math.min(START_WINDOW_MS, leftMs / CLOCK_DRIFT_FACTOR));
    return windowMs < MIN_START_WINDOW_MS ? 0 : windowMs;
  }

  /** Calls back once starts may be sent again; asked again meanwhile, not twice. */
  async whenOpen(then: () => void): Promise<void> {
    if (this.#isWaiting) return;
    this.#isWaiting = true;
    while (!this.#signal.aborted && this.windowMs(steadyMs()) === 0) {
      await delay(LOOK_MS, this.#signal);
    }
    this.#isWaiting = false;
    then();
  }

  /** How old the views are, as lines of the log tell it. */
  ages(nowMs: number): LogFields {
    return {
      workersAgeMs: Math.round(nowMs - this.#workers.completeAsOfMs),
      jobsAgeMs: Math.round(nowMs - this.#work.jobsCompleteAsOfMs),
    };
  }
}
