import type { EndedRow, Order, WorkerEntry } from '@redwingcrank/jobs';
import { parseTaskName, taskName } from '@redwingcrank/jobs';

/** Runs of one task that may end as failed before its job is over. */
export const MAX_ATTEMPTS = 3;

interface TaskFacts {
  /** Workers on which it runs now. */
  readonly runningOn: Set<string>;
  isDone: boolean;
  /** A good end was noted, so no further start is right. */
  isNoted: boolean;
  notedFailures: number;
}

/** The promises to callers, checked on what workers do and nothing else. */
export class JobsOracle {
  readonly #tasks = new Map<string, TaskFacts>();

  /** Claimed processor time by worker, in thousandths of a core. */
  readonly #load = new Map<string, number>();

  /** Ends that were listed and not noted when the leases of their worker lapsed. */
  readonly #lapsedEnds = new Set<string>();

  readonly #unnoted = new Map<string, Set<string>>();

  started(worker: WorkerEntry, { task, run }: Order): void {
    const name = taskName(task);
    const facts = this.#facts(name);
    expect(facts.runningOn.size === 0, `${name} run ${run} starts beside another run`);
    expect(!facts.isNoted, `${name} run ${run} starts after its good end was noted`);
    expect(facts.notedFailures < MAX_ATTEMPTS, `${name} starts after its last attempt`);
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
    this.#facts(task).runningOn.delete(worker);
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
      facts = { runningOn: new Set(), isDone: false, isNoted: false, notedFailures: 0 };
      this.#tasks.set(name, facts);
    }
    return facts;
  }
}

function expect(holds: boolean, what: string): void {
  if (!holds) throw new Error(what);
}
