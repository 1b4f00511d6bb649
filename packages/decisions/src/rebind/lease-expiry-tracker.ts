import type { EndedAction } from '@redwingcrank/protocol';
import type { ControlFold, TaskState } from '../control-fold.js';
import type { Member } from './members.js';
import { memberKey } from './members.js';
import type { LeaseTiming } from './timing.js';
import { withClockDrift } from './timing.js';

/** What a peer said about itself, and when this node heard it on its own monotonic clock. */
export interface ReceivedHello {
  readonly nodeId: string;
  readonly incarnation: string;
  readonly controlOffset: number;
  readonly at: number;
}

interface Revoked {
  readonly attempt: number;
  /** When this node first saw the revocation in its fold. */
  readonly seenAt: number;
  /** When each member was first known to have folded the revocation. */
  readonly promises: Map<string, number>;
}

/**
 * Knows when the lease of a revoked attempt has surely lapsed.
 *
 * Invariant: once `due` yields an attempt, no worker executes it, now or later, as far as leases
 * go; so its task may be bound elsewhere.
 *
 * Proof sketch. Let R be the offset of the revoke record, and t0 the time at which this node had
 * folded it. A worker executes the attempt only until h + lease, where h is a heartbeat that it
 * took and that a start or a renewal answered. Each such message was checked by its sender after
 * h was taken, on a fold that did not yet hold R; a pause between the check and the send, or a
 * delay on the wire, changes nothing, since the lease counts from h. So it is enough to bound,
 * for each node, the time of its last check without R:
 * - this node: t0;
 * - a peer whose hello at t says that it has folded R or more: t (that hello is its promise);
 * - any other member: a check needs a whole read of the log that began less than `staleMs`
 *   before. A read that began after R was written holds R. So the check came before
 *   t0 + staleMs;
 * - a node that was a member and has left: it may not have read that yet; the same bound, from
 *   the earlier of t0 and the time at which its leaving was folded here;
 * - a member since a record after R: it had folded R before it could act;
 * - a node whose membership ended before this process began to fold, or before a snapshot that
 *   it took over: its bound is that beginning + `staleMs`;
 * - a node that was never a member: it does not act.
 * The lease is over at the latest of these + lease. All times are of this node's own clock, and
 * what is waited out is stretched for the rates of the others; no two clocks are compared.
 *
 * Attempts with `keep` are renewed however old the sender's read is, so waiting proves nothing
 * about them: they need the promise of every node that was a member since they were bound.
 */
export class LeaseExpiryTracker {
  readonly #timing: LeaseTiming;

  #blindUntil: number;

  readonly #heard = new Map<string, ReceivedHello>();

  readonly #left = new Map<string, number>();

  readonly #revoked = new Map<string, Revoked>();

  /** @param startedAt - When this process began, on its monotonic clock. */
  constructor(timing: LeaseTiming, startedAt: number) {
    this.#timing = timing;
    this.#blindUntil = startedAt;
  }

  onHello(peer: ReceivedHello): void {
    this.#heard.set(memberKey(peer.nodeId, peer.incarnation), peer);
  }

  /** Notes that the fold was put in place as a whole, which does not tell who left before. */
  onRestored(now: number): void {
    this.#blindUntil = now;
  }

  /** When a member was last heard, or undefined where it never was. */
  lastHelloAt(member: Member): number | undefined {
    return this.#heard.get(memberKey(member.nodeId, member.incarnation))?.at;
  }

  /** Notes memberships that a record ended. */
  onMembersLeft(keys: readonly string[], now: number): void {
    for (const key of keys) this.#left.set(key, now);
  }

  /** Yields each revoked attempt whose lease has surely lapsed. */
  *expiredAttempts(fold: ControlFold, self: string, now: number): Generator<EndedAction> {
    this.#forget(fold, now);
    for (const task of revokedTasks(fold)) {
      const bound = this.#lastCheck(fold, task, this.#note(fold, task, now), self);
      if (bound !== undefined && now >= bound + withClockDrift(this.#timing.leaseMs)) {
        const { taskId, attempt } = task;
        yield { type: 'ended', taskId, attempt, outcome: 'lapsed', proof: 'lease' };
      }
    }
  }

  #note(fold: ControlFold, task: TaskState, now: number): Revoked {
    const known = this.#revoked.get(task.taskId);
    const revoked =
      known?.attempt === task.attempt
        ? known
        : { attempt: task.attempt, seenAt: now, promises: new Map<string, number>() };
    this.#revoked.set(task.taskId, revoked);
    for (const [key, peer] of this.#heard) {
      if (peer.controlOffset >= task.offset && !revoked.promises.has(key)) {
        revoked.promises.set(key, Math.max(peer.at, revoked.seenAt));
      }
    }
    return revoked;
  }

  /** The latest time at which any node may have passed its check, or undefined for no bound. */
  #lastCheck(
    fold: ControlFold,
    task: TaskState,
    revoked: Revoked,
    self: string,
  ): number | undefined {
    const staleMs = withClockDrift(this.#timing.staleMs);
    const keep = task.onOutage === 'keep';
    if (keep && fold.members.lastLeave > task.boundOffset) return undefined;
    let latest = Math.max(revoked.seenAt, this.#blindUntil + staleMs);
    for (const member of fold.members) {
      const key = memberKey(member.nodeId, member.incarnation);
      if (key !== self && member.offset < task.offset) {
        const promise = revoked.promises.get(key);
        if (promise === undefined && keep) return undefined;
        latest = Math.max(latest, promise ?? revoked.seenAt + staleMs);
      }
    }
    for (const [key, leftAt] of this.#left) {
      const waited = Math.min(leftAt, revoked.seenAt) + staleMs;
      latest = Math.max(latest, revoked.promises.get(key) ?? waited);
    }
    return latest;
  }

  #forget(fold: ControlFold, now: number): void {
    const { leaseMs, staleMs } = this.#timing;
    const over = now - withClockDrift(staleMs + leaseMs);
    for (const [key, leftAt] of this.#left) {
      if (leftAt < over) this.#left.delete(key);
    }
    for (const [key, peer] of this.#heard) {
      const member = [...fold.members].some((m) => memberKey(m.nodeId, m.incarnation) === key);
      if (!member && peer.at < over) this.#heard.delete(key);
    }
    for (const [taskId, { attempt }] of this.#revoked) {
      const task = fold.tasks.get(taskId);
      if (task?.state !== 'revoked' || task.attempt !== attempt) this.#revoked.delete(taskId);
    }
  }
}

/** Looks only at what is revoked: a pass must not cost what there is, but what there is to do. */
function* revokedTasks(fold: ControlFold): Generator<TaskState> {
  for (const taskId of fold.index.revoked) {
    const task = fold.tasks.get(taskId);
    if (task) yield task;
  }
}
