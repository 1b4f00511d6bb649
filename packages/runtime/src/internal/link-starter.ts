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

/**
 * Begins links to workers a few at a time, so that the node has time for its other work. Those to
 * workers on which something runs come first: their leases run out while hundreds of others that run
 * nothing are greeted, and only when each of them has answered are later nodes told of the leases.
 */
export class LinkStarter {
  readonly #failed: (err: unknown) => void;

  readonly #signal: AbortSignal;

  readonly #busy: WorkerLink[] = [];

  readonly #idle: WorkerLink[] = [];

  #isDraining = false;

  /** `failed` is told what ends a link's conversation other than its stop. */
  constructor(signal: AbortSignal, failed: (err: unknown) => void) {
    this.#signal = signal;
    this.#failed = failed;
  }

  /** Begins the link soon; `isBusy` says that something runs on its worker, or may. */
  start(link: WorkerLink, isBusy: boolean): void {
    (isBusy ? this.#busy : this.#idle).push(link);
    if (!this.#isDraining) this.#drain();
  }

  async #drain(): Promise<void> {
    this.#isDraining = true;
    // The first links come one by one from a list that is being read: the whole page counts.
    await delay(0, this.#signal);
    while (this.#busy.length + this.#idle.length > 0 && !this.#signal.aborted) {
      for (const link of this.#next()) link.run().catch(this.#failed);
      await delay(PAUSE_MS, this.#signal);
    }
    this.#isDraining = false;
  }

  #next(): WorkerLink[] {
    const links = this.#busy.splice(0, LINKS_AT_ONCE);
    return [...links, ...this.#idle.splice(0, LINKS_AT_ONCE - links.length)];
  }
}
