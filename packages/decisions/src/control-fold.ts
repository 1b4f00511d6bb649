import type {
  BatchRecord,
  BindAction,
  ClaimRecord,
  ControlAction,
  ControlSnapshot,
  EndedAction,
  HostAction,
  JoinRecord,
  RevokeAction,
  RunningAction,
  WorkerAction,
} from '@redwingcrank/protocol';
import {
  NO_RESOURCES,
  addResources,
  controlRecordSchema,
  fits,
  subtractResources,
} from '@redwingcrank/protocol';
import type { AttemptEvent } from './charts/task-attempt.chart.js';
import { taskAttemptChart } from './charts/task-attempt.chart.js';
import { hostFromSnapshot, hostToSnapshot, taskFromSnapshot } from './control-snapshot.js';
import { RecordIds } from './record-ids.js';
import { Members } from './rebind/members.js';
import type { StreamFold } from './stream-fold.js';
import { TaskIndex } from './policy/task-index.js';
import { bindRefusal, subjectOf } from './control-rules.js';
import type { ApplyResult, HostState, LostWork, TaskState } from './control-state.js';
import { taskIndexOf } from './task-ids.js';

export type { ApplyResult, HostState, LostWork, TaskState } from './control-state.js';

type MutableHost = { -readonly [K in keyof HostState]: HostState[K] } & { tasks: Set<string> };

const ACCEPTED: ApplyResult = { accepted: true, voided: [] };

/**
 * Folds the control stream of one data centre, that is, reduces its records to the current state.
 * The fold is deterministic: every node that has read the same records has the same state. A record
 * or an action that the fold rejects has no effect and is called voided.
 *
 * Invariants, enforced here regardless of what a scheduler appends:
 * - only records of the current term take effect, so the records of a former holder that resumes
 *   after a pause are voided;
 * - a batch takes effect only on the state it was decided on, so an append that was abandoned by
 *   its writer and reaches the log late changes nothing;
 * - a task has at most one attempt that has not ended, so it runs in only one place (see
 *   rebind/lease-expiry-tracker.ts for why an attempt has ended when `ended` is recorded);
 * - attempt n+1 resumes from exactly the checkpoint with which attempt n ended, and no other
 *   attempt resumes from it;
 * - the resources committed on a host never exceed its capacity at the time of a binding.
 */
export class ControlFold implements StreamFold<ControlSnapshot, ApplyResult> {
  #term = 0;

  #holder: string | undefined;

  #offset = -1;

  readonly #hosts = new Map<string, MutableHost>();

  readonly #tasks = new Map<string, TaskState>();

  /** The index that passes query. Every change of a task goes through `#put`, which updates it. */
  readonly index = new TaskIndex();

  readonly #byOwner = new Map<string, Set<string>>();

  readonly #nextIndex = new Map<string, number>();

  readonly #ids = new RecordIds();

  readonly #members = new Members();

  #batchOffset = -1;

  #lostWork: LostWork = { resumable: 0, afresh: 0, lostMs: 0 };

  get term(): number {
    return this.#term;
  }

  /** The node that holds the current term, or undefined before the first claim. */
  get holder(): string | undefined {
    return this.#holder;
  }

  /** The offset of the last folded record; -1 before the first. */
  get offset(): number {
    return this.#offset;
  }

  /** The offset of the last batch that took effect; -1 before the first. */
  get batchOffset(): number {
    return this.#batchOffset;
  }

  /** The nodes that may start, renew and stop attempts on workers. */
  get members(): Members {
    return this.#members;
  }

  get lostWork(): LostWork {
    return this.#lostWork;
  }

  get hosts(): ReadonlyMap<string, HostState> {
    return this.#hosts;
  }

  get tasks(): ReadonlyMap<string, TaskState> {
    return this.#tasks;
  }

  /** Returns the ids of the tasks of a service or job. */
  tasksOf(owner: string): ReadonlySet<string> {
    return this.#byOwner.get(owner) ?? new Set();
  }

  /** Returns the lowest index above those of all tasks that the owner has had. */
  nextIndexOf(owner: string): number {
    return this.#nextIndex.get(owner) ?? 0;
  }

  /** Returns whether a record was folded; used to resolve an append whose answer was lost. */
  hasRecord(id: string): boolean {
    return this.#ids.has(id);
  }

