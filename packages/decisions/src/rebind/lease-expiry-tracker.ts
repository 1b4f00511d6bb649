import type { EndedAction } from '@redwingcrank/protocol';
import type { ControlFold, TaskState } from '../control-fold.js';
import type { Member } from './members.js';
import { memberKey } from './members.js';
import type { LeaseTiming } from './timing.js';
import { withClockDrift } from './timing.js';

/** The hello of a peer, and when this node received it on its own monotonic clock. */
export interface ReceivedHello {
  readonly nodeId: string;
  readonly incarnation: string;
  readonly controlOffset: number;
  readonly at: number;
}

interface Revocation {
  readonly attempt: number;
  /** When this node first found the revocation in its fold. */
  readonly firstSeenAt: number;
  /** When each member first acknowledged that it had folded the revocation, by member key. */
  readonly acknowledgements: Map<string, number>;
}

/**
 * Determines when the lease of a revoked attempt has certainly expired.
 *
 * Invariant: once `expiredAttempts` yields an attempt, no lease allows any worker to execute it,
 * now or later. Its task may therefore be bound elsewhere.
 *
 * Proof sketch. Let R be the offset of the revoke record, and t0 the time at which this node had
 * folded it. A worker executes the attempt only until h + lease, where h is the time of a heartbeat
 * of the worker that was answered by a start or a renewal. The sender of each such message checked
 * the attempt after h, on a fold that did not yet contain R. A pause between the check and the
 * send, or a delay on the wire, makes no difference, because the lease counts from h. It is
 * therefore enough to bound, for each node, the time of its last check without R:
 * - this node: t0;
 * - a peer whose hello, received at t, states that it has folded R or a later record: t (the hello
 *   is its acknowledgement);
 * - any other member: a check requires a complete read of the log that started less than `staleMs`
 *   before the check. A read that started after R was written contains R. The check was therefore
 *   made before t0 + `staleMs`;
 * - a node that was a member and has left: it may not have read that record yet, so the same bound
 *   applies, counted from the earlier of t0 and the time at which this node folded the departure;
 * - a node that became a member by a record after R: it had folded R before it could act;
 * - a node whose membership ended before this process started to fold, or before a snapshot that
 *   this process restored: the time of that start or restore + `staleMs`;
 * - a node that was never a member: it does not act.
 * The lease has expired at the latest of these times + lease. All times are those of this node's
 * own clock, and waiting times are extended to allow for the different rates of other clocks. Times
 * of two clocks are never compared.
 *
 * Attempts with `keep` are renewed regardless of the age of the sender's read, so elapsed time
 * proves nothing about them. They require the acknowledgement of every node that was a member at
 * any time since they were bound.
 */
export class LeaseExpiryTracker {
  readonly #timing: LeaseTiming;

  /** The time before which departures of members are unknown to this process. */
  #unknownBefore: number;

  /** The last hello of each peer, by member key. */
  readonly #hellos = new Map<string, ReceivedHello>();

  /** When this node folded the departure of a member, by member key. */
  readonly #leftAt = new Map<string, number>();

  readonly #revocations = new Map<string, Revocation>();

  /** @param startedAt - When this process started, on its monotonic clock. */
  constructor(timing: LeaseTiming, startedAt: number) {
    this.#timing = timing;
    this.#unknownBefore = startedAt;
  }

  onHello(peer: ReceivedHello): void {
    this.#hellos.set(memberKey(peer.nodeId, peer.incarnation), peer);
  }

  /** Handles a fold restored from a snapshot, which does not contain earlier departures. */
  onRestored(now: number): void {
    this.#unknownBefore = now;
  }

  /** Returns when the last hello of a member was received, or undefined if none was. */
  lastHelloAt(member: Member): number | undefined {
    return this.#hellos.get(memberKey(member.nodeId, member.incarnation))?.at;
  }

  /** Handles the memberships, given by key, that a record ended. */
  onMembersLeft(keys: readonly string[], now: number): void {
    for (const key of keys) this.#leftAt.set(key, now);
  }

  /** Yields each revoked attempt whose lease has certainly expired. */
  *expiredAttempts(fold: ControlFold, self: string, now: number): Generator<EndedAction> {
    this.#prune(fold, now);
    for (const task of revokedTasks(fold)) {
      const lastCheck = this.#lastCheckTime(
        fold,
        task,
        this.#trackRevocation(fold, task, now),
        self,
      );
      if (lastCheck !== undefined && now >= lastCheck + withClockDrift(this.#timing.leaseMs)) {
        const { taskId, attempt } = task;
        yield { type: 'ended', taskId, attempt, outcome: 'lapsed', proof: 'lease' };
      }
    }
  }

  #trackRevocation(fold: ControlFold, task: TaskState, now: number): Revocation {
    const known = this.#revocations.get(task.taskId);
    const revocation =
      known?.attempt === task.attempt
        ? known
        : { attempt: task.attempt, firstSeenAt: now, acknowledgements: new Map<string, number>() };
    this.#revocations.set(task.taskId, revocation);
    for (const [key, peer] of this.#hellos) {
      if (peer.controlOffset >= task.offset && !revocation.acknowledgements.has(key)) {
        revocation.acknowledgements.set(key, Math.max(peer.at, revocation.firstSeenAt));
      }
    }
    return revocation;
  }

  /** Returns the latest time of any check without the revoke record, or undefined if unbounded. */
  #lastCheckTime(
    fold: ControlFold,
    task: TaskState,
    revocation: Revocation,
    self: string,
  ): number | undefined {
    const staleMs = withClockDrift(this.#timing.staleMs);
    const keep = task.onOutage === 'keep';
    if (keep && fold.members.lastLeave > task.boundOffset) return undefined;
    let latest = Math.max(revocation.firstSeenAt, this.#unknownBefore + staleMs);
    for (const member of fold.members) {
      const key = memberKey(member.nodeId, member.incarnation);
      if (key !== self && member.offset < task.offset) {
        const acknowledgedAt = revocation.acknowledgements.get(key);
        if (acknowledgedAt === undefined && keep) return undefined;
        latest = Math.max(latest, acknowledgedAt ?? revocation.firstSeenAt + staleMs);
      }
    }
    for (const [key, leftAt] of this.#leftAt) {
      const latestCheck = Math.min(leftAt, revocation.firstSeenAt) + staleMs;
      latest = Math.max(latest, revocation.acknowledgements.get(key) ?? latestCheck);
    }
    return latest;
  }

  #prune(fold: ControlFold, now: number): void {
    const { leaseMs, staleMs } = this.#timing;
    const cutoff = now - withClockDrift(staleMs + leaseMs);
    for (const [key, leftAt] of this.#leftAt) {
      if (leftAt < cutoff) this.#leftAt.delete(key);
    }
    for (const [key, peer] of this.#hellos) {
      const member = [...fold.members].some((m) => memberKey(m.nodeId, m.incarnation) === key);
      if (!member && peer.at < cutoff) this.#hellos.delete(key);
    }
    for (const [taskId, { attempt }] of this.#revocations) {
      const task = fold.tasks.get(taskId);
      if (task?.state !== 'revoked' || task.attempt !== attempt) this.#revocations.delete(taskId);
    }
  }
}

/** Yields the revoked tasks from the index, so that the cost does not depend on all tasks. */
function* revokedTasks(fold: ControlFold): Generator<TaskState> {
  for (const taskId of fold.index.revoked) {
    const task = fold.tasks.get(taskId);
    if (task) yield task;
  }
}
