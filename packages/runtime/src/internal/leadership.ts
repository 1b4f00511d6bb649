import { randomBytes, randomInt } from 'node:crypto';
import type { NodeLog } from '../node-log.js';
import type { NodeSettings } from '../node-settings.js';
import type { PlatformPort } from '../platform-port.js';
import type { ConfigWatch } from './config-watch.js';
import { delay, steadyMs } from './delay.js';
import type { FaultLog } from './fault-log.js';
import type { KeyedFollower } from './keyed-follower.js';
import type { StoredClaim } from './leader-writer.js';
import { LEADER_WRITER } from './leader-writer.js';
import { LeaderTerm } from './leader-term.js';
import { CLAIM_SPREAD_MS, LEADER_SILENT_MS, SLOW_LEADER_SILENT_MS } from './timing.js';
import type { LeaderRecord } from './work-records.js';
import { encodeLeader, leaderKey } from './work-records.js';
import type { WorkTable } from './work-table.js';

/** How often a node looks whether the scheduling role is free, in milliseconds. */
const LOOK_MS = 100;

/** The pause between reads of the scheduling node, in milliseconds: new jobs wait for them. */
const LEADER_GAP_MS = 25;

/** The same on nodes that only follow: each read costs processor time and a call. */
export const FOLLOW_GAP_MS = 250;

/**
 * A view this old says nothing about whether the leader is silent, in milliseconds: it may be the
 * store that is. While nothing is written, the pause between two reads and the wait of the second
 * make it 650 ms old. Less than `LEADER_SILENT_MS`, so that only a read that has found nothing new
 * since makes a leader silent.
 */
const MAX_VIEW_AGE_MS = 900;

/**
 * Records of the leader that come no further apart than this are regular, in milliseconds: one of
 * its idle writes, the pause between two reads, and some tens of milliseconds for both calls.
 */
const REGULAR_GAP_MS = 600;

/** Sequence numbers of claims are drawn below this, so that two claims of one epoch differ. */
const MAX_FIRST_SEQUENCE = 1_000_000_000;

/** A claim that the store has refused, as it knew this epoch or a higher one. */
interface RefusedClaim {
  readonly epoch: number;
  /** On the steady clock. */
  readonly atMs: number;
}

/** A claim that was sent, until the work log shows who got the role. */
interface Claim extends StoredClaim {
  readonly record: LeaderRecord;
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

  readonly #follower: KeyedFollower;

  readonly #config: ConfigWatch;

  readonly #faults: FaultLog;

  readonly #stopping = new AbortController();

  /** Claims that were sent, by their nonce: one without an answer may be stored seconds later. */
  readonly #claims = new Map<string, Claim>();

  #refused: RefusedClaim | undefined;

  #term: LeaderTerm | undefined;

  readonly #startedMs = steadyMs();

  /** A node that was just replaced leaves the next claim to others for a while. */
  #patienceMs = 0;

  constructor(
    port: PlatformPort,
    settings: NodeSettings,
    log: NodeLog,
    table: WorkTable,
    follower: KeyedFollower,
    config: ConfigWatch,
    faults: FaultLog,
  ) {
    this.#port = port;
    this.#settings = settings;
    this.#log = log;
    this.#table = table;
    this.#follower = follower;
    this.#config = config;
    this.#faults = faults;
    table.changes$.subscribe((change) => {
      if (change.kind === 'leader') this.#leaderSeen(change.leader);
    });
  }

  get isLeading(): boolean {
    return this.#term !== undefined;
  }

  async run(): Promise<void> {
    while (!this.#stopping.signal.aborted) {
      await delay(LOOK_MS, this.#stopping.signal);
      if (this.#isRoleFree()) await this.#claimRole();
    }
  }

  async stop(): Promise<void> {
    this.#stopping.abort();
    await this.#term?.resign();
  }

  #isRoleFree(): boolean {
    if (this.#stopping.signal.aborted || this.#term) return false;
    const nowMs = steadyMs();
    if (nowMs - this.#follower.freshMs > MAX_VIEW_AGE_MS) return false;
    const { leader, leaderSeenMs } = this.#table;
    if (!leader || leader.resigned || this.#wasLeader(leader)) return true;
    const silentMs = nowMs - Math.max(leaderSeenMs, this.#startedMs);
    return silentMs > this.#silentLimitMs() + this.#patienceMs;
  }

  #silentLimitMs(): number {
    const isRegular = this.#table.leaderGapMs <= REGULAR_GAP_MS;
    return isRegular ? LEADER_SILENT_MS : SLOW_LEADER_SILENT_MS;
  }

  /**
   * The leader on record is an earlier life of this node, so it is certainly over. After all nodes
   * have lost power at once every other one waits for that leader in vain.
   */
  #wasLeader({ node }: LeaderRecord): boolean {
    return node === this.#settings.node;
  }

  async #claimRole(): Promise<void> {
    const { leader } = this.#table;
    const spreadMs = leader && this.#wasLeader(leader) ? 0 : randomInt(CLAIM_SPREAD_MS);
    await delay(spreadMs, this.#stopping.signal);
    if (!this.#isRoleFree()) return;
    const before = this.#table.leader;
    const record = {
      epoch: this.#nextEpoch(before),
      node: this.#settings.node,
      nonce: randomBytes(6).toString('hex'),
      resigned: false,
    };
    const sequence = randomInt(MAX_FIRST_SEQUENCE);
    this.#claims.set(record.nonce, { record, epoch: record.epoch, sequence, sentMs: steadyMs() });
    const write = { key: leaderKey(), value: encodeLeader(record) };
    const stamp = { writer: LEADER_WRITER, epoch: record.epoch, sequence };
    const result = await this.#port.workLog.append([write], { stamp });
    this.#log.emit('info', 'claim', {
      epoch: record.epoch,
      before: before?.node,
      outcome: result.outcome,
      reason: result.reason,
    });
    if (result.outcome === 'fenced' || result.outcome === 'out-of-sequence') {
      this.#refused = { epoch: record.epoch, atMs: steadyMs() };
    }
    // What became of an unanswered claim shows in the log, as does that of every other.
    this.#follower.hurry();
  }

  /**
   * One more than the leader's. Where the store refuses that, the record of a later leader is about
   * to be read; but if a read since has found none, that record cannot be read, and the store would
   * refuse the same epoch for ever. Doubled, it passes the store's after a few claims.
   */
  #nextEpoch(leader: LeaderRecord | undefined): number {
    const next = (leader?.epoch ?? 0) + 1;
    const refused = this.#refused;
    if (!refused || refused.epoch < next || this.#follower.freshMs < refused.atMs) return next;
    return refused.epoch * 2;
  }

  #leaderSeen(leader: LeaderRecord): void {
    const claim = this.#claims.get(leader.nonce);
    if (!claim || leader.resigned || this.#term) return;
    this.#claims.clear();
    const term = new LeaderTerm(
      leader,
      claim,
      this.#port,
      this.#settings,
      this.#log,
      this.#table,
      this.#config,
      this.#faults,
    );
    this.#term = term;
    this.#follower.setGap(LEADER_GAP_MS);
    // The term starts after this record has been told to everyone, with the table up to it.
    setImmediate(() => this.#runTerm(term));
  }

  async #runTerm(term: LeaderTerm): Promise<void> {
    try {
      await term.run();
    } catch (err) {
      const reason = err instanceof Error ? (err.stack ?? err.message) : String(err);
      this.#log.emit('error', 'term-failed', { reason });
    }
    this.#term = undefined;
    this.#follower.setGap(FOLLOW_GAP_MS);
    this.#patienceMs = CLAIM_SPREAD_MS;
  }
}