  /**
   * Folds the next record of the stream.
   *
   * @param offset - The offset of the record.
   * @param value - The record as read from the log; it may have any content.
   */
  apply(offset: number, value: unknown): ApplyResult {
    this.#offset = offset;
    const record = controlRecordSchema.safeParse(value);
    if (!record.success) return { accepted: false, voided: ['foreign record'] };
    // A writer repeats an append whose answer was lost. The second copy must have no effect.
    if (this.#ids.has(record.data.id)) return { accepted: false, voided: ['repeated record'] };
    this.#ids.add(record.data.id);
    if (record.data.type === 'claim') return this.#claim(record.data);
    if (record.data.type === 'join') return this.#join(record.data);
    return this.#batch(record.data);
  }

  /** Advances the offset past a record that is not a decision, such as a part of a snapshot. */
  skip(offset: number): void {
    this.#offset = offset;
  }

  /** Returns the complete state as plain data. A fold that restores it continues identically. */
  toSnapshot(): ControlSnapshot {
    return {
      offset: this.#offset,
      term: this.#term,
      holder: this.#holder,
      hosts: [...this.#hosts.values()].map(hostToSnapshot),
      tasks: [...this.#tasks.values()].map((task) => ({ ...task })),
      nextIndex: [...this.#nextIndex],
      ids: this.#ids.toArray(),
      members: [...this.#members],
      lastLeave: this.#members.lastLeave,
      batchOffset: this.#batchOffset,
      lostWork: this.#lostWork,
    };
  }

  /** Terms never decrease, so a state of an older term is refused. */
  mayRestore(snapshot: ControlSnapshot): boolean {
    return snapshot.term >= this.#term;
  }

  /** Replaces the state of this fold with that of a snapshot. */
  restore(snapshot: ControlSnapshot): void {
    this.#offset = snapshot.offset;
    this.#term = snapshot.term;
    this.#holder = snapshot.holder;
    this.#members.restore(snapshot.members, snapshot.lastLeave);
    this.#batchOffset = snapshot.batchOffset;
    this.#lostWork = snapshot.lostWork;
    replaceEntries(
      this.#hosts,
      snapshot.hosts.map((host) => [host.hostId, hostFromSnapshot(host)]),
    );
    // The old tasks have to leave the index and the new ones to enter it, or a pass would plan on
    // a state that has been replaced.
    this.#tasks.forEach((task) => this.index.replace(task, undefined));
    replaceEntries(
      this.#tasks,
      snapshot.tasks.map((task) => [task.taskId, taskFromSnapshot(task)]),
    );
    this.#tasks.forEach((task) => this.index.replace(undefined, task));
    replaceEntries(this.#nextIndex, snapshot.nextIndex);
    this.#byOwner.clear();
    this.#tasks.forEach(({ owner, taskId }) => this.#ownerTasks(owner).add(taskId));
    this.#ids.restore(snapshot.ids);
  }

  #ownerTasks(owner: string): Set<string> {
    const known = this.#byOwner.get(owner);
    if (known) return known;
    const tasks = new Set<string>();
    this.#byOwner.set(owner, tasks);
    return tasks;
  }

  #claim(record: ClaimRecord): ApplyResult {
    // Two nodes may claim the same term: the first in log order wins, and the second is voided.
    if (record.term !== this.#term + 1) {
      return { accepted: false, voided: [`claims term ${record.term} after ${this.#term}`] };
    }
    this.#term = record.term;
    this.#holder = record.holder;
    return ACCEPTED;
  }

  #join({ nodeId, incarnation }: JoinRecord): ApplyResult {
    const left = this.#members.join(nodeId, incarnation, this.#offset);
    return { ...ACCEPTED, left };
  }

  #batch(record: BatchRecord): ApplyResult {
    // A former holder that resumes after a pause writes with its old term. Its records must not
    // take effect.
    if (record.term !== this.#term || record.holder !== this.#holder) {
      return { accepted: false, voided: [`term ${record.term} of ${record.holder} is over`] };
    }
    // An append that its writer abandoned can arrive after the writer has decided again.
    if (record.base !== undefined && record.base !== this.#batchOffset) {
      return { accepted: false, voided: [`decided at ${record.base}, not ${this.#batchOffset}`] };
    }
    this.#batchOffset = this.#offset;
    const voided: string[] = [];
    const left: string[] = [];
    for (const action of record.actions) {
      if (action.type === 'leave') {
        const { nodeId, incarnation } = action;
        left.push(...this.#members.leave(nodeId, incarnation, this.#offset));
      }
      const reason = this.#applyAction(action);
      if (reason !== undefined) voided.push(`${action.type} ${subjectOf(action)}: ${reason}`);
    }
    return { accepted: true, voided, left };
  }

  #applyAction(action: ControlAction): string | undefined {
    switch (action.type) {
      case 'host':
        return this.#putHost(action);
      case 'worker':
        return this.#recordIncarnation(action);
      case 'leave':
        return undefined;
      case 'bind':
        return this.#bind(action);
      case 'running':
        return this.#running(action);
      case 'revoke':
        return this.#revoke(action);
      case 'ended':
        return this.#end(action);
      default:
        return 'unknown action';
    }
  }

  #putHost({ type: _type, ...host }: HostAction): undefined {
    const known = this.#hosts.get(host.hostId);
    // A removed host keeps its committed resources, because its tasks may still run there.
    const retained = known ?? {
      committed: NO_RESOURCES,
      tasks: new Set<string>(),
      incarnationOffset: -1,
    };
    this.#hosts.set(host.hostId, { ...retained, ...host });
  }

  #recordIncarnation({ hostId, incarnation }: WorkerAction): string | undefined {
    const host = this.#hosts.get(hostId);
    if (!host) return 'host is not known';
    host.incarnation = incarnation;
    host.incarnationOffset = this.#offset;
    for (const taskId of host.tasks) {
      const task = this.#tasks.get(taskId);
      // The attempt was bound before the first report of the worker. No node could start it yet, so
      // it belongs to the first incarnation.
      if (task && task.incarnation === undefined) {
        this.#put({ ...task, incarnation, offset: this.#offset });
      }
    }
    return undefined;
  }

