import { randomBytes, randomInt } from 'node:crypto';
import { clampedStartRate } from '@redwingcrank/jobs';
import type { KeyedLog } from '../keyed-log.js';
import type { NodeLog } from '../node-log.js';
import type { NodeSettings } from '../node-settings.js';
import type { PlatformPort } from '../platform-port.js';
import { ClaimOrder } from './claim-order.js';
import { ClaimBackoff, STORE_QUEUE_MS } from './claim-backoff.js';
import type { ConfigWatch } from './config-watch.js';
import { Pause, delay, steadyMs } from './delay.js';
import { FaultLog } from './fault-log.js';
import { HandOver } from './hand-over.js';
import type { KeyedFollower } from './keyed-follower.js';
import { OfferSender } from './offer-sender.js';
import type { WorkFollower } from './work-follower.js';
import { LeaderWatch } from './leader-watch.js';
import type { StoredClaim } from './leader-writer.js';
import { LEADER_WRITER, LeaderWriter } from './leader-writer.js';
import { LeaderTerm } from './leader-term.js';
import { LeaseDelegate } from './lease-delegate.js';
import { hasDelegates } from './lease-grants.js';
import { PrefetchedLog } from './prefetched-log.js';
import {
  CLAIM_LEASE_MS,
  CLAIM_SPREAD_MS,
  CONFIRMED_LEASE_MS,
  LEADER_SILENT_MS,
  FAST_READ_MS,
  SLOW_LEADER_SILENT_MS,
  STANDBY_PRIORITY_MS,
  DEFAULT_LEASE_MS,
  withClockDrift,
} from './timing.js';
import { UnreadJobsDelay } from './unread-jobs-delay.js';
import { Watchers } from './watchers.js';
import type { WaveView } from './wave-view.js';
import type { LeaderRecord, OfferRecord } from './work-records.js';
import { encodeLeader, isLeaderKey, leaderKey } from './work-records.js';
import type { WorkTable } from './work-table.js';

/** Interval of checks whether leadership is vacant, in milliseconds. */
const CHECK_INTERVAL_MS = 100;

/**
 * A view older than this does not show whether the leader is silent, in milliseconds, as the store
 * may be silent instead. While nothing is written, the pause between two reads and the wait of the
 * second one make the view 650 ms old. The bound is below `LEADER_SILENT_MS`, so a leader counts as
 * silent only after a read has found nothing new since.
 */
const MAX_VIEW_AGE_MS = 900;

/**
 * Upper limit of the same bound where reads take longer. With a store that takes 150 ms per call,
 * every view exceeds the other bound between two reads, and a dead leader would never be replaced.
 */
const MAX_SLOW_VIEW_AGE_MS = 3_000;

/**
 * Records of the leader with gaps up to this are regular, in milliseconds: the interval of its idle
 * writes, the pause between two reads, and some tens of milliseconds for both calls.
 */
const REGULAR_GAP_MS = 600;

/** How long after an outage of the store nodes count the leader's silence alike, in milliseconds. */
const RETURNED_STORE_MS = 5_000;

/**
 * Upper bound of the random sequence numbers of claims; they are random so that two claims of one
 * epoch differ.
 */
const MAX_FIRST_SEQUENCE = 1_000_000_000;

/**
 * Factor from a refused epoch to the next claim when the epoch that the store knows cannot be read.
 */
const EPOCH_JUMP_FACTOR = 16;

/** A claim that the store has refused because it knew this epoch or a higher one. */
interface RefusedClaim {
  readonly epoch: number;
  /** On the steady clock. */
  readonly atMs: number;
}

/** A claim that was sent; it is kept until the work log shows which node became leader. */
interface Claim extends StoredClaim {
  readonly record: LeaderRecord;
  /**
   * The log of the workers' entries; with a slow store its first page is requested together with
   * the claim.
   */
  readonly workerLog: KeyedLog;
}

