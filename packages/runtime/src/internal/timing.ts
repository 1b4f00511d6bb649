/**
 * The times on which the safety of scheduling rests, in milliseconds unless said otherwise.
 */

/** A worker's clock runs this much slower than true time at most (the platform's figure: 2%). */
export const CLOCK_DRIFT_FACTOR = 1.021;

/** Between reading a clock and using the reading, generously. */
export const CLOCK_MARGIN_MS = 100;

/**
 * No lease is longer, whatever the platform allows. The tasks of a worker that vanished wait until
 * its leases are over; with ten seconds a signal watch was silent for eleven.
 */
export const LEASE_MS = 6_000;

/**
 * No lease ends later than this after the scheduling node sent the newest append that the store has
 * confirmed. A later node that cannot ask a worker waits no longer, counted from the newest record
 * of the one before. Users take a lasting task that is away for nine seconds for lost, and reading
 * that record, the next round and the start may take a second together. It bounds, too, for how long
 * a store may be away before work ends.
 */
export const CONFIRMED_LEASE_MS = 7_600;

/**
 * The same for a claim of the role, until the first append of the term is confirmed: as long as one
 * lease. With four seconds everything that ran was lost where the answers of the store were lost for
 * five; with more, a node that is replaced at once would hold up for longer what it never reached.
 */
export const CLAIM_LEASE_MS = 6_000;

/** Nodes whose records do not say how long their leases last gave them for so long at most. */
export const DEFAULT_LEASE_MS = 9_000;

/** A lease of this length is over after so long, on the slowest clock of a worker too. */
export function withClockDrift(leaseMs: number): number {
  return leaseMs * CLOCK_DRIFT_FACTOR + CLOCK_MARGIN_MS;
}

/** A worker that lives has answered its first renewal by then, in milliseconds. */
export const FIRST_ANSWER_MS = 300;

/**
 * While only half of the usual lease may be given or less, a renewal waits no longer than this at
 * the worker, so that the next one comes soon after the store has confirmed more.
 */
export const SHORT_RENEW_WAIT_MS = 300;

/**
 * A worker that missed a renewal and has not answered for so long is named in the record of the
 * scheduling node, and gets no lease until a record without it is stored. Where something runs a
 * worker answers each second, and one whose connection was reset within the next 150 ms.
 */
export const SILENT_WORKER_MS = 1_200;

/** So many silent workers are named at most: some 50 KB, a fifth of the largest record. */
export const MAX_SILENT_NAMED = 2_000;

/**
 * With more silent workers than this the scheduling node's record goes with an append each quarter of
 * a second only. Every node reads each append, some forty a second: with a hundred workers named that
 * is 0.1 MB a second, a tenth of what the smallest link carries.
 */
export const COMPACT_RECORD_MAX_SILENT = 100;

/** The scheduling node writes at least this often, so that the others see that it lives. */
export const LEADER_WRITE_INTERVAL_MS = 250;

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

/** The same of large nodes, which are few, and read a leader's last record at different times. */
export const LARGE_CLAIM_SPREAD_MS = 60;

/**
 * Much smaller nodes claim so much later than large ones. A large node reads the leader's last record
 * up to 260 ms after a small one, looks up to 100 ms later whether the role is free, and draws up to
 * 60 ms; 30 ms are left for its claim to be stored.
 */
export const SMALL_NODE_CLAIM_DELAY_MS = 450;

/**
 * After the leader's process has ended the others leave the claim to the node that it has named, for
 * so long beyond two reads of the store: the first is its claim's, the second shows it.
 */
export const STANDBY_PRIORITY_MS = 100;

/**
 * A leader hands the role on, and is offered that, this long after its claim at the earliest: leases
 * of the term before are over or renewed by then, so no worker goes two changes without a renewal.
 */
export const HAND_OVER_MIN_TERM_MS = 8_000;

/**
 * After a hand-over that its successor did not take up no offer is heeded for so long, and after each
 * further one for so much longer: such an offer may be anybody's record, and each costs the time of
 * a claim.
 */
export const HAND_OVER_BACKOFF_MS = 60_000;

/** A larger node repeats its offer, or follows another's, no sooner than this. */
export const OFFER_INTERVAL_MS = 5_000;

/** Offers of several nodes are spread over this time, so that the first is seen by the rest. */
export const OFFER_SPREAD_MS = 2_000;

/** With a store that takes longer than this for a read no node offers to take the role. */
export const FAST_READ_MS = 150;

/**
 * So long all others leave the claim to the successor that a leader has named. It reads that up to
 * 260 ms late, looks up to 100 ms later, and the others read its claim up to 260 ms after that.
 */
export const SUCCESSOR_PRIORITY_MS = 800;

/**
 * A start that has not reached its worker within this time takes no effect there any more; sooner
 * where the views that it rests on are old.
 */
export const START_WINDOW_MS = 1_500;

/**
 * No start is sent that must take effect sooner than this: a busy worker would refuse it as too late,
 * and its task would be bound and stored anew.
 */
export const MIN_START_WINDOW_MS = 250;

/** How long one renewal waits at the worker for an end to report. */
export const RENEW_WAIT_MS = 1_000;

/**
 * The same for a worker on which nothing runs. A worker gets no task once it has not answered for
 * 1.8 s. With a wait of two seconds every idle one was closed for a tenth of the time, and a job that
 * came just then began a quarter of a second late. What is left is for the calls, and a busy node.
 */
export const IDLE_RENEW_WAIT_MS = 1_600;

/** The pause after a renewal that got no answer. */
export const RENEW_RETRY_MS = 150;

/** A start without an answer is sent again so often before it is left to the reports. */
export const START_ATTEMPTS = 3;

/** A run's progress may stand still for so long before it is taken to hang. */
export const STALL_TIMEOUT_MS = 2_500;

/** A stop whose run is still listed after so long is sent again. */
export const STOP_RETRY_MS = 1_200;

/**
 * While an append is under way, stops that fall due are looked for so often. An append usually takes
 * 10 ms, so this costs nothing but where its answer is late or lost.
 */
export const STOP_POLL_INTERVAL_MS = 100;

/** The latest that the scheduling node looks at everything again without being told to. */
export const MAX_ROUND_INTERVAL_MS = 250;

/** Inputs that arrive within this time are decided on together. */
export const INPUT_BATCH_MS = 3;

/**
 * A round looks for places no longer than this. It is one piece of work: meanwhile no lease is
 * renewed and no stop is sent. On a node with a third of a core its other parts take up to three
 * times as long, and all together half of the time in which the node's own record is due.
 */
export const PLACEMENT_BUDGET_MS = 30;

/**
 * After a round the node leaves as much time to its links and records as the round took, and this
 * at most: the next one writes the node's own record. With rounds that follow each other at once, a
 * node with a third of a core reached twenty workers of 440 a second, and the others' leases ended.
 */
export const MAX_ROUND_PAUSE_MS = 250;

/**
 * Starts that are ordered and not sent yet take no longer than this to send. What turns out to be
 * urgent stands behind them.
 */
export const MAX_UNSENT_STARTS_MS = 1_000;
