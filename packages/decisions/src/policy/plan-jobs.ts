import type { PlacementNeed } from '../placement.js';
import { AdmissionQueue, priorityClassOf } from './admission.js';
import type { PassContext } from './pass-context.js';
import { MAX_ACTIONS } from './pass-context.js';
import type { PendingJob } from './pending-job.js';
import { pendingJob } from './pending-job.js';
import type { PlanStep, WaitReason } from './plan-step.js';
import { PAUSE } from './plan-step.js';

/** Places the tasks of jobs, one priority class after another. */
export function* planJobs(ctx: PassContext): Generator<PlanStep> {
  ctx.openProbes();
  const queues = yield* buildQueues(ctx);
  for (const jobClass of [...queues.keys()].sort((a, b) => a - b)) {
    const queue = queues.get(jobClass);
    if (queue) yield* placeQueued(ctx, queue);
  }
}

function* buildQueues(ctx: PassContext): Generator<PlanStep, Map<number, AdmissionQueue>> {
  const { manifest, dataCentre, fold, memory, nowMs = 0 } = ctx.input;
  const queues = new Map<number, AdmissionQueue>();
  memory?.retain(ctx.manifest.jobs);
  for (const job of manifest.jobs) {
    if (ctx.pacer.due()) yield PAUSE;
    const pending = job.dataCentre === dataCentre ? pendingJob(fold, dataCentre, job) : undefined;
    if (pending) yield* reportExhausted(pending);
    if (pending?.nextAttempt) {
      const jobClass = priorityClassOf(job, nowMs, memory?.waitedMs(job.name, nowMs) ?? 0);
      const queue = queues.get(jobClass) ?? new AdmissionQueue(jobClass, ctx.usage, nowMs);
      queues.set(jobClass, queue);
      queue.add(pending);
    } else {
      memory?.endWait(job.name);
    }
  }
  return queues;
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

function* placeQueued(ctx: PassContext, queue: AdmissionQueue): Generator<PlanStep> {
  for (let team = queue.nextTeam(); team !== undefined; team = queue.nextTeam()) {
    let placed = false;
    for (let head = queue.head(team); head && !placed; head = queue.head(team)) {
      // Until one task of the team is placed, its jobs that cannot be placed are skipped.
      if (ctx.pacer.due()) yield PAUSE;
      placed = yield* placeNext(ctx, head);
      if (!placed || !head.nextAttempt) queue.drop(team);
    }
    if (ctx.actions >= MAX_ACTIONS) return;
  }
}

/** @returns Whether the job's next task was placed, or has capacity reserved by evictions. */
function* placeNext(ctx: PassContext, pending: PendingJob): Generator<PlanStep, boolean> {
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
    // If no host had enough capacity, the view has recorded it. Otherwise the policy refused all.
    const reason: WaitReason = ctx.view.isKnownUnplaceable(need) ? 'no-room' : 'kept-apart';
    yield { type: 'unplaced', unplaced: pending.unplaced(reason) };
    return false;
  }
  // The reserved capacity counts against the quota. Otherwise two urgent tasks could use the same
  // remainder of it.
  ctx.usage.add(team, resources);
  pending.advance();
  const { taskId } = nextAttempt;
  const unplaced = { taskId, owner: name, count: 1, reason: 'eviction-pending' } as const;
  yield { type: 'unplaced', unplaced };
  return true;
}
