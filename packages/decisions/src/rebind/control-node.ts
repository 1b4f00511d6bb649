import type {
  PolledReport,
  ControlAction,
  ListedHost,
  Manifest,
  WorkerReport,
} from '@redwingcrank/protocol';
import type { ApplyResult, ControlFold } from '../control-fold.js';
import { observeReport } from '../observe-report.js';
import type { PlacementPolicy } from '../placement.js';
import { planPass } from '../plan.js';
import type { SchedulingMemory } from '../policy/scheduling-memory.js';
import type { PlanStep } from '../policy/plan-step.js';
import { WorkerLiveness } from './worker-liveness.js';
import type { ReceivedHello } from './lease-expiry-tracker.js';
import { LeaseExpiryTracker } from './lease-expiry-tracker.js';
import { memberKey } from './members.js';
import type { WorkerCommand } from './worker-commands.js';
import { workerCommands } from './worker-commands.js';
import type { LeaseTiming } from './timing.js';
import { withClockDrift } from './timing.js';

export interface ControlNodeOptions {
  /** The fold of the control stream; other components may read it too. */
  readonly fold: ControlFold;
  readonly nodeId: string;
  /** Changes with each start of the process. */
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly timing: LeaseTiming;
  /** When the process started, on its monotonic clock, in milliseconds. */
  readonly startedAt: number;
}

/** The input of a pass of the holder, in addition to the fold. */
export interface DecideInput {
  readonly manifest: Manifest;
  readonly listed: readonly ListedHost[] | undefined;
  readonly policy: PlacementPolicy;
  /** See {@link PlanInput}. */
  readonly nowMs?: number;
  readonly memory?: SchedulingMemory;
}

/** At this share of the maximum age of its log read, a node tells workers to save checkpoints. */
const NEARLY_STALE_SHARE = 0.6;

/** A holder was paused if the time between two passes exceeds this share of a lease. */
const MAX_PASS_GAP_SHARE = 0.5;

/** Maximum number of reports kept for the next pass; workers repeat the content of dropped ones. */
const MAX_PENDING_REPORTS = 10_000;

/**
 * The decisions of one node for its data centre and its workers. The inputs are records, hellos of
 * peers, reports of workers and the time; the outputs are actions for the log and commands for
 * workers. `now` is always the time of the node's own monotonic clock, in milliseconds.
 */
export class ControlNode {
  readonly fold: ControlFold;

  readonly #options: ControlNodeOptions;

  readonly #leaseExpiry: LeaseExpiryTracker;

  readonly #liveness: WorkerLiveness;

  /** Since when this node, as holder without a pause, has expected hellos, by member key. */
  readonly #memberWatchedSince = new Map<string, number>();

  #pendingReports: PolledReport[] = [];

  #lastReadStartedAt: number | undefined;

  #lastPassAt = -Infinity;

  constructor(options: ControlNodeOptions) {
    this.#options = options;
    this.fold = options.fold;
    this.#leaseExpiry = new LeaseExpiryTracker(options.timing, options.startedAt);
    this.#liveness = new WorkerLiveness(options.timing.leaseMs);
  }

