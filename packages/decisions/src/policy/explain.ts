import type { AttemptOutcome, Job, Resources, Service } from '@redwingcrank/protocol';
import { fits } from '@redwingcrank/protocol';
import type { TaskState } from '../control-fold.js';
import type { PlanInput } from '../plan.js';
import { taskIndexOf } from '../task-ids.js';
import { priorityClassOf, slackMs } from './admission.js';
import { PassContext } from './pass-context.js';
import { allowsRack } from './placement-view.js';
import type { Unplaced, WaitReason } from './plan-step.js';
import { ReplicaCounts } from './replica-counts.js';

export type TaskStatus =
  'waiting' | 'starting' | 'running' | 'ending' | 'completed' | 'given-up' | 'not-wanted';

/** A fact that helps to explain where a task runs or why it does not run. */
export type Reason =
  | { readonly code: 'not-in-manifest' }
  | { readonly code: 'waiting'; readonly reason: WaitReason | 'next-pass' }
  | { readonly code: 'placed'; readonly hostId: string; readonly rack: string }
  | {
      readonly code: 'peers';
      readonly onHost: number;
      readonly onRack: number;
      readonly all: number;
    }
  /** The share of its resources that the task may use, because it interferes with a service. */
  | { readonly code: 'throttled'; readonly share: number }
  | { readonly code: 'revoked'; readonly reason: string }
  | {
      readonly code: 'last-attempt';
      readonly attempt: number;
      readonly hostId: string;
      readonly outcome: AttemptOutcome | undefined;
      readonly failures: number;
      readonly maxAttempts: number;
    }
  /** Hosts left after each condition; `room` counts those with enough free capacity now. */
  | {
      readonly code: 'hosts';
      readonly live: number;
      readonly allowed: number;
      readonly large: number;
      readonly room: number;
      /** Hosts that get no work because they fail most of what they start. */
      readonly quarantined: number;
    }
  | {
      readonly code: 'quota';
      readonly team: string;
      readonly used: Resources;
      readonly quota: Resources | undefined;
    }
  /** Lower classes go first; within a class, the team with the smaller share. Times in ms. */
  | {
      readonly code: 'order';
      readonly jobClass: number;
      readonly share: number;
      readonly slackMs: number | undefined;
      readonly waitedMs: number;
    };

/** Explains why a task runs on its host, or why it does not run. */
export interface TaskExplanation {
  readonly taskId: string;
  readonly owner: string;
  readonly status: TaskStatus;
  readonly hostId: string | undefined;
  readonly reasons: readonly Reason[];
}

/**
 * Explains one task from the same state on which a pass decides. It costs about as much as a pass
 * without placements, so it is meant for single requests by operators, not for a loop.
 *
 * @param unplaced - The tasks that the last pass could not place.
 * @returns The explanation, or undefined if neither the manifest nor any record names the task.
 */
export function explainTask(
  input: PlanInput,
  unplaced: readonly Unplaced[],
  taskId: string,
): TaskExplanation | undefined {
  const ctx = new PassContext(input, input.fold.hosts);
  const preparation = ctx.prepare();
  while (!preparation.next().done);
  const task = input.fold.tasks.get(taskId);
  const owner = task?.owner ?? ownerOf(taskId, input.dataCentre);
  const wanted = owner === undefined ? undefined : wantedSpecOf(ctx, owner, task);
  if (owner === undefined || (!task && !wanted)) return undefined;
  const status = statusOf(task, wanted);
  const running = status === 'running' || status === 'starting' || status === 'ending';
  const hostId = running ? task?.hostId : undefined;
  const reasons = [...reasonsOf(ctx, { task, wanted, status, owner, unplaced })];
  return { taskId, owner, status, hostId, reasons };
}

interface Subject {
  readonly task: TaskState | undefined;
  readonly wanted: Wanted | undefined;
  readonly status: TaskStatus;
  readonly owner: string;
  readonly unplaced: readonly Unplaced[];
}

type Wanted =
  | { readonly kind: 'service'; readonly spec: Service }
  | { readonly kind: 'job'; readonly spec: Job };

function ownerOf(taskId: string, dataCentre: string): string | undefined {
  const [dc, owner] = taskId.split('/');
  return dc === dataCentre && Number.isInteger(taskIndexOf(taskId)) ? owner : undefined;
}

