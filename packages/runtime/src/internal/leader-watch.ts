import { randomInt } from 'node:crypto';
import type { NodeLog } from '../node-log.js';
import type { PeerLink, PeerPort } from '../peer-port.js';
import { PeerGoneError } from '../peer-port.js';
import { delay, steadyMs } from './delay.js';
import type { LeaderRecord, NodeProcess } from './work-records.js';

/**
 * After a change of leader, the other nodes spread their connections to it over this time, in
 * milliseconds, as the new leader has the most work then.
 */
const CONNECT_SPREAD_MS = 1_000;

/** The pause after a failed connection attempt, in milliseconds. */
const RETRY_MS = 1_000;

/** A connection that ended sooner than this is reopened only after a pause, in milliseconds. */
const SHORT_CONNECTION_MS = 1_000;

/**
 * The minimum time between claims that a node makes because the leader's process has ended, in
 * milliseconds: a network may close and refuse connections to a live process.
 */
const MIN_CLAIM_INTERVAL_MS = 10_000;

/** Interval of checks whether this node may watch the leader, in milliseconds. */
const READY_POLL_INTERVAL_MS = 100;

/** How a leader watch depends on its node. */
export interface WatchingNode {
  /**
   * Whether this node may connect to the leader, which names one of the connected nodes as its
   * standby.
   */
  readonly isReady: () => boolean;
  /** Called when the leader's process has ended. */
  readonly onProcessEnd: () => void;
  /** Called when a connection to the leader is open. */
  readonly onLinked?: (link: PeerLink) => void;
}

/**
 * How a connection to the leader, or an attempt at one, has ended.
 *
 * - `closed`: the connection was open.
 * - `refused`: nothing listens at the address.
 * - `replaced`: another process listens at the address.
 * - `unreached`: the attempt got no answer.
 */
type WatchEnd = 'closed' | 'refused' | 'replaced' | 'unreached';

/**
 * Keeps a connection to the leader's process to detect its end immediately. The operating system
 * closes the connections of a killed process and refuses new ones; both together mean that the
 * process has ended, however slow the store is. Silence alone means nothing: the process may be
 * frozen or behind a network partition. A refusal without an earlier open connection means nothing
 * either: a network that refuses connections would refuse those to the next leader as well, and
 * leadership would keep changing.
 *
 * The watch only makes the next node claim sooner; the store decides which node becomes leader.
 */
export class LeaderWatch {
  readonly #peers: PeerPort;

  readonly #log: NodeLog;

  #watchedEpoch = 0;

  #endedEpoch = 0;

  /** When this node last claimed because the leader's process had ended, on the steady clock. */
  #claimedMs = -Infinity;

  #watching = new AbortController();

  readonly #node: WatchingNode;

  constructor(peers: PeerPort, log: NodeLog, node: WatchingNode) {
    this.#peers = peers;
    this.#log = log;
    this.#node = node;
  }

  /** Whether this node may claim leadership because the process of this leader record has ended. */
  hasProcessEnded({ epoch }: LeaderRecord, nowMs: number): boolean {
    return epoch === this.#endedEpoch && nowMs - this.#claimedMs >= MIN_CLAIM_INTERVAL_MS;
  }

  /** Called when this node claims leadership because the leader's process has ended. */
  claimed(nowMs: number): void {
    this.#claimedMs = nowMs;
  }

  /** Processes a leader record and watches the process of a new leader. */
  leaderSeen(leader: LeaderRecord): void {
    if (leader.epoch === this.#watchedEpoch) return;
    this.#watchedEpoch = leader.epoch;
    this.#watching.abort();
    this.#watching = new AbortController();
    const { process } = leader;
    if (!process || process.id === this.#peers.self.processId) return;
    this.#watch(leader, process, this.#watching.signal).catch((err) => {
      this.#log.emit('error', 'part-failed', { part: 'leader-watch', reason: String(err) });
    });
  }

  stop(): void {
    this.#watching.abort();
  }

  async #watch(
    { epoch, node }: LeaderRecord,
    process: NodeProcess,
    signal: AbortSignal,
  ): Promise<void> {
    await delay(randomInt(CONNECT_SPREAD_MS), signal);
    while (!signal.aborted && !this.#node.isReady()) await delay(READY_POLL_INTERVAL_MS, signal);
    let wasOpen = false;
    while (!signal.aborted) {
      const startedMs = steadyMs();
      const end = await this.#untilEnd(process, signal);
      if (signal.aborted) return;
      if (end === 'replaced' || (end === 'refused' && wasOpen)) {
        this.#endedEpoch = epoch;
        this.#log.emit('info', 'leader-gone', { epoch, leader: node, reason: end });
        this.#node.onProcessEnd();
        return;
      }
      wasOpen ||= end === 'closed';
      const isShort = steadyMs() - startedMs < SHORT_CONNECTION_MS;
      if (end !== 'closed' || isShort) await delay(RETRY_MS, signal);
    }
  }

  async #untilEnd({ address, id }: NodeProcess, signal: AbortSignal): Promise<WatchEnd> {
    let link: PeerLink;
    try {
      link = await this.#peers.open(address, signal);
    } catch (err) {
      return err instanceof PeerGoneError ? 'refused' : 'unreached';
    }
    const close = (): void => link.close();
    signal.addEventListener('abort', close);
    // Another process answers at the address, so the leader's process has ended.
    if (link.peer.processId !== id) close();
    else {
      this.#node.onLinked?.(link);
      await link.closed;
    }
    signal.removeEventListener('abort', close);
    return link.peer.processId === id ? 'closed' : 'replaced';
  }
}