  /** The key under which this node holds a term. A restarted node is a different holder. */
  get key(): string {
    return memberKey(this.#options.nodeId, this.#options.incarnation);
  }

  get holds(): boolean {
    return this.fold.holder === this.key;
  }

  /** Whether this node has caught up with the log but is not yet a member, so it may not act. */
  get shouldJoin(): boolean {
    return this.#lastReadStartedAt !== undefined && !this.#isMember();
  }

  /** Handles the result of folding a record. */
  onFolded({ left }: ApplyResult, now: number): void {
    if (left) this.#leaseExpiry.onMembersLeft(left, now);
  }

  /** Handles a fold restored from a snapshot, after which earlier departures are unknown. */
  onRestored(now: number): void {
    this.#leaseExpiry.onRestored(now);
  }

  /**
   * Handles a complete read of the log, one that found no record beyond those already folded.
   *
   * @param startedAt - When the read was sent. It may have missed records written later.
   */
  onReadToEnd(startedAt: number): void {
    this.#lastReadStartedAt = Math.max(startedAt, this.#lastReadStartedAt ?? -Infinity);
  }

  /** Handles a peer's hello. A peer that has folded a revocation no longer renews that lease. */
  onHello(peer: ReceivedHello): void {
    this.#leaseExpiry.onHello(peer);
  }

  /** Keeps a worker's report for the next pass. */
  onReport(asked: PolledReport, now: number): void {
    this.#liveness.onReport(asked.report.hostId, now);
    if (this.#pendingReports.length < MAX_PENDING_REPORTS) this.#pendingReports.push(asked);
  }

  /** Returns the time in milliseconds since the last complete log read started, or Infinity. */
  readAge(now: number): number {
    return now - (this.#lastReadStartedAt ?? -Infinity);
  }

  /** Returns whether this node may renew all leases that it knows. */
  tending(now: number): boolean {
    return (
      this.#isMember() && this.readAge(now) < this.#options.timing.staleMs * NEARLY_STALE_SHARE
    );
  }

  /** Returns the commands for a worker whose report has just arrived. */
  commandsFor(report: WorkerReport, now: number): Generator<WorkerCommand, void> {
    const age = this.readAge(now);
    const { staleMs } = this.#options.timing;
    return workerCommands(this.fold, report, {
      // A restarted node must not act before it has folded the records that it may have
      // acknowledged earlier.
      member: this.#isMember(),
      upToDate: age < staleMs,
      nearlyStale: age >= staleMs * NEARLY_STALE_SHARE,
    });
  }

  /**
   * Runs one pass of the holder. The fold must not change before the pass is complete, and the next
   * pass must wait until the decisions of this one have been read back from the log.
   */
  *decide(input: DecideInput, now: number): Generator<PlanStep, void> {
    this.#detectPause(now);
    const unreachable = this.#liveness.unreachable(this.fold, now);
    const endedTaskIds = new Set<string>();
    const { dataCentre } = this.#options;
    const plan = planPass({ ...input, dataCentre, fold: this.fold, unreachable });
    const reports = this.#pendingReports;
    this.#pendingReports = [];
    let isComplete = false;
    try {
      for (const step of chain(this.#observations(reports, unreachable, now), plan)) {
        const endedTaskId = step.type === 'action' && endedTaskOf(step.action);
        // The plan does not include the observations of the same pass, and may revoke a task again.
        if (!endedTaskId || !endedTaskIds.has(endedTaskId)) yield step;
        if (endedTaskId) endedTaskIds.add(endedTaskId);
      }
      isComplete = true;
    } finally {
      if (!isComplete) this.#pendingReports = [...reports, ...this.#pendingReports];
    }
  }

  /**
   * Detects that this node was paused or has just become the holder. The silence of others until
   * now has no meaning then.
   */
  #detectPause(now: number): void {
    if (now - this.#lastPassAt > this.#options.timing.leaseMs * MAX_PASS_GAP_SHARE) {
      this.#liveness.reset(now);
      this.#memberWatchedSince.clear();
    }
    this.#lastPassAt = now;
  }

  *#observations(
    reports: readonly PolledReport[],
    unreachable: ReadonlySet<string>,
    now: number,
  ): Generator<ControlAction> {
    const yielded = new Set<string>();
    for (const asked of reports) {
      for (const action of observeReport(this.fold, asked)) {
        // A worker repeats the same content in each report until the record has been folded.
        const key = JSON.stringify(action);
        if (!yielded.has(key)) yield action;
        yielded.add(key);
      }
    }
    yield* this.#leaseExpiry.expiredAttempts(this.fold, this.key, now);
    yield* this.#removeSilentMembers(now);
    yield* this.#revokeUnreachable(unreachable);
  }

  *#removeSilentMembers(now: number): Generator<ControlAction> {
    const { leaseMs, staleMs } = this.#options.timing;
    for (const member of this.fold.members) {
      const key = memberKey(member.nodeId, member.incarnation);
      const watchedSince = this.#memberWatchedSince.get(key) ?? now;
      this.#memberWatchedSince.set(key, watchedSince);
      const lastHeardAt = Math.max(
        this.#leaseExpiry.lastHelloAt(member) ?? watchedSince,
        watchedSince,
      );
      const { nodeId, incarnation } = member;
      const isSilent = now - lastHeardAt > withClockDrift(staleMs + leaseMs);
      if (key !== this.key && isSilent) yield { type: 'leave', nodeId, incarnation };
    }
  }

  *#revokeUnreachable(unreachable: ReadonlySet<string>): Generator<ControlAction> {
    for (const hostId of unreachable) {
      for (const taskId of this.fold.hosts.get(hostId)?.tasks ?? []) {
        const task = this.fold.tasks.get(taskId);
        if (task?.state === 'bound' || task?.state === 'running') {
          const { attempt } = task;
          yield { type: 'revoke', taskId, attempt, reason: 'the worker is unreachable' };
        }
      }
    }
  }

  #isMember(): boolean {
    const { nodeId, incarnation } = this.#options;
    return this.#lastReadStartedAt !== undefined && this.fold.members.has(nodeId, incarnation);
  }
}

function* chain(
  observations: Iterable<ControlAction>,
  plan: Iterable<PlanStep>,
): Generator<PlanStep, void> {
  for (const action of observations) yield { type: 'action', action };
  yield* plan;
}

/** Returns the id of the task whose attempt an action revokes or ends. */
function endedTaskOf(action: ControlAction): string | undefined {
  return action.type === 'revoke' || action.type === 'ended' ? action.taskId : undefined;
}
