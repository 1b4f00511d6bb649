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
 * Folds the control stream of one data centre. It is deterministic: every node that has read the
 * same records has the same state.
 *
 * Invariants, kept here whatever a scheduler appends:
 * - only records of the current term take effect, so a paused holder that wakes is voided;
 * - a batch takes effect only on the state it was decided on, so an append that was given up and
 *   reaches the log late changes nothing;
 * - a task has one attempt that has not ended, so it runs in one place (see rebind/lease-expiry-tracker.ts
 *   for why `ended` is true when it is recorded);
 * - attempt n+1 resumes from the very checkpoint with which attempt n ended, and only it does;
 * - what is committed on a host never exceeds its capacity at the time of the binding.
 */
export class ControlFold implements StreamFold<ControlSnapshot, ApplyResult> {
  #term = 0;

  #holder: string | undefined;

  #offset = -1;

  readonly #hosts = new Map<string, MutableHost>();

  readonly #tasks = new Map<string, TaskState>();

  /** What passes look up; every change of a task goes through `#put`, which keeps it true. */
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

  /** The node that holds the data centre, or undefined before the first claim. */
  get holder(): string | undefined {
    return this.#holder;
  }

  /** The offset of the last record folded; -1 before the first. */
  get offset(): number {
    return this.#offset;
  }

  /** The offset of the last batch that took effect; -1 before the first. */
  get batchOffset(): number {
    return this.#batchOffset;
  }

  /** The nodes that may act on workers. */
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

  /** The tasks of a service or job. */
  tasksOf(owner: string): ReadonlySet<string> {
    return this.#byOwner.get(owner) ?? new Set();
  }

  /** An index that no task of the owner has had. */
  nextIndexOf(owner: string): number {
    return this.#nextIndex.get(owner) ?? 0;
  }

  /** Whether a record with this id was folded: for an append whose answer was lost. */
  hasRecord(id: string): boolean {
    return this.#ids.has(id);
  }

  /**
   * Takes the next record of the stream.
   *
   * @param offset - Its offset.
   * @param value - The record as it came from the log; anything may stand there.
   */
  apply(offset: number, value: unknown): ApplyResult {
    this.#offset = offset;
    const record = controlRecordSchema.safeParse(value);
    if (!record.success) return { accepted: false, voided: ['foreign record'] };
    // An append whose answer was lost is repeated by its writer: the second copy must not count.
    if (this.#ids.has(record.data.id)) return { accepted: false, voided: ['repeated record'] };
    this.#ids.add(record.data.id);
    if (record.data.type === 'claim') return this.#claim(record.data);
    if (record.data.type === 'join') return this.#join(record.data);
    return this.#batch(record.data);
  }

  /** Takes note of a record that is no decision, such as a part of a snapshot. */
  skip(offset: number): void {
    this.#offset = offset;
  }

  /** The whole state as plain data: a fold that restores it goes on exactly as this one. */
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

  /** Terms only go up: a state of an older one is refused. */
  mayRestore(snapshot: ControlSnapshot): boolean {
    return snapshot.term >= this.#term;
  }

  /** Puts the state of a snapshot in place of this one. */
  restore(snapshot: ControlSnapshot): void {
    this.#offset = snapshot.offset;
    this.#term = snapshot.term;
    this.#holder = snapshot.holder;
    this.#members.restore(snapshot.members, snapshot.lastLeave);
    this.#batchOffset = snapshot.batchOffset;
    this.#lostWork = snapshot.lostWork;
    refill(
      this.#hosts,
      snapshot.hosts.map((host) => [host.hostId, hostFromSnapshot(host)]),
    );
    // The index has to forget the old tasks and learn the new ones, or a pass would plan on a
    // state that is gone.
    this.#tasks.forEach((task) => this.index.replace(task, undefined));
    refill(
      this.#tasks,
      snapshot.tasks.map((task) => [task.taskId, taskFromSnapshot(task)]),
    );
    this.#tasks.forEach((task) => this.index.replace(undefined, task));
    refill(this.#nextIndex, snapshot.nextIndex);
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
    // Two nodes may claim the same term: the log's order decides, and the second is void.
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
    // A holder that was paused and wakes up writes with its old term: none of it may count.
    if (record.term !== this.#term || record.holder !== this.#holder) {
      return { accepted: false, voided: [`term ${record.term} of ${record.holder} is over`] };
    }
    // An append that its writer gave up can arrive after the writer decided anew.
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
      const reason = this.#act(action);
      if (reason !== undefined) voided.push(`${action.type} ${subjectOf(action)}: ${reason}`);
    }
    return { accepted: true, voided, left };
  }

  #act(action: ControlAction): string | undefined {
    switch (action.type) {
      case 'host':
        return this.#putHost(action);
      case 'worker':
        return this.#seeWorker(action);
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
    // A host that is gone keeps what is committed: its tasks may still run there.
    const kept = known ?? {
      committed: NO_RESOURCES,
      tasks: new Set<string>(),
      incarnationOffset: -1,
    };
    this.#hosts.set(host.hostId, { ...kept, ...host });
  }

  #seeWorker({ hostId, incarnation }: WorkerAction): string | undefined {
    const host = this.#hosts.get(hostId);
    if (!host) return 'host is not known';
    host.incarnation = incarnation;
    host.incarnationOffset = this.#offset;
    for (const taskId of host.tasks) {
      const task = this.#tasks.get(taskId);
      // Bound before any report: nobody could start it yet, so it takes the first incarnation.
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
    // The fold itself refuses: racing or mistaken schedulers cannot over-commit a host.
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
    this.#index(action);
    return undefined;
  }

  #index({ owner, taskId }: BindAction): void {
    this.#ownerTasks(owner).add(taskId);
    this.#nextIndex.set(owner, Math.max(this.nextIndexOf(owner), taskIndexOf(taskId) + 1));
  }

  #running(action: RunningAction): string | undefined {
    const task = this.#tasks.get(action.taskId);
    const endpoint = action.endpoint ?? task?.endpoint;
    return this.#step(action, { endpoint, checkpoint: action.checkpoint ?? task?.checkpoint });
  }

  #revoke(action: RevokeAction): string | undefined {
    return this.#step(action, { revokeReason: action.reason });
  }

  #end(action: EndedAction): string | undefined {
    const task = this.#tasks.get(action.taskId);
    const checkpoint = action.checkpoint ?? task?.checkpoint;
    const change = { outcome: action.outcome, checkpoint, endpoint: undefined };
    const refusal = this.#step(action, change, action.proof === 'lease' ? 'lapsed' : 'ended');
    if (refusal !== undefined || !task) return refusal;
    this.#release(task);
    if (action.outcome === 'completed') return undefined;
    this.#countFailure(action);
    if (task.kind === 'job') this.#countLost(checkpoint !== undefined, action.lostMs ?? 0);
    return undefined;
  }

  #countLost(resumes: boolean, lostMs: number): void {
    const { resumable, afresh, lostMs: before } = this.#lostWork;
    this.#lostWork = {
      resumable: resumable + (resumes ? 1 : 0),
      afresh: afresh + (resumes ? 0 : 1),
      lostMs: before + lostMs,
    };
  }

  #countFailure({ taskId, outcome }: EndedAction): void {
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
    // Sums of fractions drift; an empty host is a chance to begin anew.
    host.committed =
      host.tasks.size === 0 ? NO_RESOURCES : subtractResources(host.committed, task.resources);
  }

  #step(
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

function refill<K, V>(map: Map<K, V>, entries: readonly (readonly [K, V])[]): void {
  map.clear();
  entries.forEach(([key, value]) => map.set(key, value));
}
