import type { BindAction, ControlAction } from '@redwingcrank/protocol';
import type { TaskState } from './control-state.js';

/** Why an attempt may not be bound after the last one, or undefined where it may. */
export function bindRefusal(last: TaskState | undefined, action: BindAction): string | undefined {
  if (!last) return action.attempt === 1 ? undefined : 'the first attempt must be number 1';
  if (last.state !== 'ended') return `attempt ${last.attempt} has not ended`;
  if (last.outcome === 'completed') return 'the task is complete';
  // A replica's identity is used once: its endpoint may still be in some routing table.
  if (last.kind === 'service') return 'a replica is never bound again';
  if (action.attempt !== last.attempt + 1) return `the next attempt is ${last.attempt + 1}`;
  // A bind decided on an older state would resume from a checkpoint that is no longer the last.
  if (action.checkpoint !== undefined && action.checkpoint !== last.checkpoint) {
    return `resumes from ${action.checkpoint}, not from ${last.checkpoint}`;
  }
  return undefined;
}

/** What an action is about, for people. */
export function subjectOf(action: ControlAction): string {
  if (action.type === 'host' || action.type === 'worker') return action.hostId;
  if (action.type === 'leave') return action.nodeId;
  return `${action.taskId}#${action.attempt}`;
}
