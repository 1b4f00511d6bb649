import type { PassContext } from './pass-context.js';
import { MAX_REVOCATIONS } from './pass-context.js';
import type { PlanStep } from './plan-step.js';
import { PAUSE } from './plan-step.js';
import type { OwnerTasks } from './task-index.js';

/**
 * Revokes the tasks of owners that are no longer in the manifest, and all tasks on hosts that are
 * not live. It checks owners instead of tasks, so one pass handles thousands of cancellations.
 */
export function* planRevocations(ctx: PassContext): Generator<PlanStep> {
  for (const owner of ctx.fold.index.liveOwners) {
    if (ctx.pacer.due()) yield PAUSE;
    if (!isWanted(ctx, owner)) {
      yield* revokeAll(ctx, owner.live, `${owner.owner} is not in the manifest`);
    }
  }
  for (const host of ctx.hosts.values()) {
    if (ctx.pacer.due()) yield PAUSE;
    if (host.state !== 'live') yield* revokeAll(ctx, host.tasks, `host is ${host.state}`);
  }
}

function isWanted({ input, manifest }: PassContext, { kind, owner }: OwnerTasks): boolean {
  if (kind === 'service') return manifest.services.has(owner);
  return manifest.jobs.get(owner)?.dataCentre === input.dataCentre;
}

function* revokeAll(
  ctx: PassContext,
  tasks: Iterable<string>,
  reason: string,
): Generator<PlanStep> {
  for (const taskId of tasks) {
    if (ctx.pacer.due()) yield PAUSE;
    const task = ctx.fold.tasks.get(taskId);
    if (ctx.actions >= MAX_REVOCATIONS) return;
    if (task && ctx.staysActive(task)) yield ctx.revoke(task, reason);
  }
}
