/** Time bounds that the safety of scheduling depends on, in milliseconds unless noted. */

/** Bound on how much slower than true time a worker's clock runs; the platform specifies 2%. */
export const CLOCK_DRIFT_FACTOR = 1.021;

/** Generous allowance for the time between reading a clock and using the reading. */
export const CLOCK_MARGIN_MS = 100;

/**
 * Longest lease, even where the platform allows more. The tasks of a worker that disappears are
 * restarted only after its leases expire; with ten seconds, a monitoring task was down for eleven.
 */
export const LEASE_MS = 6_000;

/**
 * No lease ends later than this after the leader sent the newest append that the store has
 * confirmed. A later leader that cannot contact a worker waits no longer than this, counted from
 * the newest record of the previous leader. Users regard a long-running task that is down for nine
 * seconds as lost, and reading that record, the next round and the start can take a second
 * together. The value also bounds how long the store may be unavailable before running tasks end.
 */
export const CONFIRMED_LEASE_MS = 7_600;

/**
 * The same bound for a claim of leadership, until the first append of the term is confirmed: the
 * length of one lease. With four seconds, all running tasks are lost when the answers of the store
 * are lost for five. A higher value would delay the tasks of workers that a leader never contacted
 * before it was itself replaced.
 */
export const CLAIM_LEASE_MS = 6_000;

/** Longest lease of nodes whose records do not state how long their leases last. */
export const DEFAULT_LEASE_MS = 9_000;

/**
 * Returns the time after which a lease of this length has expired even on the slowest worker clock.
 */
export function withClockDrift(leaseMs: number): number {
  return leaseMs * CLOCK_DRIFT_FACTOR + CLOCK_MARGIN_MS;
}

/** Returns the longest lease that has surely expired after this time: inverts `withClockDrift`. */
export function withoutClockDrift(elapsedMs: number): number {
  return (elapsedMs - CLOCK_MARGIN_MS) / CLOCK_DRIFT_FACTOR;
}

/** A live worker answers its first renewal within this time. */
export const FIRST_ANSWER_MS = 300;

/**
 * Longest time that a renewal waits at the worker while at most half of the usual lease may be
 * granted, so that the next renewal follows soon after the store confirms more.
 */
export const SHORT_RENEW_WAIT_MS = 300;

/**
 * A worker that missed a renewal and has not answered for this long is listed as silent in the
 * leader's record, and gets no lease until a record that does not list it is stored. A worker with
 * running tasks answers every second, and within another 150 ms if its connection was reset.
 */
export const SILENT_WORKER_MS = 1_200;

/**
 * Maximum number of silent workers listed in a record: about 50 KB, a fifth of the largest record.
 */
export const MAX_SILENT_NAMED = 2_000;

/**
 * With more silent workers than this, the leader's record accompanies an append only every quarter
 * of a second. Every node reads every append, about forty a second: with a hundred workers listed
 * that is 0.1 MB per second, a tenth of the capacity of the smallest link.
 */
export const COMPACT_RECORD_MAX_SILENT = 100;

/** The leader writes at least this often to show the other nodes that it is alive. */
export const LEADER_WRITE_INTERVAL_MS = 250;

/**
 * A leader whose writes were regular is replaced after it has written nothing for this long: three
 * missed writes plus the time of a read. During each further tenth of a second no new job starts.
 */
export const LEADER_SILENT_MS = 1_100;

/**
 * The same timeout where the leader's writes were recently far apart: with a store that takes some
 * hundred milliseconds per answer, a claim only delays a leader that is still alive.
 */
export const SLOW_LEADER_SILENT_MS = 1_700;

/** Claims of several nodes are spread over this time so that the others see the first one. */
export const CLAIM_SPREAD_MS = 400;

/**
 * The same spread for large nodes, which are few and read a leader's last record at different
 * times.
 */
export const LARGE_CLAIM_SPREAD_MS = 60;

/**
 * Delay by which much smaller nodes claim later than large ones. A large node reads the leader's
 * last record up to 260 ms after a small one, checks up to 100 ms later whether leadership is
 * vacant, and waits a random time of up to 60 ms; 30 ms remain for storing its claim.
 */
export const SMALL_NODE_CLAIM_DELAY_MS = 450;

/**
 * A node that has not read the callers' jobs leaves the claim for this long to nodes that have, also
 * to small ones. With a longer delay, leases of six seconds would end before a node without the jobs
 * renews them.
 */
export const UNREAD_JOBS_CLAIM_DELAY_MS = 1_250;

/**
 * A leader that has not read the callers' jobs for this long hands over leadership to its standby.
 * By then it has renewed the leases of the workers that it can contact.
 */
