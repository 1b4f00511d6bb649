import type { WorkerState } from '@redwingcrank/jobs';
import { delay } from './delay.js';
import type { WorkerLink } from './worker-link.js';

/**
 * So many links begin at once, then comes a pause, in milliseconds. Each costs a connection and
 * about two milliseconds of processor time. A node that takes over begins hundreds: all at once they
 * keep a node with a third of a core from writing its own record for over a second, and it is taken
 * for dead and replaced, and so is the next.
 */
const LINKS_AT_ONCE = 16;

const PAUSE_MS = 20;

/** Which links begin first. */
type Urgency = 'lasting' | 'busy' | 'idle';

/** What of a worker says how urgent its link is. */
type Occupied = Pick<WorkerState, 'runs'>;

/**
 * Begins links to workers a few at a time, so that the node has time for its other work. Workers on
 * which lasting tasks run come first, then those on which anything does: a node that takes over has
 * some seconds until the leases there end, and a small one does not reach all workers by then.
 */
export class LinkStarter {
  readonly #failed: (err: unknown) => void;

  readonly #signal: AbortSignal;

  readonly #waiting: Readonly<Record<Urgency, WorkerLink[]>> = { lasting: [], busy: [], idle: [] };

  #isDraining = false;

  /** `failed` is told what ends a link's conversation other than its stop. */
  constructor(signal: AbortSignal, failed: (err: unknown) => void) {
    this.#signal = signal;
    this.#failed = failed;
  }

  /** Begins a link to the worker of this state when its turn comes. */
  start(link: WorkerLink, worker: Occupied): void {
    this.#waiting[urgencyOf(worker)].push(link);
    if (!this.#isDraining) this.#drain();
  }

  async #drain(): Promise<void> {
    this.#isDraining = true;
    // The first links come one by one from a list that is being read: the whole page counts.
    await delay(0, this.#signal);
    while (!this.#signal.aborted) {
      const next = this.#next();
      if (next.length === 0) break;
      for (const link of next) link.run().catch(this.#failed);
      await delay(PAUSE_MS, this.#signal);
    }
    this.#isDraining = false;
  }

  #next(): WorkerLink[] {
    const { lasting, busy, idle } = this.#waiting;
    const next: WorkerLink[] = [];
    for (const links of [lasting, busy, idle]) {
      next.push(...links.splice(0, LINKS_AT_ONCE - next.length));
    }
    return next;
  }
}

function urgencyOf({ runs }: Occupied): Urgency {
  if (runs.size === 0) return 'idle';
  return [...runs.values()].some(({ spec }) => spec.lasting) ? 'lasting' : 'busy';
}
