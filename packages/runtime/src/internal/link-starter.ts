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

/** Begins links to workers a few at a time, so that the node has time for its other work. */
export class LinkStarter {
  readonly #failed: (err: unknown) => void;

  readonly #signal: AbortSignal;

  #waiting: WorkerLink[] = [];

  #isBusy = false;

  /** `failed` is told what ends a link's conversation other than its stop. */
  constructor(signal: AbortSignal, failed: (err: unknown) => void) {
    this.#signal = signal;
    this.#failed = failed;
  }

  start(link: WorkerLink): void {
    this.#waiting.push(link);
    if (!this.#isBusy) this.#drain();
  }

  async #drain(): Promise<void> {
    this.#isBusy = true;
    while (this.#waiting.length > 0 && !this.#signal.aborted) {
      for (const link of this.#waiting.splice(0, LINKS_AT_ONCE)) link.run().catch(this.#failed);
      await delay(PAUSE_MS, this.#signal);
    }
    this.#isBusy = false;
  }
}
