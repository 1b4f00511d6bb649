import type {
  AskedReport,
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
  /** The fold of the control stream, which others may read as well. */
  readonly fold: ControlFold;
  readonly nodeId: string;
  /** Changes with each start of the process. */
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly timing: LeaseTiming;
  /** When the process began, on its monotonic clock, in milliseconds. */
  readonly startedAt: number;
}

/** What a pass of the holder looks at beside the fold. */
export interface DecideInput {
  readonly manifest: Manifest;
  readonly listed: readonly ListedHost[] | undefined;
  readonly policy: PlacementPolicy;
  /** See {@link PlanInput}. */
  readonly nowMs?: number;
  readonly memory?: SchedulingMemory;
}

/** Past this part of the bound on the age of its read, a node has workers save their work. */
const NEARLY_STALE = 0.6;

/** A holder that decides less often than this part of a lease was paused. */
const PAUSE_PART = 0.5;

/** So many unread reports are kept; the next ones say the same again. */
const REPORT_LIMIT = 10_000;

/**
 * One node's part in deciding for its data centre and in tending its workers: what comes in are
 * records, hellos, reports and the time; what goes out are actions for the log and messages for
 * workers. `now` is always the node's own monotonic clock, in milliseconds.
 */
export class ControlNode {
  readonly fold: ControlFold;

  readonly #options: ControlNodeOptions;

  readonly #lapses: LeaseExpiryTracker;

  readonly #hosts: WorkerLiveness;

  readonly #memberSince = new Map<string, number>();

  #reports: AskedReport[] = [];

  #readStartedAt: number | undefined;

  #decidedAt = -Infinity;

  constructor(options: ControlNodeOptions) {
    this.#options = options;
    this.fold = options.fold;
    this.#lapses = new LeaseExpiryTracker(options.timing, options.startedAt);
    this.#hosts = new WorkerLiveness(options.timing.leaseMs);
  }

  /** The name under which this node holds a term: a restarted node is another holder. */
  get key(): string {
    return memberKey(this.#options.nodeId, this.#options.incarnation);
  }

  get holds(): boolean {
    return this.fold.holder === this.key;
  }

  /** Whether this node has caught up with the log but is not yet among those that may act. */
  get shouldJoin(): boolean {
    return this.#readStartedAt !== undefined && !this.#isMember();
  }

  /** Notes what became of a record that was folded. */
  onFolded({ left }: ApplyResult, now: number): void {
    if (left) this.#lapses.onMembersLeft(left, now);
  }

  /** Notes that the fold was put in place as a whole: who left before is not known. */
  onRestored(now: number): void {
    this.#lapses.onRestored(now);
  }

  /**
   * Notes a read that found nothing beyond what was folded.
   *
   * @param startedAt - When that read was sent off: it may have missed what was written later.
   */
  onReadToEnd(startedAt: number): void {
    this.#readStartedAt = Math.max(startedAt, this.#readStartedAt ?? -Infinity);
  }

  /** Takes a peer's hello: whoever says that it folded a revocation renews that lease no more. */
  onHello(peer: ReceivedHello): void {
    this.#lapses.onHello(peer);
  }

  /** Takes a worker's report for the next pass. */
  onReport(asked: AskedReport, now: number): void {
    this.#hosts.onReport(asked.report.hostId, now);
    if (this.#reports.length < REPORT_LIMIT) this.#reports.push(asked);
  }

  /** How long ago the last whole read of the log began, in milliseconds; Infinity before it. */
  readAge(now: number): number {
    return now - (this.#readStartedAt ?? -Infinity);
  }

  /** Whether this node may renew every lease it knows of. */
  tending(now: number): boolean {
    return this.#isMember() && this.readAge(now) < this.#options.timing.staleMs * NEARLY_STALE;
  }

  /** What to tell a worker, judged by a report that has just come. */
  commandsFor(report: WorkerReport, now: number): Generator<WorkerCommand, void> {
    const age = this.readAge(now);
    const { staleMs } = this.#options.timing;
    return workerCommands(this.fold, report, {
      // A node that was restarted must not act before it has folded what it may have promised.
      member: this.#isMember(),
      upToDate: age < staleMs,
      nearlyStale: age >= staleMs * NEARLY_STALE,
    });
  }

  /**
   * One pass of the holder. The fold must not change before it is over, and the next pass must
   * wait until what this one decided was read back.
   */
  *decide(input: DecideInput, now: number): Generator<PlanStep, void> {
    this.#noticePause(now);
    const unreachable = this.#hosts.unreachable(this.fold, now);
    const over = new Set<string>();
    const { dataCentre } = this.#options;
    const plan = planPass({ ...input, dataCentre, fold: this.fold, unreachable });
    const reports = this.#reports;
    this.#reports = [];
    let whole = false;
    try {
      for (const step of chain(this.#findings(reports, unreachable, now), plan)) {
        const ends = step.type === 'action' && endedTask(step.action);
        // The plan does not see what was found in the same pass, and may revoke it once more.
        if (!ends || !over.has(ends)) yield step;
        if (ends) over.add(ends);
      }
      whole = true;
    } finally {
      if (!whole) this.#reports = [...reports, ...this.#reports];
    }
  }

  /** After a pause, or as a new holder, silence of others says nothing. */
  #noticePause(now: number): void {
    if (now - this.#decidedAt > this.#options.timing.leaseMs * PAUSE_PART) {
      this.#hosts.reset(now);
      this.#memberSince.clear();
    }
    this.#decidedAt = now;
  }

  *#findings(
    reports: readonly AskedReport[],
    unreachable: ReadonlySet<string>,
    now: number,
  ): Generator<ControlAction> {
    const said = new Set<string>();
    for (const asked of reports) {
      for (const action of observeReport(this.fold, asked)) {
        // A worker says the same in each report until the record has been folded.
        const key = JSON.stringify(action);
        if (!said.has(key)) yield action;
        said.add(key);
      }
    }
    yield* this.#lapses.expiredAttempts(this.fold, this.key, now);
    yield* this.#silentMembers(now);
    yield* this.#revokeUnreachable(unreachable);
  }

  *#silentMembers(now: number): Generator<ControlAction> {
    const { leaseMs, staleMs } = this.#options.timing;
    for (const member of this.fold.members) {
      const key = memberKey(member.nodeId, member.incarnation);
      const since = this.#memberSince.get(key) ?? now;
      this.#memberSince.set(key, since);
      const heardAt = Math.max(this.#lapses.lastHelloAt(member) ?? since, since);
      const { nodeId, incarnation } = member;
      const silent = now - heardAt > withClockDrift(staleMs + leaseMs);
      if (key !== this.key && silent) yield { type: 'leave', nodeId, incarnation };
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
    return this.#readStartedAt !== undefined && this.fold.members.has(nodeId, incarnation);
  }
}

function* chain(
  findings: Iterable<ControlAction>,
  plan: Iterable<PlanStep>,
): Generator<PlanStep, void> {
  for (const action of findings) yield { type: 'action', action };
  yield* plan;
}

/** The task whose attempt an action revokes or ends. */
function endedTask(action: ControlAction): string | undefined {
  return action.type === 'revoke' || action.type === 'ended' ? action.taskId : undefined;
}
