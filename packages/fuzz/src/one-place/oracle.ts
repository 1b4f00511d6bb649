import type { ApplyResult, HostState } from '@redwingcrank/decisions';
import { ControlFold } from '@redwingcrank/decisions';
import type { ControlAction, ControlRecord, StartMessage } from '@redwingcrank/protocol';
import { NO_RESOURCES, addResources, fits } from '@redwingcrank/protocol';
import type { Coverage } from '../coverage.js';
import type { ModelWorker } from './model-worker.js';

/**
 * Checks the actual executions: no task runs twice at the same time, no attempt runs after its end
 * is on the log, each attempt resumes from the checkpoint with which the previous one ended, and no
 * host runs more than is committed there.
 */
export class Oracle {
  /** The fold of every record written so far. */
  readonly fold = new ControlFold();

  readonly #workers: readonly ModelWorker[];

  readonly #coverage: Coverage;

  /** The checkpoint with which each attempt ended, by attempt. */
  readonly #endedWith = new Map<string, string | undefined>();

  constructor(workers: readonly ModelWorker[], coverage: Coverage) {
    this.#workers = workers;
    this.#coverage = coverage;
  }

  /** Checks an execution before it starts. */
  checkStart(worker: ModelWorker, message: StartMessage): void {
    const { taskId, attempt } = message;
    const name = `${taskId}#${attempt}`;
    for (const other of this.#workers) {
      if (other.executing().some((e) => e.message.taskId === taskId)) {
        throw new Error(`${name} starts on ${worker.hostId} while it runs on ${other.hostId}`);
      }
    }
    const task = this.fold.tasks.get(taskId);
    if (task?.attempt !== attempt || task.state === 'ended') {
      throw new Error(
        `${name} starts on ${worker.hostId} although it is not the current attempt on the log or has ended there`,
      );
    }
    this.#checkResumption(message);
    const running = worker.executing().map((e) => e.message.resources);
    const sum = [...running, message.resources].reduce(addResources, NO_RESOURCES);
    const { committed } = this.fold.hosts.get(worker.hostId) as HostState;
    if (!fits(sum, committed))
      throw new Error(`${worker.hostId} would run more than is committed there`);
  }

  /** Folds a record and checks its effects. */
  checkAppend(offset: number, value: unknown): void {
    const before = new Map([...this.fold.hosts].map(([id, host]) => [id, host.committed]));
    const result = this.fold.apply(offset, value);
    this.#count(value as ControlRecord, result);
    for (const host of this.fold.hosts.values()) {
      this.#checkCommitted(host, before.get(host.hostId) ?? NO_RESOURCES);
    }
    const record = value as ControlRecord;
    if (record.type !== 'batch') return;
    for (const action of record.actions) {
      if (action.type === 'ended') this.#checkEnded(action, offset);
    }
  }

  #checkResumption({ taskId, attempt, checkpoint }: StartMessage): void {
    const before = `${taskId}#${attempt - 1}`;
    if (attempt > 1 && !this.#endedWith.has(before)) throw new Error(`${before} has not ended`);
    const lastCheckpoint = this.#endedWith.get(before);
    if (lastCheckpoint !== checkpoint) {
      throw new Error(
        `${before} ended with checkpoint ${lastCheckpoint}, but the next attempt resumes from ${checkpoint}`,
      );
    }
    if (checkpoint !== undefined) this.#coverage.hit('resumed');
  }

  #checkCommitted(host: HostState, before: HostState['committed']): void {
    const tasks = [...host.tasks].map((taskId) => this.fold.tasks.get(taskId)?.resources);
    const sum = tasks.reduce((a, b) => addResources(a as never, b as never), NO_RESOURCES);
    if (!fits(sum as never, host.committed))
      throw new Error(`the tasks of ${host.hostId} need more than is committed there`);
    if (fits(host.committed, host.capacity)) return;
    // Only a host whose capacity shrank may exceed it, and it must not accept more tasks.
    if (!fits(host.committed, before)) throw new Error(`${host.hostId} is over-committed`);
    this.#coverage.hit('host-shrunk-below-committed');
  }

  #checkEnded(action: ControlAction & { type: 'ended' }, offset: number): void {
    const { taskId, attempt, proof } = action;
    const task = this.fold.tasks.get(taskId);
    if (task?.attempt !== attempt || task.state !== 'ended' || task.offset !== offset) return;
    this.#coverage.hit(`${proof}-proof`);
    this.#endedWith.set(`${taskId}#${attempt}`, task.checkpoint);
    for (const worker of this.#workers) {
      const running = worker.executing().map((e) => e.message);
      if (running.some((m) => m.taskId === taskId && m.attempt === attempt)) {
        throw new Error(
          `the log records by ${proof} proof that ${taskId}#${attempt} has ended, but the attempt is running`,
        );
      }
    }
  }

  #count(record: ControlRecord, { voided }: ApplyResult): void {
    if (voided.some((reason) => reason.includes('is over'))) this.#coverage.hit('two-holders');
    if (voided.some((reason) => reason.startsWith('decided at'))) {
      this.#coverage.hit('late-append-voided');
    }
    if (record.type === 'batch' && record.actions.some((a) => a.type === 'leave')) {
      this.#coverage.hit('member-left');
    }
  }
}
