import type { PlacementNeed } from '../placement.js';
import { AdmissionQueue, priorityClassOf } from './admission.js';
import type { PassContext } from './pass-context.js';
import { MAX_ACTIONS } from './pass-context.js';
import type { PendingJob } from './pending-job.js';
import { pendingJob } from './pending-job.js';
import type { PlanStep, WaitReason } from './plan-step.js';
import { PAUSE } from './plan-step.js';

/** Places the tasks of jobs, class by class. */
export function* planJobs(ctx: PassContext): Generator<PlanStep> {
  ctx.openProbes();
  const lines = yield* lineUp(ctx);
  for (const jobClass of [...lines.keys()].sort((a, b) => a - b)) {
    const line = lines.get(jobClass);
    if (line) yield* serve(ctx, line);
  }
}

function* lineUp(ctx: PassContext): Generator<PlanStep, Map<number, AdmissionQueue>> {
  const { manifest, dataCentre, fold, memory, nowMs = 0 } = ctx.input;
  const lines = new Map<number, AdmissionQueue>();
  memory?.retain(ctx.manifest.jobs);
  for (const job of manifest.jobs) {
    if (ctx.pacer.due()) yield PAUSE;
    const pending = job.dataCentre === dataCentre ? pendingJob(fold, dataCentre, job) : undefined;
    if (pending) yield* reportExhausted(pending);
    if (pending?.nextAttempt) {
      const jobClass = priorityClassOf(job, nowMs, memory?.waitedMs(job.name, nowMs) ?? 0);
      const line = lines.get(jobClass) ?? new AdmissionQueue(jobClass, ctx.usage, nowMs);
      lines.set(jobClass, line);
      line.add(pending);
    } else {
      memory?.endWait(job.name);
    }
  }
  return lines;
}

function* reportExhausted({ exhausted, job, blockedTaskId }: PendingJob): Generator<PlanStep> {
  const [taskId] = exhausted;
  const owner = job.name;
  if (taskId !== undefined) {
    const count = exhausted.length;
    yield { type: 'unplaced', unplaced: { taskId, owner, count, reason: 'attempts-exhausted' } };
  }
  if (blockedTaskId !== undefined) {
    const unplaced = { taskId: blockedTaskId, owner, count: 1, reason: 'name-reused' } as const;
    yield { type: 'unplaced', unplaced };
  }
}

function* serve(ctx: PassContext, line: AdmissionQueue): Generator<PlanStep> {
  for (let team = line.nextTeam(); team !== undefined; team = line.nextTeam()) {
    let placed = false;
    for (let head = line.head(team); head && !placed; head = line.head(team)) {
      // Within one turn the team's jobs that cannot be placed are passed over.
      if (ctx.pacer.due()) yield PAUSE;
      placed = yield* placeOne(ctx, head);
      if (!placed || !head.nextAttempt) line.drop(team);
    }
    if (ctx.actions >= MAX_ACTIONS) return;
  }
}

/** @returns Whether the job's first waiting task got a place, now or once room is freed. */
function* placeOne(ctx: PassContext, pending: PendingJob): Generator<PlanStep, boolean> {
  const { job, nextAttempt } = pending;
  const { name, resources, racks, tier, urgent, team } = job;
  const need: PlacementNeed = { owner: name, kind: 'job', resources, racks, urgent };
  const refusal = ctx.refusal(need, team);
  if (refusal !== undefined || !nextAttempt) {
    yield { type: 'unplaced', unplaced: pending.unplaced(refusal ?? 'no-room') };
    return false;
  }
  const host = ctx.input.policy.place(need, ctx.view);
  if (host) {
    pending.advance();
    ctx.input.memory?.restartWait(name, ctx.input.nowMs ?? 0);
    yield ctx.bind(need, host, nextAttempt, team);
    return true;
  }
  const evicted = urgent && (yield* ctx.evictions.freeCapacityFor(need, tier));
  if (!evicted) {
    // Where no host has room the view knows that; else the policy refused those that have.
    const reason: WaitReason = ctx.view.isKnownUnplaceable(need) ? 'no-room' : 'kept-apart';
    yield { type: 'unplaced', unplaced: pending.unplaced(reason) };
    return false;
  }
  // The kept room counts against the quota, or two urgent tasks would rely on the same rest.
  ctx.usage.add(team, resources);
  pending.advance();
  const { taskId } = nextAttempt;
  const unplaced = { taskId, owner: name, count: 1, reason: 'eviction-pending' } as const;
  yield { type: 'unplaced', unplaced };
  return true;
}