/**
 * Determines when this node is leader. The store decides: a claim is an append with a higher epoch.
 * Of two claims of one epoch the store refuses the second, as their sequence numbers differ. After
 * a claim it refuses appends of the previous leader, and workers refuse orders of that leader once
 * they have seen the new epoch as a fencing token. The claim does not depend on the end of the log:
 * while callers' jobs are appended, a slow store would hardly ever find the log at the expected
 * end.
 */
export class Leadership {
  readonly #port: PlatformPort;

  readonly #settings: NodeSettings;

  readonly #log: NodeLog;

  readonly #table: WorkTable;

  readonly #work: WorkFollower;

  readonly #follower: KeyedFollower;

  readonly #config: ConfigWatch;

  readonly #faults: FaultLog;

  readonly #claimOrder: ClaimOrder;

  readonly #unreadJobsDelay: UnreadJobsDelay;

  readonly #handOver: HandOver;

  readonly #offers: OfferSender;

  readonly #watch: LeaderWatch | undefined;

  readonly #watchers: Watchers | undefined;

  readonly #delegate: LeaseDelegate;

  /** The pause between two checks whether leadership is vacant. */
  readonly #checkPause = new Pause();

  readonly #stopping = new AbortController();

  /** The claims that were sent, by nonce: a claim without an answer may be stored seconds later. */
  readonly #claims = new Map<string, Claim>();

  readonly #claimBackoff = new ClaimBackoff();

  #refused: RefusedClaim | undefined;

  /** Whether the latest claim got no answer and no leader record was read since. */
  #isUnanswered = false;

  #term: LeaderTerm | undefined;

  readonly #startedMs = steadyMs();

  /** When the view was last too old to show whether the leader is silent, on the steady clock. */
  #staleViewMs = -Infinity;

  /**
   * Additional silence of the leader before a claim, so that a node that was just replaced lets
   * others claim first.
   */
  #extraSilentMs = 0;

  /** When this node last was not leader or had read the jobs, on the steady clock. */
  #notUnreadMs = -Infinity;

  /** The earliest time of the next claim; a record of another leader resets it. */
  #nextClaimMs = -Infinity;

