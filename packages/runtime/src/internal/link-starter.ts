import type { WorkerState } from '@redwingcrank/jobs';
import { delay } from './delay.js';
import type { WorkerLink } from './worker-link.js';

/**
 * Links that start at once before a pause. Each link costs a connection and about two milliseconds
 * of processor time, and a node that takes over starts hundreds. All at once they would keep a node
 * with a third of a core from writing its own record for over a second, so it would be considered
 * dead and replaced, and so would the next node.
 */
const LINKS_PER_BATCH = 16;

const BATCH_PAUSE_MS = 20;

/** The priority of a link when links are started. */
type Urgency = 'lasting' | 'busy' | 'idle';

/** The part of a worker's state that determines the urgency of its link. */
type WorkerRuns = Pick<WorkerState, 'runs'>;

/**
 * Starts links to workers in small batches so that the node has time for its other work. Workers
 * with long-running tasks come first, then workers with any running tasks: a node that takes over
 * has some seconds until the leases there expire, and a small node does not contact all workers by
 * then.
 */
export class LinkStarter {
  readonly #onError: (err: unknown) => void;

  readonly #signal: AbortSignal;

  readonly #waiting: Readonly<Record<Urgency, WorkerLink[]>> = { lasting: [], busy: [], idle: [] };

  #isDraining = false;

  /** `onError` is called with any error that ends a link. */
  constructor(signal: AbortSignal, onError: (err: unknown) => void) {
    this.#signal = signal;
    this.#onError = onError;
  }

  /** Starts a link to the worker of this state when its batch is due. */
  start(link: WorkerLink, worker: WorkerRuns): void {
    this.#waiting[urgencyOf(worker)].push(link);
    if (!this.#isDraining) this.#drain();
  }

  async #drain(): Promise<void> {
    this.#isDraining = true;
    // The first links are added one by one while a page of the worker list is processed; wait for
    // the whole page.
    await delay(0, this.#signal);
    while (!this.#signal.aborted) {
      const batch = this.#nextBatch();
      if (batch.length === 0) break;
      for (const link of batch) link.run().catch(this.#onError);
      await delay(BATCH_PAUSE_MS, this.#signal);
    }
    this.#isDraining = false;
  }

  #nextBatch(): WorkerLink[] {
    const { lasting, busy, idle } = this.#waiting;
    const batch: WorkerLink[] = [];
    for (const links of [lasting, busy, idle]) {
      batch.push(...links.splice(0, LINKS_PER_BATCH - batch.length));
    }
    return batch;
  }
}

function urgencyOf({ runs }: WorkerRuns): Urgency {
  if (runs.size === 0) return 'idle';
  return [...runs.values()].some(({ spec }) => spec.lasting) ? 'lasting' : 'busy';
}
