import {
  CONFIRMED_LEASE_MS,
  LEASE_MS,
  MAX_ROUND_INTERVAL_MS,
  withClockDrift,
} from '@redwingcrank/runtime/leases';

/** After an answer with ends, the next renewal waits for so long at most until they are stored. */
export const ACK_WAIT_MS = 400;

/** The steps in which time passes while nothing goes wrong. */
export const CALM_STEP_MS = 50;

/** One round to release a task, and the steps in which it is noticed, ordered and carried out. */
const REACTION_MS = MAX_ROUND_INTERVAL_MS + 3 * CALM_STEP_MS;

/**
 * A lasting task whose worker is gone is at work elsewhere after so long at the latest, where one
 * leader acts all the while: it may send one more renewal, and the lease of that must be over.
 */
export const PRESENT_AWAY_MS = ACK_WAIT_MS + withClockDrift(LEASE_MS) + REACTION_MS;

/** The same counted from the newest record of a leader that is lost with the worker. */
export const TAKEOVER_AWAY_MS = withClockDrift(CONFIRMED_LEASE_MS) + REACTION_MS;
