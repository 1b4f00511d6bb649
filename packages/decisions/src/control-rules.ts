import type { BindAction, ControlAction } from '@redwingcrank/protocol';
import type { TaskState } from './control-state.js';

/** Returns why an attempt must not be bound after the last one, or undefined if it may be bound. */
export function bindRefusal(last: TaskState | undefined, action: BindAction): string | undefined {
  if (!last) return action.attempt === 1 ? undefined : 'the first attempt must be number 1';
  if (last.state !== 'ended') return `attempt ${last.attempt} has not ended`;
  if (last.outcome === 'completed') return 'the task is complete';
  // The id of a replica is used only once: its endpoint may still be in some routing table.
  if (last.kind === 'service') return 'a replica is never bound again';
  if (action.attempt !== last.attempt + 1) return `the next attempt is ${last.attempt + 1}`;
  // A binding decided on an older state would resume from an outdated checkpoint.
  if (action.checkpoint !== undefined && action.checkpoint !== last.checkpoint) {
    return `resumes from ${action.checkpoint}, not from ${last.checkpoint}`;
  }
  return undefined;
}

/** Returns a readable name of the host, node or attempt that an action concerns. */
export function subjectOf(action: ControlAction): string {
  if (action.type === 'host' || action.type === 'worker') return action.hostId;
  if (action.type === 'leave') return action.nodeId;
  return `${action.taskId}#${action.attempt}`;
}
