import { randomInt } from 'node:crypto';
import type { AppendOutcome } from '../keyed-log.js';
import { steadyMs } from './delay.js';

/**
 * How long a node waits after a claim before it sends another, by what the store said, in
 * milliseconds; a leader's record that is read ends the wait. A claim that is stored, or stands
 * behind another's of its epoch, is read within the two seconds that a store lets appends wait; one
 * without an answer may be stored yet. Sent again at once, the claims of all nodes stand before the
 * first records of the new leader, and it is taken for dead.
 */
const PAUSE_MS: Readonly<Record<AppendOutcome, number>> = {
  appended: 2_000,
  'out-of-sequence': 2_000,
  fenced: 2_000,
  moved: 500,
  unknown: 700,
  refused: 500,
};

/** Refusals in a row after which the pause grows no more: the store may be back at any time. */
const MAX_GROWTH = 2;

/** A claim that took longer waited behind others, in milliseconds. */
const SLOW_CLAIM_MS = 200;

/** For how long a slow claim says something about the store, in milliseconds. */
const MEMORY_MS = 5_000;

/** Appends wait no longer at a store before it refuses more of them, in milliseconds. */
export const STORE_QUEUE_MS = 2_000;

/** Keeps the claims of a node few while the store is slow. */
export class ClaimBackoff {
  #refusals = 0;

  #slowMs = -Infinity;

  /** Whether claims wait in a queue at the store, by what came of this node's own. */
  get isQueueing(): boolean {
    return steadyMs() - this.#slowMs < MEMORY_MS;
  }

  /** How long to wait after a claim that was sent then, in milliseconds. */
  pauseMs(outcome: AppendOutcome, sentMs: number): number {
    const nowMs = steadyMs();
    if (outcome === 'refused' || nowMs - sentMs > SLOW_CLAIM_MS) this.#slowMs = nowMs;
    if (outcome !== 'refused') {
      this.#refusals = 0;
      return PAUSE_MS[outcome];
    }
    // All nodes were refused together. After the same pause they would fill the queue together again.
    const pauseMs = PAUSE_MS.refused * 2 ** Math.min(this.#refusals, MAX_GROWTH);
    this.#refusals += 1;
    return pauseMs + randomInt(pauseMs);
  }
}
