/**
 * The times on which the safety of scheduling rests, in milliseconds unless said otherwise.
 */

/** A worker's clock runs this much slower than true time at most (the platform's figure: 2%). */
export const CLOCK_SLACK = 1.021;

/** Between reading a clock and using the reading, generously. */
export const CLOCK_MARGIN_MS = 100;

/**
 * No lease is longer, whatever the platform allows. The tasks of a worker that vanished wait until
 * its leases are over; with ten seconds a signal watch was silent for eleven. Together with
 * `UNCONFIRMED_MS` it lets work outlast a store that is away for nine seconds.
 */
export const LEASE_MS = 6_000;

/** The scheduling node writes at least this often, so that the others see that it lives. */
export const LEADER_WRITE_MS = 250;

/**
 * A leader that has written nothing for so long is replaced, where its writes were seen regularly
 * before: three of them missed, and the time of a read. Each tenth of a second more is one in which
 * no job of any caller begins.
 */
export const LEADER_SILENT_MS = 1_100;

/**
 * The same where its writes were far apart lately: with a store that takes some hundred
 * milliseconds for an answer, a claim only stands in the way of the leader that it takes for dead.
 */
export const SLOW_LEADER_SILENT_MS = 1_700;

/** Claims of several nodes are spread over this time, so that the first one is seen by the rest. */
export const CLAIM_SPREAD_MS = 400;

/**
 * How long a leader renews leases without a word from the store. With the lease that follows, an
 * outage of nine seconds ends no work. A later leader that cannot reach a worker waits this long
 * before it takes that worker's leases to be running out: lasting tasks that were there are away
 * all the while, so longer would be worse.
 */
export const UNCONFIRMED_MS = 3_000;

/** A start that has not reached its worker within this time takes no effect there any more. */
export const START_WINDOW_MS = 1_500;

/** How long one renewal waits at the worker for an end to report. */
export const RENEW_WAIT_MS = 1_000;

/** The same for a worker on which nothing runs. */
export const IDLE_RENEW_WAIT_MS = 2_000;

/** The pause after a renewal that got no answer. */
export const RENEW_RETRY_MS = 150;

/** A start without an answer is sent again so often before it is left to the reports. */
export const START_ATTEMPTS = 3;

/** A run's progress may stand still for so long before it is taken to hang. */
export const STANDSTILL_MS = 2_500;

/** A stop whose run is still listed after so long is sent again. */
export const STOP_AGAIN_MS = 1_200;

/**
 * While an append is under way, stops that fall due are looked for so often. An append usually takes
 * 10 ms, so this costs nothing but where its answer is late or lost.
 */
export const STOP_LOOK_MS = 100;

/** The latest that the scheduling node looks at everything again without being told to. */
export const ROUND_MS = 250;

/** Inputs that arrive within this time are decided on together. */
export const GATHER_MS = 3;
