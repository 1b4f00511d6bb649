import { randomInt } from 'node:crypto';
import type { AppendOutcome } from '../keyed-log.js';
import { steadyMs } from './delay.js';

/**
 * How long a node waits after a claim before it sends another one, by the outcome of the append, in
 * milliseconds; reading a leader's record ends the wait. A claim that was stored, or that was
 * preceded by another claim of its epoch, is read within the two seconds that a store lets appends
 * wait. A claim without an answer may still be stored. If claims were repeated immediately, those
 * of all nodes would precede the first records of the new leader, which would then be considered
 * dead.
 */
const PAUSE_MS: Readonly<Record<AppendOutcome, number>> = {
  appended: 2_000,
  'out-of-sequence': 2_000,
  fenced: 2_000,
  moved: 500,
  unknown: 700,
  refused: 500,
  rejected: 500,
};

/**
 * Maximum number of doublings of the pause after consecutive refusals, as the store may recover at
 * any time.
 */
const MAX_DOUBLINGS = 2;

/** A claim that took longer than this was queued behind others, in milliseconds. */
const SLOW_CLAIM_MS = 200;

/** How long a slow claim is taken as a sign of a slow store, in milliseconds. */
const MEMORY_MS = 5_000;

/**
 * Longest time that an append waits at the store before the store refuses further appends, in
 * milliseconds.
 */
export const STORE_QUEUE_MS = 2_000;

/** Limits the rate of claims of a node while the store is slow. */
export class ClaimBackoff {
  #refusals = 0;

  #lastSlowMs = -Infinity;

  /** Whether claims are queued at the store, judging by this node's own claims. */
  get isQueueing(): boolean {
    return steadyMs() - this.#lastSlowMs < MEMORY_MS;
  }

  /** Returns how long to wait after a claim that was sent at `sentMs`, in milliseconds. */
  pauseMs(outcome: AppendOutcome, sentMs: number): number {
    const nowMs = steadyMs();
    if (outcome === 'refused' || nowMs - sentMs > SLOW_CLAIM_MS) this.#lastSlowMs = nowMs;
    if (outcome !== 'refused') {
      this.#refusals = 0;
      return PAUSE_MS[outcome];
    }
    // All nodes were refused at the same time. With equal pauses they would fill the queue at the
    // same time again.
    const pauseMs = PAUSE_MS.refused * 2 ** Math.min(this.#refusals, MAX_DOUBLINGS);
    this.#refusals += 1;
    return pauseMs + randomInt(pauseMs);
  }
}
