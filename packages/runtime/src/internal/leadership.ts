import { randomBytes, randomInt } from 'node:crypto';
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
import type { WorkFollower } from './work-follower.js';
import { LeaderWatch } from './leader-watch.js';
import type { StoredClaim } from './leader-writer.js';
import { LEADER_WRITER } from './leader-writer.js';
import { LeaderTerm } from './leader-term.js';
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
import { Watchers } from './watchers.js';
import type { LeaderRecord, OfferRecord } from './work-records.js';
import { encodeLeader, encodeOffer, isLeaderKey, leaderKey, offerKey } from './work-records.js';
import type { WorkTable } from './work-table.js';

/** How often a node looks whether the scheduling role is free, in milliseconds. */
const LOOK_MS = 100;

/**
 * A view this old says nothing about whether the leader is silent, in milliseconds: it may be the
 * store that is. While nothing is written, the pause between two reads and the wait of the second
 * make it 650 ms old. Less than `LEADER_SILENT_MS`, so that only a read that has found nothing new
 * since makes a leader silent.
 */
const MAX_VIEW_AGE_MS = 900;

/**
 * The same at most where reads take longer. With a store that takes 150 ms for a call every view is
 * older than the other bound between two reads, and a dead leader was never replaced.
 */
const MAX_SLOW_VIEW_AGE_MS = 3_000;

/**
 * Records of the leader that come no further apart than this are regular, in milliseconds: one of
 * its idle writes, the pause between two reads, and some tens of milliseconds for both calls.
 */
const REGULAR_GAP_MS = 600;

/** Sequence numbers of claims are drawn below this, so that two claims of one epoch differ. */
const MAX_FIRST_SEQUENCE = 1_000_000_000;

/** By how much the next claim is higher where the epoch that the store knows cannot be read. */
const EPOCH_LEAP = 16;

/** A claim that the store has refused, as it knew this epoch or a higher one. */
interface RefusedClaim {
  readonly epoch: number;
  /** On the steady clock. */
  readonly atMs: number;
}

/** A claim that was sent, until the work log shows who got the role. */
interface Claim extends StoredClaim {
  readonly record: LeaderRecord;
  /** The workers' entries; with a slow store they are asked for with the claim. */
  readonly workerLog: KeyedLog;
}

