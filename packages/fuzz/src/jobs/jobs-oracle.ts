import type { EndedRow, JobSpec, Order, WorkerEntry } from '@redwingcrank/jobs';
import { parseTaskName, taskName } from '@redwingcrank/jobs';

/** The number of failed runs of one task after which its job fails. */
export const MAX_ATTEMPTS = 3;

/** How long after a worker's announcement to leave a task may still start there, in milliseconds. */
export const DRAIN_MS = 1_500;

/** How long after the evacuation of a data centre a task may still start there, in milliseconds. */
export const EVACUATE_MS = 2_000;

/** The number of workers that must have crashed under a task before its job may be given up. */
const MIN_CRASHES_TO_GIVE_UP = 2;

/** The number of crashed workers after which the starts of a crashing task are limited. */
const MAX_CRASHES = 3;

/** The number of starts after that which a crashing task must not reach. */
const MAX_EXTRA_STARTS = 3;

/** How a run was lost with its worker. */
export type Removal = 'crashed' | 'left';

export interface TaskFacts {
  /** Workers on which the task runs now. */
  readonly runningOn: Set<string>;
  /** Whether a worker has ever started it. */
  hasBegun: boolean;
  isDone: boolean;
  /** A successful end was acknowledged, so the task must not start again. */
  isEndAcknowledged: boolean;
  acknowledgedFailures: number;
  /** The number of its runs that ended `failed`. */
  failures: number;
  /** The number of workers that crashed while a run of the task had begun there. */
  crashes: number;
  /** The task crashes each worker that starts it. */
  isCrashing: boolean;
  /** The number of starts after its first `MAX_CRASHES` crashes. */
  extraStarts: number;
  /** The task is long-running: it has no successful end and is restarted after every failure. */
  isLongRunning: boolean;
  /** The task is long-running, and its job is neither cancelled nor given up. */
  mustRun: boolean;
  /** Since when a long-running task runs nowhere. */
  downSinceMs: number;
}

/** Checks the guarantees given to callers by the actions of the workers alone. */
export class JobsOracle {
  readonly #tasks = new Map<string, TaskFacts>();

  /** Claimed processor time by worker, in thousandths of a core. */
  readonly #load = new Map<string, number>();

  /** Ends that were listed but not acknowledged when the leases of their worker expired. */
  readonly #expiredEnds = new Set<string>();

  readonly #unacknowledged = new Map<string, Set<string>>();

  /** When each leaving worker announced that it leaves. */
  readonly #leavingSinceMs = new Map<string, number>();

  /** Since when each evacuated data centre is so. */
  readonly #evacuatedSinceMs = new Map<string, number>();

  /** Bindings that the store has held: task, run and worker. */
  readonly #bindings = new Set<string>();

  nowMs = 0;

  /** Requires the tasks of this job to run from now on. */
  expectLongRunning({ id, steps }: JobSpec): void {
    for (let index = 0; index < steps[0]!.taskCount; index += 1) {
      const facts = this.#facts(taskName({ jobId: id, occurrence: 0, step: 0, index }));
      Object.assign(facts, { isLongRunning: true, mustRun: true, downSinceMs: this.nowMs });
    }
  }

