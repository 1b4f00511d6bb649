import { overcommittedTasks } from '../rebind/overcommitted-hosts.js';
import type { PassContext } from './pass-context.js';
import type { PlanStep } from './plan-step.js';

/** Revokes the tasks that exceed the reduced capacity of a host. */
export function* planShrunkHosts(ctx: PassContext): Generator<PlanStep> {
  for (const task of overcommittedTasks(ctx.fold, ctx.input.manifest)) {
    if (ctx.staysActive(task)) yield ctx.revoke(task, 'the host has shrunk');
  }
}