/**
 * Decides when this node schedules. The store settles it: a claim is an append of a higher epoch.
 * Of two claims of one epoch it refuses the second, as their sequence numbers differ. From then on
 * it refuses the earlier leader's appends, and workers refuse that leader's orders once they have
 * seen the new epoch as a fencing token. The claim is not bound to the end of the log: while
 * callers' jobs are appended, a slow store would hardly ever find it where it was.
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

  readonly #order: ClaimOrder;

  readonly #handOver: HandOver;

  readonly #watch: LeaderWatch | undefined;

  readonly #watchers: Watchers | undefined;

  /** Ends the pause between two looks whether the role is free. */
  readonly #lookPause = new Pause();

  readonly #stopping = new AbortController();

  /** Claims that were sent, by their nonce: one without an answer may be stored seconds later. */
  readonly #claims = new Map<string, Claim>();

  readonly #pace = new ClaimBackoff();

  #refused: RefusedClaim | undefined;

  /** The newest claim got no answer, and no leader has shown since. */
  #isUnanswered = false;

  #term: LeaderTerm | undefined;

  readonly #startedMs = steadyMs();

  /** When the view was last too old to tell whether the leader is silent, on the steady clock. */
  #blindMs = -Infinity;

  /** A node that was just replaced leaves the next claim to others for a while. */
  #patienceMs = 0;

  /** No claim before this time, but where another leader shows until then. */
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
    this.#order = new ClaimOrder(settings.cores);
    this.#handOver = new HandOver(settings.node, this.#order);
    if (port.peers) {
      this.#watch = new LeaderWatch(port.peers, log, () => this.#lookPause.end());
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

  async run(): Promise<void> {
    while (!this.#stopping.signal.aborted) {
      await this.#lookPause.wait(LOOK_MS);
      if (this.#stopping.signal.aborted) return;
      if (this.#isRoleFree()) await this.#claimRole();
      else this.#offerWhenDue();
    }
  }

  async stop(): Promise<void> {
    this.#stopping.abort();
    this.#lookPause.end();
    this.#watch?.stop();
    await this.#term?.resign();
  }

  #isRoleFree(): boolean {
    if (this.#stopping.signal.aborted || this.#term) return false;
    const nowMs = steadyMs();
    if (nowMs < this.#nextClaimMs) return false;
    if (this.#isLeaderGone(nowMs)) return true;
    const { completeAsOfMs, expectedAgeMs } = this.#follower;
    const ageMs = nowMs - completeAsOfMs;
    if (ageMs > Math.max(MAX_VIEW_AGE_MS, Math.min(expectedAgeMs, MAX_SLOW_VIEW_AGE_MS))) {
      this.#blindMs = nowMs;
      return false;
    }
    const { leader, leaderSeenMs } = this.#table;
    if (leader?.resigned)
      return nowMs >= this.#handOver.successorPriorityEndMs(leader, leaderSeenMs);
    if (!leader || this.#claimsAtOnce(leader)) return true;
    // After a silence of the store this node may read again before the leader can write again.
    // Counted from its last record it would be taken for dead just then, having lost nothing.
    const sinceMs = Math.max(leaderSeenMs, this.#startedMs, this.#blindMs);
    // The view may not reach up to now. The last look before a claim does, and the store answers it.
    return nowMs - sinceMs > this.#silentLimitMs() + this.#patienceMs;
  }

  /**
   * Whether the leader's process is known to be gone. The view may be old then: where another node
   * has claimed since, the store refuses a claim of the same epoch.
   */
  #isLeaderGone(nowMs: number): boolean {
    const { leader } = this.#table;
    if (!leader || leader.resigned || this.#follower.isLost) return false;
    return this.#watch?.hasProcessEnded(leader, nowMs) ?? false;
  }

  #silentLimitMs(): number {
    const { leader, leaderGapMs } = this.#table;
    // Its first record waits behind the claims that were sent with its own. Taken for dead for that,
    // it would be replaced by a node whose first record waits in the same way.
    const queueMs = leader?.number === 0 && this.#pace.isQueueing ? STORE_QUEUE_MS : 0;
    return (leaderGapMs <= REGULAR_GAP_MS ? LEADER_SILENT_MS : SLOW_LEADER_SILENT_MS) + queueMs;
  }

  /**
   * Whether this node need not wait. The leader has named it as its successor; or the leader on
   * record is an earlier life of this node, so it is certainly over, and after all nodes have lost
   * power at once every other one waits for it in vain. A small node waits with them all the same:
   * larger ones may live, and take its earlier life for dead only later.
   */
  #claimsAtOnce(leader: LeaderRecord): boolean {
    if (this.#handOver.isSuccessor(leader)) return true;
    if (leader.standby === this.#settings.node && this.#isLeaderGone(steadyMs())) return true;
    const isOwn = leader.node === this.#settings.node && !this.#handOver.hasHandedOver(leader);
    return isOwn && !this.#order.yieldsToLarger;
  }

  /** Offers to take the role of a smaller leader, where it is time and the store is quick. */
  #offerWhenDue(): void {
    const nowMs = steadyMs();
    const offer = this.#handOver.due(nowMs);
    const { next, completeAsOfMs } = this.#follower;
    if (!offer || next === undefined || nowMs - completeAsOfMs > MAX_VIEW_AGE_MS || this.#term)
      return;
    this.#handOver.offerSeen(offer, nowMs);
    this.#offer(offer, next).catch((err) => this.#log.emit('info', 'offer-put-off', reasonOf(err)));
  }

  async #offer(offer: OfferRecord, next: number): Promise<void> {
    const askedMs = steadyMs();
    await this.#port.workLog.read(next, 0);
    const tookMs = Math.round(steadyMs() - askedMs);
    if (tookMs > FAST_READ_MS || this.#stopping.signal.aborted) {
      this.#log.emit('info', 'offer-put-off', { reason: 'slow-store', tookMs });
      return;
    }
    const { outcome } = await this.#port.workLog.append([
      { key: offerKey(), value: encodeOffer(offer) },
    ]);
    this.#log.emit('info', 'offer', { epoch: offer.epoch, cores: offer.cores, outcome });
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

  async #claimRole(): Promise<void> {
    const { leader } = this.#table;
    const isAtOnce = leader !== undefined && this.#claimsAtOnce(leader);
    const { leaderGapMs } = this.#table;
    const free = { leader, leaderGapMs, hasClaimed: this.#isUnanswered };
    const standbyMs = this.#isLeaderGone(steadyMs()) ? this.#standbyMs(leader) : 0;
    const waitMs = isAtOnce ? 0 : standbyMs + this.#order.waitMs(free);
    // The last look at the store is a part of the wait: with a slow one both together take too long
    // for the leases that the successor has to renew. Small nodes look last, to see others' claims.
    const lookMs = this.#order.yieldsToLarger ? 0 : this.#follower.recentReadMs;
    await delay(Math.max(0, waitMs - lookMs), this.#stopping.signal);
    if (!this.#isRoleFree() || !(await this.#isSureOfSilence())) return;
    const before = this.#table.leader;
    if (this.#isLeaderGone(steadyMs())) this.#watch?.claimed(steadyMs());
    const record = this.#newRecord(before);
    this.#table.formerLeases.claiming(record.nonce);
    const sequence = randomInt(MAX_FIRST_SEQUENCE);
    const sentMs = steadyMs();
    const workerLog = this.#workerLog();
    this.#claims.set(record.nonce, { record, epoch: record.epoch, sequence, sentMs, workerLog });
    const write = { key: leaderKey(), value: encodeLeader(record) };
    const stamp = { writer: LEADER_WRITER, epoch: record.epoch, sequence };
    // A claim that was sent into a silence of the store is not sent again when the store is back:
    // it would replace a leader that has lost nothing.
    const appending = this.#port.workLog.append([write], { stamp, isOnce: true });
    // A read that waits at the store sees the claim as it is stored; one after the answer comes later
    // by as long as a call takes.
    this.#follower.endPause();
    const { outcome, reason } = await appending;
    const { epoch } = record;
    this.#log.emit('info', 'claim', { epoch, before: before?.node, outcome, reason });
    if (outcome === 'fenced' || outcome === 'out-of-sequence') {
      this.#refused = { epoch, atMs: steadyMs() };
    }
    this.#isUnanswered = outcome === 'unknown';
    this.#nextClaimMs = steadyMs() + this.#pace.pauseMs(outcome, sentMs);
    // What became of an unanswered claim shows in the log, as does that of every other.
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
      cores: this.#order.cores,
      largestCores: this.#order.largestCores,
      ...this.#ownProcess(),
    };
  }

  /** How long other nodes leave the claim to the one that the leader has named for it. */
  #standbyMs(leader: LeaderRecord | undefined): number {
    return leader?.standby === undefined
      ? 0
      : STANDBY_PRIORITY_MS + 2 * this.#follower.recentReadMs;
  }

  /** With a quick store the entries are not worth a call more for each claim that is refused. */
  #workerLog(): KeyedLog {
    const { workerLog } = this.#port;
    return this.#follower.recentReadMs > FAST_READ_MS ? new PrefetchedLog(workerLog) : workerLog;
  }

  #ownProcess(): Pick<LeaderRecord, 'process'> {
    const { peers } = this.#port;
    return peers?.address ? { process: { address: peers.address, id: peers.self.processId } } : {};
  }

  /**
   * One more than the leader's. Where the store refuses that, the record of a later leader is about
   * to be read; but if a read since has found none, that record cannot be read, and the store would
   * refuse the same epoch for ever. A much higher one passes the store's after a claim or two.
   */
  #nextEpoch(leader: LeaderRecord | undefined): number {
    const next = (leader?.epoch ?? 0) + 1;
    const refused = this.#refused;
    if (!refused || refused.epoch < next || this.#follower.completeAsOfMs < refused.atMs)
      return next;
    return refused.epoch * EPOCH_LEAP;
  }

  /**
   * Asks the store once more whether the leader has written nothing. The view may be fresh from a
   * read that was answered as the store fell silent: then it is the store that the leader has lost,
   * and a claim, stored when it is back, would replace a node that goes on working. A store that
   * answers now would have taken the leader's records. A claim of another node shows as well.
   */
  async #isSureOfSilence(): Promise<boolean> {
    const { leader } = this.#table;
    const { next } = this.#follower;
    const isOver = leader && (leader.resigned || this.#claimsAtOnce(leader));
    if ((isOver && !this.#order.yieldsToLarger) || next === undefined) return true;
    try {
      const { records } = await this.#port.workLog.read(next, 0);
      return this.#isRoleFree() && !records.some(({ key }) => isLeaderKey(key));
    } catch (err) {
      this.#log.emit('info', 'claim-put-off', reasonOf(err));
      return false;
    }
  }

  /**
   * How long leases may last after the claim is stored, seconds after it was sent maybe: as long as
   * if the present scheduling node had renewed them until then. One whose record cannot be read may
   * have given the longest.
   */
  #formerMs(present: LeaderRecord | undefined): number {
    const unreadMs = this.#refused ? DEFAULT_LEASE_MS : 0;
    const leasesMs = present?.leasesMs ?? unreadMs;
    const presentMs = withClockDrift(Math.max(leasesMs, CONFIRMED_LEASE_MS));
    return Math.max(presentMs, this.#table.formerLeases.allEndMs - steadyMs());
  }

  #leaderSeen(leader: LeaderRecord): void {
    this.#nextClaimMs = -Infinity;
    this.#isUnanswered = false;
    this.#order.leaderSeen(leader);
    this.#watch?.leaderSeen(leader);
    if (this.#handOver.leaderSeen(leader, steadyMs())) {
      this.#log.emit('warn', 'hand-over-missed', { epoch: leader.epoch, leader: leader.node });
    }
    const claim = this.#claims.get(leader.nonce);
    if (!claim || leader.resigned || this.#term) return;
    this.#claims.clear();
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
    // The term starts after this record has been told to everyone, with the table up to it.
    setImmediate(() => this.#runTerm(term));
  }

  async #runTerm(term: LeaderTerm): Promise<void> {
    try {
      await this.#work.whenWorkLogLoaded(this.#stopping.signal);
      await term.run(this.#work.whenStartedJobsLoaded(this.#stopping.signal));
    } catch (err) {
      const reason = err instanceof Error ? (err.stack ?? err.message) : String(err);
      this.#log.emit('error', 'term-failed', { reason });
    }
    this.#term = undefined;
    this.#work.setLeading(false);
    this.#patienceMs = CLAIM_SPREAD_MS;
  }
}

function reasonOf(err: unknown): { readonly reason: string } {
  return { reason: err instanceof Error ? err.message : String(err) };
}