export const UNREAD_TERM_MS = 2_000;

/**
 * A leader that has not read the jobs does not hand over within this time after another hand-over:
 * leases would expire while leadership goes back and forth.
 */
export const UNREAD_HAND_OVER_INTERVAL_MS = 10_000;

/**
 * After the leader's process has ended, the other nodes leave the claim to the standby that the
 * leader has named for this long plus two reads of the store: one precedes its claim, the other
 * shows it.
 */
export const STANDBY_PRIORITY_MS = 100;

/**
 * Offers to take over leadership are made and accepted at the earliest this long after the leader's
 * claim. By then the leases of the previous term have expired or were renewed, so no worker goes
 * through two changes of leader without a renewal.
 */
export const HAND_OVER_MIN_TERM_MS = 8_000;

/**
 * No offer is accepted for this long after a successor failed to take over, and for this much
 * longer after each further failure: any client may have written such an offer, and each one costs
 * the time of a claim.
 */
export const HAND_OVER_BACKOFF_MS = 60_000;

/**
 * A larger node repeats its offer, or follows another node's offer, at the earliest after this
 * time.
 */
export const OFFER_INTERVAL_MS = 5_000;

/** Offers of several nodes are spread over this time so that the others see the first one. */
export const OFFER_SPREAD_MS = 2_000;

/**
 * A node makes no offer to take over leadership while a read of the store takes longer than this.
 */
export const FAST_READ_MS = 150;

/**
 * The other nodes leave the claim to the successor that a leader has named for this long. The
 * successor reads the record up to 260 ms late and checks for a vacancy up to 100 ms later, and the
 * others read its claim up to 260 ms after that.
 */
export const SUCCESSOR_PRIORITY_MS = 800;

/**
 * A start that has not arrived at its worker within this time has no effect; the window is shorter
 * where the views that the start is based on are old.
 */
export const START_WINDOW_MS = 1_500;

/**
 * No start is sent with a shorter window than this: a busy worker would reject it as too late, and
 * its task would have to be bound and stored again.
 */
export const MIN_START_WINDOW_MS = 250;

/** How long one renewal waits at the worker for an ended run to report. */
export const RENEW_WAIT_MS = 1_000;

/**
 * The same wait for a worker on which nothing runs. A worker gets no tasks after it has not
 * answered for 1.8 s. With a wait of two seconds, every idle worker is unavailable for a tenth of
 * the time, and a job that arrives then starts a quarter of a second late. The difference to 1.8 s
 * is left for the calls and for delays on a busy node.
 */
export const IDLE_RENEW_WAIT_MS = 1_600;

/** Pause after a renewal that got no answer. */
export const RENEW_RETRY_MS = 150;

/**
 * How many times a start without an answer is sent; after that the reports of the worker decide.
 */
export const START_ATTEMPTS = 3;

/** A run whose progress has stalled for this long is considered hung. */
export const STALL_TIMEOUT_MS = 2_500;

/** A stop is sent again when its run is still listed after this time. */
export const STOP_RETRY_MS = 1_200;

/**
 * Interval of checks for due stops while an append is in flight. An append usually takes 10 ms, so
 * the checks cost nothing unless its answer is late or lost.
 */
export const STOP_POLL_INTERVAL_MS = 100;

/**
 * An acknowledgement is sent at most this long after the report that lists its ends. A worker that
 * has restarted under its id since would forget ends of its own, but until it has any takes longer.
 * Storing the changes that follow from a report usually takes less.
 */
export const MAX_ACK_AGE_MS = 600;

/** The leader re-checks everything at least this often, even when nothing was reported. */
export const MAX_ROUND_INTERVAL_MS = 250;

/** Inputs that arrive within this time are handled in one round. */
export const INPUT_BATCH_MS = 3;

/**
 * Longest time that a round searches for placements. The search cannot be interrupted: no lease is
 * renewed and no stop is sent meanwhile. On a node with a third of a core, the other parts of a
 * round take up to three times as long, and the whole round up to half of the time in which the
 * node's own record is due.
 */
export const PLACEMENT_BUDGET_MS = 30;

/**
 * After a round, the node leaves as much time for its links and records as the round took, up to
 * this limit, as the next round writes the node's own record. With back-to-back rounds, a node with
 * a third of a core contacts only twenty of 440 workers per second, and the leases of the others
 * expire.
 */
export const MAX_ROUND_PAUSE_MS = 250;

/**
 * Longest time that sending the queued starts may take; starts that turn out to be urgent queue
 * behind them.
 */
export const MAX_UNSENT_STARTS_MS = 1_000;
