import type { EndedRow, JobSpec, Order, WorkerEntry } from '@redwingcrank/jobs';
import { parseTaskName, taskName } from '@redwingcrank/jobs';

/** Runs of one task that may end as failed before its job is over. */
export const MAX_ATTEMPTS = 3;

/** So long after a worker has said that it leaves a task may still begin there, in milliseconds. */
export const DRAIN_MS = 1_500;

interface TaskFacts {
  /** Workers on which it runs now. */
  readonly runningOn: Set<string>;
  isDone: boolean;
  /** A good end was noted, so no further start is right. */
  isNoted: boolean;
  notedFailures: number;
  /** It runs on without a good end, and is restarted however often it fails. */
  isLasting: boolean;
  /** It is lasting, and its job is not cancelled. */
  isOwed: boolean;
  /** Since when it runs nowhere, where it is lasting. */
  awaySinceMs: number;
}

/** The promises to callers, checked on what workers do and nothing else. */
export class JobsOracle {
  readonly #tasks = new Map<string, TaskFacts>();

  /** Claimed processor time by worker, in thousandths of a core. */
  readonly #load = new Map<string, number>();

  /** Ends that were listed and not noted when the leases of their worker lapsed. */
  readonly #lapsedEnds = new Set<string>();

  readonly #unnoted = new Map<string, Set<string>>();

  /** When a worker that leaves has said so. */
  readonly #leavingSinceMs = new Map<string, number>();

  nowMs = 0;

  /** From now on the tasks of this job must be at work. */
  expectLasting({ id, steps }: JobSpec): void {
    for (let index = 0; index < steps[0]!.taskCount; index += 1) {
      const facts = this.#facts(taskName({ jobId: id, occurrence: 0, step: 0, index }));
      Object.assign(facts, { isLasting: true, isOwed: true, awaySinceMs: this.nowMs });
    }
  }

  /** Nothing is owed any more to the callers of this job. */
  cancelled(jobId: string): void {
    for (const [name, facts] of this.#tasks) {
      if (parseTaskName(name)?.jobId === jobId) facts.isOwed = false;
    }
  }

  /** No lasting task is away for too long; `dueMs` tells until when one must be back. */
  checkAway(dueMs: (sinceMs: number) => number): void {
    for (const [name, { isOwed, runningOn, awaySinceMs }] of this.#tasks) {
      const isBack = !isOwed || runningOn.size > 0 || this.nowMs <= dueMs(awaySinceMs);
      expect(isBack, `${name} is away since ${awaySinceMs}, now is ${this.nowMs}`);
    }
  }

  /** No lasting task is on this worker. */
  checkEvacuated(worker: string): void {
    for (const [name, { isOwed, runningOn }] of this.#tasks) {
      expect(!isOwed || !runningOn.has(worker), `${name} was left on ${worker}`);
    }
  }

  /** The store has confirmed that the worker leaves. */
  leaving(worker: string): void {
    this.#leavingSinceMs.set(worker, this.nowMs);
  }

  started(worker: WorkerEntry, { task, run }: Order): void {
    const name = taskName(task);
    const saidMs = this.#leavingSinceMs.get(worker.id) ?? Infinity;
    expect(this.nowMs <= saidMs + DRAIN_MS, `${name} starts on ${worker.id}, which left long ago`);
    const facts = this.#facts(name);
    expect(facts.runningOn.size === 0, `${name} run ${run} starts beside another run`);
    expect(!facts.isNoted, `${name} run ${run} starts after its good end was noted`);
    const mayStart = facts.isLasting || facts.notedFailures < MAX_ATTEMPTS;
    expect(mayStart, `${name} starts after its last attempt`);
    for (let index = 0; task.step > 0; index += 1) {
      const before = this.#tasks.get(taskName({ ...task, step: task.step - 1, index }));
      if (!before) break;
      expect(before.isDone, `${name} starts before the step it depends on has ended`);
    }
    const load = (this.#load.get(worker.id) ?? 0) + 1_000;
    expect(load <= worker.capacity.cpuMilli, `${worker.id} is over its capacity`);
    this.#load.set(worker.id, load);
    facts.runningOn.add(worker.id);
  }

  ended(worker: string, row: EndedRow): void {
    const facts = this.#facts(row.task);
    facts.runningOn.delete(worker);
    facts.awaySinceMs = this.nowMs;
    this.#load.set(worker, (this.#load.get(worker) ?? 0) - 1_000);
    if (row.how === 'done') facts.isDone = true;
    const unnoted = this.#unnoted.get(worker) ?? new Set();
    this.#unnoted.set(worker, unnoted.add(`${worker} ${row.number}`));
  }

  /** The leases of a worker lapsed: ends that nobody had noted by then count for nothing. */
  lapsed(worker: string): void {
    for (const end of this.#unnoted.get(worker) ?? []) this.#lapsedEnds.add(end);
  }

  noted(worker: string, row: EndedRow): void {
    const key = `${worker} ${row.number}`;
    this.#unnoted.get(worker)?.delete(key);
    if (this.#lapsedEnds.has(key)) return;
    const facts = this.#facts(row.task);
    if (row.how === 'done') facts.isNoted = true;
    if (row.how === 'failed') facts.notedFailures += 1;
  }

  gone(worker: string, task: string): void {
    const facts = this.#facts(task);
    facts.runningOn.delete(worker);
    facts.awaySinceMs = this.nowMs;
  }

  /** Every task of a job shown as completed has ended well. */
  completed(jobId: string): void {
    for (const [name, facts] of this.#tasks) {
      if (parseTaskName(name)?.jobId === jobId) {
        expect(facts.isDone, `${jobId} is shown as completed without ${name}`);
      }
    }
  }

  #facts(name: string): TaskFacts {
    let facts = this.#tasks.get(name);
    if (!facts) {
      facts = {
        runningOn: new Set(),
        isDone: false,
        isNoted: false,
        notedFailures: 0,
        isLasting: false,
        isOwed: false,
        awaySinceMs: this.nowMs,
      };
      this.#tasks.set(name, facts);
    }
    return facts;
  }
}

function expect(holds: boolean, what: string): void {
  if (!holds) throw new Error(what);
}