  /** Limits the starts of the tasks of this job, which crash each worker that starts them. */
  expectCrashes({ id, steps }: JobSpec): void {
    for (let index = 0; index < steps[0]!.taskCount; index += 1) {
      const name = taskName({ jobId: id, occurrence: 0, step: 0, index });
      Object.assign(this.#facts(name), { isCrashing: true });
    }
  }

  /** Stops requiring the tasks of this job to run. */
  cancelled(jobId: string): void {
    this.#expectNoRuns(jobId);
  }

  /**
   * Checks that a job shown as failed has a task which may be given up: it has used up its
   * attempts, or two workers have crashed under it.
   */
  failed(jobId: string): void {
    const tasks = [...this.#tasks].filter(([name]) => parseTaskName(name)?.jobId === jobId);
    const mayGiveUp = tasks.some(([, facts]) => this.mayGiveUp(facts));
    expect(
      mayGiveUp,
      `${jobId} is shown as failed: ${tasks
        .map(([name, { failures, crashes }]) => `${name} failed ${failures}, crashed ${crashes}`)
        .join('; ')}`,
    );
    this.#expectNoRuns(jobId);
  }

  /** Returns whether a job with this task may be shown as failed. */
  protected mayGiveUp({ crashes, isLongRunning, failures }: TaskFacts): boolean {
    return crashes >= MIN_CRASHES_TO_GIVE_UP || (!isLongRunning && failures >= MAX_ATTEMPTS);
  }

  #expectNoRuns(jobId: string): void {
    for (const [name, facts] of this.#tasks) {
      if (parseTaskName(name)?.jobId === jobId) facts.mustRun = false;
    }
  }

  /** Checks that no long-running task is down past `deadlineMs`, given since when it is down. */
  checkDowntime(deadlineMs: (sinceMs: number) => number): void {
    for (const [name, { mustRun, runningOn, downSinceMs }] of this.#tasks) {
      const isInTime = !mustRun || runningOn.size > 0 || this.nowMs <= deadlineMs(downSinceMs);
      expect(isInTime, `${name} is down since ${downSinceMs} ms, the time is ${this.nowMs} ms`);
    }
  }

  /** Checks that no long-running task runs on this worker. */
  checkEvacuated(worker: string): void {
    for (const [name, { mustRun, runningOn }] of this.#tasks) {
      expect(!mustRun || !runningOn.has(worker), `${name} still runs on ${worker}`);
    }
  }

  /** Records that the store has confirmed the worker's announcement to leave. */
  leaving(worker: string): void {
    this.#leavingSinceMs.set(worker, this.nowMs);
  }

  /** Records that the store has confirmed the evacuation of a data centre, or its end. */
  evacuated(dataCentre: string, isEvacuated: boolean): void {
    if (isEvacuated) this.#evacuatedSinceMs.set(dataCentre, this.nowMs);
    else this.#evacuatedSinceMs.delete(dataCentre);
  }

  /** Records that the store holds a binding of this task. */
  bindingStored(task: string, run: number, worker: string): void {
    this.#bindings.add(`${task} ${run} ${worker}`);
  }

  /** `isLate`: the worker carries out an order that was meant for a former process; no time bound covers that. */
  started(worker: WorkerEntry, { task, run }: Order, isLate = false): void {
    const name = taskName(task);
    const isStored = this.#bindings.has(`${name} ${run} ${worker.id}`);
    expect(isStored, `${name} run ${run} starts on ${worker.id} without a stored binding`);
    const announcedMs = this.#leavingSinceMs.get(worker.id) ?? Infinity;
    expect(
      isLate || this.nowMs <= announcedMs + DRAIN_MS,
      `${name} starts on ${worker.id} too long after the worker announced that it leaves`,
    );
    const evacuatedMs = this.#evacuatedSinceMs.get(worker.dataCentre) ?? Infinity;
    expect(
      isLate || this.nowMs <= evacuatedMs + EVACUATE_MS,
      `${name} starts on ${worker.id} too long after ${worker.dataCentre} was evacuated`,
    );
    const facts = this.#facts(name);
    const maxRuns = this.maxRunsOf(task.jobId);
    expect(
      facts.runningOn.size < maxRuns && !facts.runningOn.has(worker.id),
      `${name} run ${run} starts while ${maxRuns === 1 ? 'another run is' : 'others are'} running`,
    );
    expect(
      !facts.isEndAcknowledged,
      `${name} run ${run} starts after its successful end was acknowledged`,
    );
    const mayStart = facts.isLongRunning || facts.acknowledgedFailures < MAX_ATTEMPTS;
    expect(mayStart, `${name} starts after its last attempt`);
    if (facts.isCrashing && facts.crashes >= MAX_CRASHES) facts.extraStarts += 1;
    expect(
      facts.extraStarts < MAX_EXTRA_STARTS,
      `${name} run ${run} is start ${facts.extraStarts} after ${MAX_CRASHES} workers crashed under it`,
    );
    for (let index = 0; task.step > 0; index += 1) {
      const before = this.#tasks.get(taskName({ ...task, step: task.step - 1, index }));
      if (!before) break;
      expect(before.isDone, `${name} starts before the step it depends on has ended`);
    }
    const load = (this.#load.get(worker.id) ?? 0) + 1_000;
    expect(load <= worker.capacity.cpuMilli, `${worker.id} is over its capacity`);
    this.#load.set(worker.id, load);
    facts.runningOn.add(worker.id);
    facts.hasBegun = true;
  }

  /** Returns how many runs of a task of the job may run at once. */
  protected maxRunsOf(_jobId: string): number {
    return 1;
  }

  ended(worker: string, row: EndedRow): void {
    const facts = this.#facts(row.task);
    facts.runningOn.delete(worker);
    facts.downSinceMs = this.nowMs;
    this.#load.set(worker, (this.#load.get(worker) ?? 0) - 1_000);
    if (row.how === 'done') facts.isDone = true;
    if (row.how === 'failed') facts.failures += 1;
    const unacknowledged = this.#unacknowledged.get(worker) ?? new Set();
    this.#unacknowledged.set(worker, unacknowledged.add(`${worker} ${row.number}`));
  }

  /** Records that a worker's leases expired: ends not acknowledged by then no longer count. */
  leasesExpired(worker: string): void {
    for (const end of this.#unacknowledged.get(worker) ?? []) this.#expiredEnds.add(end);
  }

  acknowledged(worker: string, row: EndedRow): void {
    const key = `${worker} ${row.number}`;
    this.#unacknowledged.get(worker)?.delete(key);
    if (this.#expiredEnds.has(key)) return;
    const facts = this.#facts(row.task);
    if (row.how === 'done') facts.isEndAcknowledged = true;
    if (row.how === 'failed') facts.acknowledgedFailures += 1;
  }

  /** Records that another process runs under the id of a worker: its numbers of ends start anew. */
  restarted(worker: string): void {
    this.#load.delete(worker);
    this.#unacknowledged.delete(worker);
    for (const end of [...this.#expiredEnds])
      if (end.startsWith(`${worker} `)) this.#expiredEnds.delete(end);
  }

  /** Records that a run ended with its worker. */
  removed(worker: string, task: string, removal: Removal): void {
    const facts = this.#facts(task);
    if (removal === 'crashed') facts.crashes += 1;
    facts.runningOn.delete(worker);
    facts.downSinceMs = this.nowMs;
  }

  /** Records that a start was on its way to a worker as that crashed. */
  startLost(task: string): void {
    const facts = this.#facts(task);
    if (facts.runningOn.size === 0) facts.downSinceMs = this.nowMs;
  }

  /** Checks that a worker has started a task of a job that is shown as running. */
  shownRunning(jobId: string): void {
    const hasBegun = [...this.#tasks].some(
      ([name, facts]) => parseTaskName(name)?.jobId === jobId && facts.hasBegun,
    );
    expect(hasBegun, `${jobId} is shown as running, and no task of it has begun`);
  }

  /** Checks that every task of a job shown as completed has ended successfully. */
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
        hasBegun: false,
        isDone: false,
        isEndAcknowledged: false,
        acknowledgedFailures: 0,
        failures: 0,
        crashes: 0,
        isCrashing: false,
        extraStarts: 0,
        isLongRunning: false,
        mustRun: false,
        downSinceMs: this.nowMs,
      };
      this.#tasks.set(name, facts);
    }
    return facts;
  }
}

function expect(condition: boolean, message: string): void {
  if (!condition) throw new Error(message);
}
