import {
  CONFIRMED_LEASE_MS,
  LEASE_MS,
  MAX_ROUND_INTERVAL_MS,
  withClockDrift,
} from '@redwingcrank/runtime/leases';

/** How long the renewal after an answer with ends waits at most for them to be stored, in ms. */
export const ACK_WAIT_MS = 400;

/** The step by which time advances during the recovery phase, in milliseconds. */
export const RECOVERY_STEP_MS = 50;

/** One round to release a task, plus the steps to notice, order and carry out its start. */
const REACTION_MS = MAX_ROUND_INTERVAL_MS + 3 * RECOVERY_STEP_MS;

/**
 * The maximum downtime of a long-running task whose worker is lost while one leader stays active,
 * in milliseconds: the leader may send one more renewal, and the lease of that must expire.
 */
export const MAX_DOWNTIME_MS = ACK_WAIT_MS + withClockDrift(LEASE_MS) + REACTION_MS;

/** The maximum downtime after the newest record of a leader that is lost with the worker. */
export const MAX_TAKEOVER_DOWNTIME_MS = withClockDrift(CONFIRMED_LEASE_MS) + REACTION_MS;