function wantedSpecOf(ctx: PassContext, owner: string, task?: TaskState): Wanted | undefined {
  const service = ctx.manifest.services.get(owner);
  const job = ctx.manifest.jobs.get(owner);
  if (service && task?.kind !== 'job') return { kind: 'service', spec: service };
  if (job?.dataCentre === ctx.input.dataCentre && task?.kind !== 'service') {
    return { kind: 'job', spec: job };
  }
  return undefined;
}

function statusOf(task: TaskState | undefined, wanted: Wanted | undefined): TaskStatus {
  if (task?.state === 'bound') return 'starting';
  if (task?.state === 'running') return 'running';
  if (task?.state === 'revoked') return 'ending';
  if (task?.outcome === 'completed') return 'completed';
  if (!wanted) return 'not-wanted';
  if (!task) return 'waiting';
  // A replica that ended is replaced by a new replica with its own id.
  if (wanted.kind === 'service') return 'not-wanted';
  return task.failures >= wanted.spec.maxAttempts ? 'given-up' : 'waiting';
}

function* reasonsOf(ctx: PassContext, subject: Subject): Generator<Reason> {
  const { task, wanted, status, owner, unplaced } = subject;
  if (!wanted) yield { code: 'not-in-manifest' };
  if (status === 'waiting' || status === 'given-up') {
    const reason = unplaced.find((item) => item.owner === owner)?.reason ?? 'next-pass';
    const givenUp = status === 'given-up';
    yield { code: 'waiting', reason: givenUp ? 'attempts-exhausted' : reason };
  }
  if (task) yield* attemptReasons(ctx, task, wanted);
  if (wanted && (status === 'waiting' || status === 'given-up')) yield* waitingReasons(ctx, wanted);
}

function* attemptReasons(ctx: PassContext, task: TaskState, wanted?: Wanted): Generator<Reason> {
  const { attempt, hostId, outcome, failures, revokeReason } = task;
  if (revokeReason !== undefined) yield { code: 'revoked', reason: revokeReason };
  if (task.state === 'ended') {
    const maxAttempts = wanted?.kind === 'job' ? wanted.spec.maxAttempts : 1;
    yield { code: 'last-attempt', attempt, hostId, outcome, failures, maxAttempts };
    return;
  }
  const rack = ctx.hosts.get(hostId)?.rack ?? '';
  yield { code: 'placed', hostId, rack };
  const share = ctx.input.memory?.colocation.shareOf(task) ?? 1;
  if (share < 1) yield { code: 'throttled', share };
  if (task.kind === 'service') {
    const counts = new ReplicaCounts();
    const live = ctx.fold.index.of('service', task.owner)?.live ?? new Set<string>();
    for (const id of live) {
      const host = ctx.hosts.get(ctx.fold.tasks.get(id)?.hostId ?? '');
      if (host) counts.add(host);
    }
    const [onHost, onRack] = [counts.onHost(hostId), counts.onRack(rack)];
    yield { code: 'peers', onHost, onRack, all: live.size };
  }
}

function* waitingReasons(ctx: PassContext, { kind, spec }: Wanted): Generator<Reason> {
  const racks = kind === 'job' ? spec.racks : [];
  const { hosts } = ctx.view;
  const allowed = hosts.filter((host) => allowsRack({ racks }, host));
  const large = allowed.filter((host) => fits(spec.resources, host.capacity));
  const withCapacity = large.filter((host) => fits(spec.resources, ctx.view.freeOn(host)));
  yield {
    code: 'hosts',
    live: hosts.length,
    allowed: allowed.length,
    large: large.length,
    room: withCapacity.length,
    quarantined: ctx.input.memory?.health.quarantined.size ?? 0,
  };
  const { team } = spec;
  const quota = ctx.manifest.teams.get(team)?.quota;
  yield { code: 'quota', team, used: ctx.usage.used(team), quota };
  if (kind === 'job') {
    const { nowMs = 0, memory } = ctx.input;
    const waitedMs = memory?.waitedMs(spec.name, nowMs) ?? 0;
    const slack = slackMs(spec, nowMs);
    yield {
      code: 'order',
      jobClass: priorityClassOf(spec, nowMs, waitedMs),
      share: ctx.usage.share(team),
      slackMs: Number.isFinite(slack) ? slack : undefined,
      waitedMs,
    };
  }
}