  constructor(
    port: PlatformPort,
    settings: NodeSettings,
    log: NodeLog,
    table: WorkTable,
    work: WorkFollower,
    config: ConfigWatch,
    faults = new FaultLog(log),
  ) {
    this.#port = port;
    this.#settings = settings;
    this.#log = log;
    this.#table = table;
    this.#work = work;
    this.#follower = work.workLog;
    this.#config = config;
    this.#faults = faults;
    this.#claimOrder = new ClaimOrder(settings.cores);
    this.#unreadJobsDelay = new UnreadJobsDelay(work, log);
    this.#handOver = new HandOver(settings.node, this.#claimOrder);
    const { signal } = this.#stopping;
    this.#offers = new OfferSender(port.workLog, log, work, this.#handOver, signal);
    this.#delegate = new LeaseDelegate(port.workers, settings, log);
    if (port.peers) {
      this.#watch = new LeaderWatch(port.peers, log, {
        isReady: () => work.hasRecentJobs,
        onProcessEnd: () => this.#checkPause.end(),
        onLinked: (link) => this.#delegate.linked(link),
      });
      this.#watchers = new Watchers(port.peers);
    }
    table.changes$.subscribe((change) => {
      if (change.kind === 'leader') this.#leaderSeen(change.leader);
    });
    table.offers$.subscribe((offer) => this.#offerSeen(offer));
  }

  get isLeading(): boolean {
    return this.#term !== undefined;
  }

  /** How many runs are left in evacuated data centres; undefined unless this node schedules. */
  get evacuatedRuns(): number | undefined {
    return this.#term?.evacuatedRuns;
  }

  /** The waves of maintenance; undefined unless this node schedules. */
  get waves(): readonly WaveView[] | undefined {
    return this.#term?.waves;
  }

  async run(): Promise<void> {
    while (!this.#stopping.signal.aborted) {
      await this.#checkPause.wait(CHECK_INTERVAL_MS);
      if (this.#stopping.signal.aborted) return;
      this.#handOverUnlessJobsAreRead();
      if (!this.#isLeadershipVacant()) {
        if (!this.#term) this.#offers.sendWhenDue(MAX_VIEW_AGE_MS);
      } else if (!this.#unreadJobsDelay.putsOffClaim(this.#table)) await this.#claimLeadership();
    }
  }

  async stop(): Promise<void> {
    this.#stopping.abort();
    this.#checkPause.end();
    this.#watch?.stop();
    this.#delegate.stop();
    await this.#term?.resign();
  }

  #isLeadershipVacant(): boolean {
    if (this.#stopping.signal.aborted || this.#term) return false;
    const nowMs = steadyMs();
    if (nowMs < this.#nextClaimMs) return false;
    if (this.#hasLeaderProcessEnded(nowMs)) return true;
    const { completeAsOfMs, expectedAgeMs } = this.#follower;
    const ageMs = nowMs - completeAsOfMs;
    if (ageMs > Math.max(MAX_VIEW_AGE_MS, Math.min(expectedAgeMs, MAX_SLOW_VIEW_AGE_MS))) {
      this.#staleViewMs = nowMs;
      return false;
    }
    const { leader, leaderSeenMs } = this.#table;
    if (leader?.resigned)
      return nowMs >= this.#handOver.successorPriorityEndMs(leader, leaderSeenMs);
    if (!leader || this.#mayClaimImmediately(leader)) return true;
    // After a silence of the store this node may read again before the leader can write again.
    // Counted from its last record, a healthy leader would be considered dead at that moment.
    const sinceMs = Math.max(leaderSeenMs, this.#startedMs, this.#staleViewMs);
    // The view may not be up to date. The read that confirms the vacancy before a claim is, and
    // requires an answer of the store.
    return nowMs - sinceMs > this.#silentLimitMs() + this.#extraSilentMs;
  }

  /**
   * Whether the leader's process is known to have ended. The view may be old: if another node has
   * claimed since, the store refuses a claim of the same epoch.
   */
  #hasLeaderProcessEnded(nowMs: number): boolean {
    const { leader } = this.#table;
    if (!leader || leader.resigned || this.#follower.isLost) return false;
    return this.#watch?.hasProcessEnded(leader, nowMs) ?? false;
  }

  #silentLimitMs(): number {
    const { leader, leaderGapMs } = this.#table;
    if (this.#hasStoreReturned) {
      return this.#claimOrder.yieldsToLarger ? SLOW_LEADER_SILENT_MS : LEADER_SILENT_MS;
    }
    // The first record of a leader is queued behind the claims that were sent at the same time. If
    // the leader were considered dead for that, the first record of its replacement would wait in
    // the same way.
    const queueMs = leader?.number === 0 && this.#claimBackoff.isQueueing ? STORE_QUEUE_MS : 0;
    return (leaderGapMs <= REGULAR_GAP_MS ? LEADER_SILENT_MS : SLOW_LEADER_SILENT_MS) + queueMs;
  }

  /**
   * Whether the view was too old until recently and the store is fast again. The gaps between the
   * leader's records that a node has seen before an outage then tell nothing: they differ by more from
   * node to node than small nodes wait for large ones.
   */
  get #hasStoreReturned(): boolean {
    const { recentReadMs, isLost } = this.#follower;
    const sinceMs = steadyMs() - this.#staleViewMs;
    return sinceMs < RETURNED_STORE_MS && recentReadMs <= FAST_READ_MS && !isLost;
  }

  /**
   * Whether this node may claim without waiting: the leader has named it as its successor, or as
   * its standby and its process has ended, or the leader on record is an earlier incarnation of
   * this node. That one has certainly ended, and after a power failure of all nodes the others
   * would wait for it in vain. A small node waits with the others anyway: larger nodes may be alive
   * and consider its earlier incarnation dead only later. So does a node that has not read the jobs.
   */
  #mayClaimImmediately(leader: LeaderRecord): boolean {
    if (!this.#work.hasRecentJobs) return false;
    if (this.#handOver.isSuccessor(leader)) return true;
    if (leader.standby === this.#settings.node && this.#hasLeaderProcessEnded(steadyMs()))
      return true;
    const isOwn = leader.node === this.#settings.node && !this.#handOver.hasHandedOver(leader);
    return isOwn && !this.#claimOrder.yieldsToLarger;
  }

  /** Whether other nodes are to claim first; this one looks for their claims again after its wait. */
  get #yieldsToOthers(): boolean {
    return this.#claimOrder.yieldsToLarger || !this.#work.hasRecentJobs;
  }

  #offerSeen(offer: OfferRecord): void {
    const nowMs = steadyMs();
    this.#handOver.offerSeen(offer, nowMs);
    if (!this.#term || !this.#handOver.isAccepted(offer, nowMs)) return;
    const { node, cores, epoch } = offer;
    this.#log.emit('info', 'hand-over', { epoch, successor: node, cores });
    this.#handOver.handedOver(epoch);
    this.#term.resign(node);
  }

  /**
   * Hands over leadership if this node cannot read the callers' jobs, without which it starts no
   * task, and another node that has read them can lead.
   */
  #handOverUnlessJobsAreRead(): void {
    const nowMs = steadyMs();
    const term = this.#term;
    if (!term || this.#work.isLoaded) {
      this.#notUnreadMs = nowMs;
      return;
    }
    const { token: epoch } = term;
    const successor = this.#watchers?.standby;
    if (successor === undefined) return;
    if (!this.#handOver.isDueForUnreadJobs(epoch, nowMs - this.#notUnreadMs, nowMs)) return;
    this.#log.emit('info', 'hand-over', { epoch, successor, reason: 'jobs-unread' });
    this.#handOver.handedOver(epoch);
    term.resign(successor);
  }

  async #claimLeadership(): Promise<void> {
    const { leader } = this.#table;
    const isImmediate = leader !== undefined && this.#mayClaimImmediately(leader);
    const { leaderGapMs } = this.#table;
    const vacancy = { leader, leaderGapMs, hasClaimed: this.#isUnanswered };
    const standbyPriorityMs = this.#hasLeaderProcessEnded(steadyMs())
      ? this.#standbyPriorityMs(leader)
      : 0;
    const waitMs = isImmediate ? 0 : standbyPriorityMs + this.#claimOrder.waitMs(vacancy);
    // The read that confirms the vacancy is part of the wait: with a slow store, both together take
    // too long for the leases that the new leader has to renew. Nodes that yield to others read at
    // the end of the wait, to see their claims.
    const finalReadMs = this.#yieldsToOthers ? 0 : this.#follower.recentReadMs;
    await delay(Math.max(0, waitMs - finalReadMs), this.#stopping.signal);
    if (!this.#isLeadershipVacant() || !(await this.#isVacancyConfirmed())) return;
    const before = this.#table.leader;
    if (this.#hasLeaderProcessEnded(steadyMs())) this.#watch?.claimed(steadyMs());
    const record = this.#newRecord(before);
    this.#table.formerLeases.claiming(record.nonce);
    const sequence = randomInt(MAX_FIRST_SEQUENCE);
    const sentMs = steadyMs();
    const workerLog = this.#workerLog();
    this.#claims.set(record.nonce, { record, epoch: record.epoch, sequence, sentMs, workerLog });
    const write = { key: leaderKey(), value: encodeLeader(record) };
    const stamp = { writer: LEADER_WRITER, epoch: record.epoch, sequence };
    // A claim that was sent while the store was silent is not repeated when the store recovers: it
    // would replace a healthy leader.
    const appending = this.#port.workLog.append([write], { stamp, isOnce: true });
    // A read that waits at the store returns the claim as soon as it is stored; a read after the
    // answer would return it one call later.
    this.#follower.endPause();
    const { outcome, reason } = await appending;
    const { epoch } = record;
    this.#log.emit('info', 'claim', { epoch, before: before?.node, outcome, reason });
    if (outcome === 'fenced' || outcome === 'out-of-sequence') {
      this.#refused = { epoch, atMs: steadyMs() };
    }
    this.#isUnanswered = outcome === 'unknown';
    this.#nextClaimMs = steadyMs() + this.#claimBackoff.pauseMs(outcome, sentMs);
    // The log shows the outcome of every claim, including unanswered ones.
    this.#follower.endPause();
  }

  #newRecord(before: LeaderRecord | undefined): LeaderRecord {
    return {
      epoch: this.#nextEpoch(before),
      node: this.#settings.node,
      nonce: randomBytes(6).toString('hex'),
      resigned: false,
      leasesMs: CLAIM_LEASE_MS,
      formerMs: this.#formerMs(before),
      silent: {},
      number: 0,
      cores: this.#claimOrder.cores,
      largestCores: this.#claimOrder.largestCores,
      ...this.#ownProcess(),
      ...this.#formerStartRate(before),
      ...(this.#port.peers && hasDelegates(this.#settings) && { delegates: true }),
    };
  }

  /**
   * Returns the rate of starts that the record of the former leader states, in proportion to the
   * processor time of both nodes. Until this node has measured its own, other nodes would accept
   * jobs without limit otherwise, and as leaders change under load, most of all when there is a
   * backlog.
   */
  #formerStartRate(before: LeaderRecord | undefined): Pick<LeaderRecord, 'startsPerSecond'> {
    if (before?.startsPerSecond === undefined) return {};
    const { cores } = this.#claimOrder;
    const rate = (before.startsPerSecond * cores) / (before.cores || cores);
    return { startsPerSecond: clampedStartRate(rate) };
  }

  /** Returns how long other nodes leave the claim to the standby that the leader has named. */
  #standbyPriorityMs(leader: LeaderRecord | undefined): number {
    return leader?.standby === undefined
      ? 0
      : STANDBY_PRIORITY_MS + 2 * this.#follower.recentReadMs;
  }

  /**
   * Returns the log of the workers' entries, prefetched if the store is slow. With a fast store,
   * prefetching is not worth another call for each refused claim.
   */
  #workerLog(): KeyedLog {
    const { workerLog } = this.#port;
    return this.#follower.recentReadMs > FAST_READ_MS ? new PrefetchedLog(workerLog) : workerLog;
  }

  #ownProcess(): Pick<LeaderRecord, 'process'> {
    const { peers } = this.#port;
    return peers?.address ? { process: { address: peers.address, id: peers.self.processId } } : {};
  }

  /**
   * Returns the epoch of the leader plus one. If the store has refused that epoch, the record of a
   * later leader is usually about to be read. If a read since then has found none, that record
   * cannot be read, and the store would refuse the same epoch forever; a much higher epoch exceeds
   * the one of the store after a claim or two.
   */
  #nextEpoch(leader: LeaderRecord | undefined): number {
    const next = (leader?.epoch ?? 0) + 1;
    const refused = this.#refused;
    if (!refused || refused.epoch < next || this.#follower.completeAsOfMs < refused.atMs)
      return next;
    return refused.epoch * EPOCH_JUMP_FACTOR;
  }

  /**
   * Asks the store again whether the leader has written nothing. The view may be up to date from a
   * read that was answered just before the store fell silent. In that case the leader has lost only
   * the store, and a claim that is stored when the store recovers would replace a healthy leader. A
   * store that answers now would have accepted the leader's records. The read shows claims of other
   * nodes as well.
   */
  async #isVacancyConfirmed(): Promise<boolean> {
    const { leader } = this.#table;
    const { next } = this.#follower;
    const hasTermEnded = leader && (leader.resigned || this.#mayClaimImmediately(leader));
    if ((hasTermEnded && !this.#yieldsToOthers) || next === undefined) return true;
    try {
      const { records } = await this.#port.workLog.read(next, 0);
      return this.#isLeadershipVacant() && !records.some(({ key }) => isLeaderKey(key));
    } catch (err) {
      this.#log.emit('info', 'claim-put-off', reasonOf(err));
      return false;
    }
  }

  /**
   * Returns how long leases may last after the claim is stored, which may be seconds after it was
   * sent: as long as if the current leader had renewed them until then. A leader whose record
   * cannot be read may have granted the longest leases.
   */
  #formerMs(current: LeaderRecord | undefined): number {
    const unknownTermMs = this.#refused ? DEFAULT_LEASE_MS : 0;
    const leasesMs = current?.leasesMs ?? unknownTermMs;
    const currentMs = withClockDrift(Math.max(leasesMs, CONFIRMED_LEASE_MS));
    return Math.max(currentMs, this.#table.formerLeases.allEndMs - steadyMs());
  }

  #leaderSeen(leader: LeaderRecord): void {
    this.#nextClaimMs = -Infinity;
    this.#isUnanswered = false;
    this.#claimOrder.leaderSeen(leader);
    this.#watch?.leaderSeen(leader);
    this.#delegate.leaderSeen(leader);
    if (this.#handOver.leaderSeen(leader, steadyMs())) {
      this.#log.emit('warn', 'hand-over-missed', { epoch: leader.epoch, leader: leader.node });
    }
    const claim = this.#claims.get(leader.nonce);
    if (!claim || leader.resigned || this.#term) return;
    this.#claims.clear();
    if (this.#stopping.signal.aborted) {
      this.#resignClaim(leader, claim).catch((err) => this.#termFailed(err));
      return;
    }
    const term = new LeaderTerm(leader, claim, {
      port: { ...this.#port, workerLog: claim.workerLog },
      settings: this.#settings,
      log: this.#log,
      table: this.#table,
      work: this.#work,
      config: this.#config,
      faults: this.#faults,
      watchers: this.#watchers,
    });
    this.#term = term;
    this.#work.setLeading(true);
    // The term starts after all subscribers have received this record, with the table up to it.
    setImmediate(() => this.#runTerm(term));
  }

  /**
   * Resigns a claim that was stored after this node began to stop. A term could not be run to its
   * end, and other nodes would wait for it as long as it renews its records. The record states that
   * no lease was granted under the claim, so that no node waits for one.
   */
  async #resignClaim(leader: LeaderRecord, claim: StoredClaim): Promise<void> {
    const writer = new LeaderWriter(this.#port.workLog, this.#log, claim);
    const formerMs = Math.max(0, Math.ceil(this.#table.formerLeases.allEndMs - steadyMs()));
    const record = { ...leader, resigned: true, leasesMs: 0, formerMs, number: 1 };
    const write = { key: leaderKey(), value: encodeLeader(record) };
    if (await writer.write([write])) this.#log.emit('info', 'resigned', { epoch: leader.epoch });
  }

  #termFailed(err: unknown): void {
    const reason = err instanceof Error ? (err.stack ?? err.message) : String(err);
    this.#log.emit('error', 'term-failed', { reason });
  }

  async #runTerm(term: LeaderTerm): Promise<void> {
    try {
      await this.#work.whenWorkLogLoaded(this.#stopping.signal);
      await term.run(this.#work.whenStartedJobsLoaded(this.#stopping.signal));
    } catch (err) {
      this.#termFailed(err);
    }
    this.#term = undefined;
    this.#work.setLeading(false);
    this.#extraSilentMs = CLAIM_SPREAD_MS;
  }
}

function reasonOf(err: unknown): { readonly reason: string } {
  return { reason: err instanceof Error ? err.message : String(err) };
}
