import type { ControlSnapshot } from '@redwingcrank/protocol';
import type { HostState, TaskState } from './control-fold.js';

type HostSnapshot = ControlSnapshot['hosts'][number];
type MutableHost = { -readonly [K in keyof HostState]: HostState[K] } & { tasks: Set<string> };

/** Converts a host to plain data. */
export function hostToSnapshot(host: HostState): HostSnapshot {
  return { ...host, committed: { ...host.committed }, tasks: [...host.tasks] };
}

/** Converts the result of {@link hostToSnapshot} back to a host. */
export function hostFromSnapshot(host: HostSnapshot): MutableHost {
  return { ...host, tasks: new Set(host.tasks) } as unknown as MutableHost;
}

/** Converts a task of a snapshot to the state of the fold. */
export function taskFromSnapshot(task: ControlSnapshot['tasks'][number]): TaskState {
  return { ...task } as unknown as TaskState;
}
