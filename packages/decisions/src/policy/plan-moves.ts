import type { PassContext } from './pass-context.js';
import type { PlanStep } from './plan-step.js';

/** Revokes throttled batch tasks that still interfere with a service; they resume elsewhere. */
export function* planMoves(ctx: PassContext): Generator<PlanStep> {
  const { fold, memory, nowMs = 0 } = ctx.input;
  for (const { taskId, reason } of memory?.colocation.review(fold, nowMs) ?? []) {
    const task = fold.tasks.get(taskId);
    if (task && ctx.staysActive(task)) yield ctx.revoke(task, reason);
  }
}
