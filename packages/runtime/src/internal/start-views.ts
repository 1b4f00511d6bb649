import type { LogFields } from '../node-log.js';
import type { NodeSettings } from '../node-settings.js';
import { delay, steadyMs } from './delay.js';
import {
  CLOCK_MARGIN_MS,
  CLOCK_DRIFT_FACTOR,
  MIN_START_WINDOW_MS,
  START_WINDOW_MS,
} from './timing.js';
import type { KeyedFollower } from './keyed-follower.js';
import type { WorkFollower } from './work-follower.js';
import type { WorkerList } from './worker-list.js';

/** Interval of checks whether the views have been read, in milliseconds. */
const POLL_INTERVAL_MS = 20;

/** The latest times of a start, counted from the record that forbids it. */
type StartBounds = Pick<NodeSettings, 'drainMs' | 'cancelMs' | 'evacuateMs'>;

/** What starts are based on. */
interface StartSources {
  readonly workers: Pick<WorkerList, 'completeAsOfMs'>;
  readonly work: Pick<WorkFollower, 'jobsCompleteAsOfMs'>;
  /** The log of the operators, who have data centres evacuated. */
  readonly operators: Pick<KeyedFollower, 'completeAsOfMs'>;
}

/**
 * The views that starts are based on, and the window in which a start may take effect given the
 * ages of the views.
 *
 * A view that is read late, or not at all, looks like a view to which nothing was added. Based on
 * such a view, a task could start on a worker that announced seconds ago that it is leaving, and be
 * lost with it; or a task of a cancelled job could start, or one in an evacuated data centre. A record that forbids the start was
 * stored after the view was last complete, and the worker refuses a start whose window has ended by
 * its own clock. Therefore a window that ends within the bound after that moment is sufficient,
 * however long the start is queued or in transit.
 */
export class StartViews {
  readonly #sources: StartSources;

  readonly #bounds: StartBounds;

  readonly #signal: AbortSignal;

  #isWaiting = false;

  /** `signal`: aborted when nothing is started any more. */
  constructor(sources: StartSources, bounds: StartBounds, signal: AbortSignal) {
    this.#sources = sources;
    this.#bounds = bounds;
    this.#signal = signal;
  }

  /**
   * Returns how long a start that is sent now may take effect, in whole milliseconds; 0 if no start
   * may be sent.
   */
  windowMs(nowMs: number): number {
    const { workers, work, operators } = this.#sources;
    const { drainMs, cancelMs, evacuateMs } = this.#bounds;
    const endMs = Math.min(
      workers.completeAsOfMs + drainMs,
      work.jobsCompleteAsOfMs + cancelMs,
      operators.completeAsOfMs + evacuateMs,
    );
    const leftMs = endMs - nowMs - CLOCK_MARGIN_MS;
    const windowMs = Math.floor(Math.min(START_WINDOW_MS, leftMs / CLOCK_DRIFT_FACTOR));
    return windowMs < MIN_START_WINDOW_MS ? 0 : windowMs;
  }

  /** Calls back once starts may be sent again; calls made while it waits are ignored. */
  async whenOpen(callback: () => void): Promise<void> {
    if (this.#isWaiting) return;
    this.#isWaiting = true;
    while (!this.#signal.aborted && this.windowMs(steadyMs()) === 0) {
      await delay(POLL_INTERVAL_MS, this.#signal);
    }
    this.#isWaiting = false;
    callback();
  }

  /** Returns the ages of the views as log fields. */
  ages(nowMs: number): LogFields {
    return {
      workersAgeMs: Math.round(nowMs - this.#sources.workers.completeAsOfMs),
      jobsAgeMs: Math.round(nowMs - this.#sources.work.jobsCompleteAsOfMs),
      operatorsAgeMs: Math.round(nowMs - this.#sources.operators.completeAsOfMs),
    };
  }
}