  #bind(action: BindAction): string | undefined {
    const host = this.#hosts.get(action.hostId);
    if (!host || host.state !== 'live') return `host ${action.hostId} is not live`;
    const last = this.#tasks.get(action.taskId);
    const refusal = bindRefusal(last, action);
    if (refusal !== undefined) return refusal;
    // The check is made in the fold so that racing or faulty schedulers cannot overcommit a host.
    if (!fits(action.resources, subtractResources(host.capacity, host.committed))) {
      return `host ${action.hostId} has no room`;
    }
    const { type: _type, ...bound } = action;
    this.#put({
      ...bound,
      checkpoint: last?.checkpoint,
      onOutage: action.onOutage ?? (action.kind === 'service' ? 'keep' : 'checkpoint'),
      incarnation: host.incarnation,
      boundOffset: this.#offset,
      offset: this.#offset,
      state: taskAttemptChart.initial,
      failures: last?.failures ?? 0,
    });
    host.committed = addResources(host.committed, action.resources);
    host.tasks.add(action.taskId);
    this.#indexTask(action);
    return undefined;
  }

  #indexTask({ owner, taskId }: BindAction): void {
    this.#ownerTasks(owner).add(taskId);
    this.#nextIndex.set(owner, Math.max(this.nextIndexOf(owner), taskIndexOf(taskId) + 1));
  }

  #running(action: RunningAction): string | undefined {
    const task = this.#tasks.get(action.taskId);
    const endpoint = action.endpoint ?? task?.endpoint;
    return this.#transition(action, {
      endpoint,
      checkpoint: action.checkpoint ?? task?.checkpoint,
    });
  }

  #revoke(action: RevokeAction): string | undefined {
    return this.#transition(action, { revokeReason: action.reason });
  }

  #end(action: EndedAction): string | undefined {
    const task = this.#tasks.get(action.taskId);
    const checkpoint = action.checkpoint ?? task?.checkpoint;
    const change = { outcome: action.outcome, checkpoint, endpoint: undefined };
    const refusal = this.#transition(action, change, action.proof === 'lease' ? 'lapsed' : 'ended');
    if (refusal !== undefined || !task) return refusal;
    this.#release(task);
    if (action.outcome === 'completed') return undefined;
    this.#addFailure(action);
    if (task.kind === 'job') this.#addLostWork(checkpoint !== undefined, action.lostMs ?? 0);
    return undefined;
  }

  #addLostWork(resumes: boolean, lostMs: number): void {
    const { resumable, afresh, lostMs: before } = this.#lostWork;
    this.#lostWork = {
      resumable: resumable + (resumes ? 1 : 0),
      afresh: afresh + (resumes ? 0 : 1),
      lostMs: before + lostMs,
    };
  }

  #addFailure({ taskId, outcome }: EndedAction): void {
    const task = this.#tasks.get(taskId);
    if (!task || outcome !== 'failed') return;
    this.#put({ ...task, failures: task.failures + 1 });
  }

  #put(task: TaskState): void {
    this.index.replace(this.#tasks.get(task.taskId), task);
    this.#tasks.set(task.taskId, task);
  }

  #release(task: TaskState): void {
    const host = this.#hosts.get(task.hostId);
    if (!host) return;
    host.tasks.delete(task.taskId);
    // Sums of fractions accumulate rounding errors; an empty host allows a reset to zero.
    host.committed =
      host.tasks.size === 0 ? NO_RESOURCES : subtractResources(host.committed, task.resources);
  }

  #transition(
    action: RunningAction | RevokeAction | EndedAction,
    change: Partial<TaskState>,
    event: AttemptEvent = action.type,
  ): string | undefined {
    const task = this.#tasks.get(action.taskId);
    if (!task || task.attempt !== action.attempt) return 'not the latest attempt';
    const state = taskAttemptChart.next(task.state, event);
    if (state === undefined) return `attempt is ${task.state}`;
    this.#put({ ...task, ...change, state, offset: this.#offset });
    return undefined;
  }
}

function replaceEntries<K, V>(map: Map<K, V>, entries: readonly (readonly [K, V])[]): void {
  map.clear();
  entries.forEach(([key, value]) => map.set(key, value));
}
