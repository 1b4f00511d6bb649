import { randomInt } from 'node:crypto';
import type { NodeLog } from '../node-log.js';
import type { PeerLink, PeerPort } from '../peer-port.js';
import { PeerGoneError } from '../peer-port.js';
import { delay, steadyMs } from './delay.js';
import type { LeaderRecord, NodeProcess } from './work-records.js';

/**
 * After a change of the scheduling node the others connect to it spread over this time, in
 * milliseconds: just then it has the most to do.
 */
const CONNECT_SPREAD_MS = 1_000;

/** The pause after an attempt that did not reach it, in milliseconds. */
const RETRY_MS = 1_000;

/** A connection that ended sooner than this is not opened again at once, in milliseconds. */
const BRIEF_MS = 1_000;

/**
 * A node claims no more often than this on the ground that the leader's process is gone: a network may
 * close and refuse connections to a process that lives.
 */
const CLAIM_GAP_MS = 10_000;

/**
 * How a connection to the scheduling node, or an attempt at one, has ended.
 *
 * - `closed`: it was open.
 * - `refused`: nothing listens at its address.
 * - `replaced`: another process does.
 * - `unreached`: nobody answered.
 */
type WatchEnd = 'closed' | 'refused' | 'replaced' | 'unreached';

/**
 * Keeps a connection to the process that schedules, to learn at once when it ends. The system closes
 * the connections of a process that is killed, and refuses new ones; both together say that it is
 * gone, however slow the store is. Silence alone says nothing: the process may be frozen, or behind
 * a cut. Nor does a refusal where no connection was open: such a network would refuse the next
 * scheduling node as well, and the role would go round.
 *
 * It only makes the next node claim sooner. Whether it gets the role is settled by the store.
 */
export class LeaderWatch {
  readonly #peers: PeerPort;

  readonly #log: NodeLog;

  #watchedEpoch = 0;

  #goneEpoch = 0;

  /** When this node last claimed on this ground, on the steady clock. */
  #claimedMs = -Infinity;

  #watching = new AbortController();

  /** Called when the process of the scheduling node is gone. */
  readonly #onGone: () => void;

  constructor(peers: PeerPort, log: NodeLog, onGone: () => void) {
    this.#peers = peers;
    this.#log = log;
    this.#onGone = onGone;
  }

  /** Whether this node may claim the role as the process that schedules by this record is gone. */
  hasProcessEnded({ epoch }: LeaderRecord, nowMs: number): boolean {
    return epoch === this.#goneEpoch && nowMs - this.#claimedMs >= CLAIM_GAP_MS;
  }

  /** This node claims the role on this ground. */
  claimed(nowMs: number): void {
    this.#claimedMs = nowMs;
  }

  /** A record of the scheduling node was read. */
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
    let wasOpen = false;
    while (!signal.aborted) {
      const beganMs = steadyMs();
      const end = await this.#untilEnd(process, signal);
      if (signal.aborted) return;
      if (end === 'replaced' || (end === 'refused' && wasOpen)) {
        this.#goneEpoch = epoch;
        this.#log.emit('info', 'leader-gone', { epoch, leader: node, reason: end });
        this.#onGone();
        return;
      }
      wasOpen ||= end === 'closed';
      const isBrief = steadyMs() - beganMs < BRIEF_MS;
      if (end !== 'closed' || isBrief) await delay(RETRY_MS, signal);
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
    // Another process at the address: the one that schedules has ended before.
    if (link.peer.processId !== id) close();
    else await link.closed;
    signal.removeEventListener('abort', close);
    return link.peer.processId === id ? 'closed' : 'replaced';
  }
}
