import type { Resources } from '@redwingcrank/protocol';
import { NO_RESOURCES, addResources, subtractResources } from '@redwingcrank/protocol';
import type { TaskState } from '../control-fold.js';
import { taskIndexOf } from '../task-ids.js';

export type OwnerKind = TaskState['kind'];

/** The tasks of one service or job, grouped by state. */
export interface OwnerTasks {
  readonly kind: OwnerKind;
  readonly owner: string;
  /** The ids of tasks whose latest attempt has not ended. */
  readonly live: ReadonlySet<string>;
  /** The ids of tasks whose latest attempt ended without completing. */
  readonly ended: ReadonlySet<string>;
  readonly completed: number;
  /** The indices below `next` that no task has had; only for jobs. */
  readonly gaps: ReadonlySet<number>;
  /** One more than the highest index of any task. */
  readonly next: number;
  /** The total resources of the live tasks. */
  readonly committed: Resources;
}

type MutableOwner = { -readonly [K in keyof OwnerTasks]: OwnerTasks[K] } & {
  live: Set<string>;
  ended: Set<string>;
  gaps: Set<number>;
};

/** Upper bound of the tasks of a job; a larger index was not written by this scheduler. */
const MAX_INDEX = 100_000;

/**
 * An index of the tasks for passes. It is updated with every change, so that the cost of a pass
 * depends on the number of tasks to change instead of the number of all tasks.
 */
export class TaskIndex {
  readonly #owners = new Map<string, MutableOwner>();

  readonly #liveOwners = new Set<MutableOwner>();

  readonly #pendingRelease = new Map<string, Resources>();

  readonly #revoked = new Set<string>();

  /** The ids of the tasks whose latest attempt is revoked and has not ended. */
  get revoked(): ReadonlySet<string> {
    return this.#revoked;
  }

  /** The owners that have live tasks. */
  get liveOwners(): Iterable<OwnerTasks> {
    return this.#liveOwners;
  }

  /** The resources still held by revoked attempts that have not ended, by host id. */
  get pendingRelease(): ReadonlyMap<string, Resources> {
    return this.#pendingRelease;
  }

  of(kind: OwnerKind, owner: string): OwnerTasks | undefined {
    return this.#owners.get(`${kind} ${owner}`);
  }

  /** Updates the index after a task was changed, added or removed. */
  replace(before: TaskState | undefined, after: TaskState | undefined): void {
    if (before) this.#remove(before);
    if (after) this.#add(after);
  }

  #add(task: TaskState): void {
    const owner = this.#ownerOf(task);
    countIndex(owner, taskIndexOf(task.taskId));
    if (task.state === 'ended') {
      if (task.outcome === 'completed') owner.completed += 1;
      else owner.ended.add(task.taskId);
      return;
    }
    owner.live.add(task.taskId);
    owner.committed = addResources(owner.committed, task.resources);
    this.#liveOwners.add(owner);
    if (task.state !== 'revoked') return;
    this.#revoked.add(task.taskId);
    this.#addPendingRelease(task.hostId, task.resources);
  }

  #remove(task: TaskState): void {
    const owner = this.#ownerOf(task);
    if (task.state === 'ended') {
      if (task.outcome === 'completed') owner.completed -= 1;
      else owner.ended.delete(task.taskId);
      return;
    }
    owner.live.delete(task.taskId);
    owner.committed = subtractResources(owner.committed, task.resources);
    if (owner.live.size === 0) {
      // Sums of fractions accumulate rounding errors; an owner without tasks holds no resources.
      owner.committed = NO_RESOURCES;
      this.#liveOwners.delete(owner);
    }
    if (task.state !== 'revoked') return;
    this.#revoked.delete(task.taskId);
    this.#removePendingRelease(task.hostId, task.resources);
  }

  #addPendingRelease(hostId: string, resources: Resources): void {
    this.#pendingRelease.set(
      hostId,
      addResources(this.#pendingRelease.get(hostId) ?? NO_RESOURCES, resources),
    );
  }

  #removePendingRelease(hostId: string, resources: Resources): void {
    const rest = subtractResources(this.#pendingRelease.get(hostId) ?? NO_RESOURCES, resources);
    if (rest.cpu + rest.memoryMb + rest.accelerators < 1e-3) this.#pendingRelease.delete(hostId);
    else this.#pendingRelease.set(hostId, rest);
  }

  #ownerOf({ kind, owner }: TaskState): MutableOwner {
    const key = `${kind} ${owner}`;
    const known = this.#owners.get(key);
    if (known) return known;
    const created: MutableOwner = {
      kind,
      owner,
      live: new Set(),
      ended: new Set(),
      completed: 0,
      gaps: new Set(),
      next: 0,
      committed: NO_RESOURCES,
    };
    this.#owners.set(key, created);
    return created;
  }
}

function countIndex(owner: MutableOwner, index: number): void {
  if (!Number.isInteger(index) || index < 0 || index > MAX_INDEX) return;
  owner.gaps.delete(index);
  // The index of a replica is never reused, so gaps are recorded only for jobs.
  for (let i = owner.next; owner.kind === 'job' && i < index; i += 1) owner.gaps.add(i);
  owner.next = Math.max(owner.next, index + 1);
}
