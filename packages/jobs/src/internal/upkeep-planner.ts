import type { JobProgress } from '../job-progress.js';
import { isFinal } from '../job.js';
import type { HoldReason, Machine, MachineList, WaveRequest } from '../machine.js';
import type { WaveProgress } from '../wave-progress.js';
import { awayCount, isAtWork, stepKeyOf } from './step-availability.js';
import type { WorkerRun } from './worker-run.js';
import type { WorkerState } from './worker-state.js';

/**
 * How long before the drain of its machine ends a run that saves checkpoints is stopped, in
 * milliseconds: a stop may take 900 ms, and its end must still be received.
 */
const CHECKPOINT_LEAD_MS = 1_200;

/** A machine that the list has not shown for this time is dropped from its waves, in milliseconds. */
const MISSING_MACHINE_MS = 10_000;

/**
 * With an older list no machine drains and none is called, in milliseconds: the machine may have
 * another worker by now. Six reads are missed by then.
 */
const MAX_LIST_AGE_MS = 3_000;

/** The time between the end of maintenance and the list that shows it, in milliseconds. */
const DETECTION_MS = 600;

/** One wave of maintenance as the leader knows it. */
export interface PlannedWave {
  readonly number: number;
  readonly request: WaveRequest;
  /** When each of its machines should have had its maintenance, on the monotonic clock. */
  readonly deadlineMs: number;
  readonly progress: WaveProgress;
}

/** What the planner decides from. */
export interface UpkeepInput {
  readonly waves: readonly PlannedWave[];
  /** Undefined before the machines have been listed. */
  readonly list: MachineList | undefined;
  readonly workers: ReadonlyMap<string, WorkerState>;
  readonly jobs: ReadonlyMap<string, JobProgress>;
  /** How long the maintenance of a machine takes, in milliseconds. */
  readonly maintenanceMs: number;
  /** How many calls may be made now; 0 while this leader must not call. */
  readonly maxCalls: number;
}

/** A machine whose maintenance is to begin now. */
export interface MaintenanceCall {
  readonly wave: number;
  readonly machine: string;
  readonly worker: string;
}

/** A machine whose maintenance does not begin yet. */
export interface HeldMachine {
  readonly wave: number;
  readonly machine: string;
  readonly reason: HoldReason;
}

export interface UpkeepPlan {
  /** Workers that get no new tasks. */
  readonly closed: ReadonlySet<string>;
  /** Runs to be stopped, with their workers. */
  readonly stops: readonly (readonly [WorkerState, WorkerRun])[];
  readonly calls: readonly MaintenanceCall[];
  readonly held: readonly HeldMachine[];
  /** Waves whose remaining machines have all begun their maintenance. */
  readonly complete: readonly PlannedWave[];
  /** Workers that are known to have ended with the maintenance of their machines. */
  readonly ended: ReadonlySet<string>;
}

interface Drain {
  /** When the machine is called with whatever still runs there. */
  readonly endMs: number;
  /** Whether a limit on unavailable tasks holds the machine back although its drain is over. */
  isHeld: boolean;
}

/** What one plan has decided so far. */
interface Draft {
  readonly nowMs: number;
  readonly list: MachineList;
  readonly input: UpkeepInput;
  /** Machines that are or may be down for maintenance, calls of this plan included. */
  readonly downMachines: Set<string>;
  /** The workers of these machines. */
  readonly downWorkers: Set<string>;
  readonly closed: Set<string>;
  readonly stops: [WorkerState, WorkerRun][];
  readonly calls: MaintenanceCall[];
  readonly held: HeldMachine[];
  /** Machines that an earlier wave of this plan drains or calls. */
  readonly taken: Set<string>;
  /** Tasks that this plan makes unavailable, by step. */
  readonly ending: Map<string, number>;
}

/**
 * Decides how waves of maintenance proceed: which machines drain, which runs are stopped, and which
 * machines are called. The wave with the nearest deadline goes first. `maxUnavailable` of a step
 * takes precedence over a deadline.
 */
export class UpkeepPlanner {
  readonly #drains = new Map<string, Drain>();

  /** For each machine that the newest list lacks: when the first list without it was requested. */
  readonly #missingSinceMs = new Map<string, number>();

  #newestList: MachineList | undefined;

  plan(input: UpkeepInput, nowMs: number): UpkeepPlan {
    const { list, maintenanceMs } = input;
    const waves = [...input.waves].sort((a, b) => a.deadlineMs - b.deadlineMs);
    const ended = new Set<string>();
    if (list && list !== this.#newestList) {
      this.#newestList = list;
      this.#noteMissing(waves, list);
      for (const { progress } of waves) {
        for (const id of progress.endedWorkers(list)) if (input.workers.has(id)) ended.add(id);
        progress.listed(list, maintenanceMs, (id) => input.workers.get(id)?.incarnation);
      }
    }
    for (const { request, progress } of waves)
      for (const machine of request.machines)
        if (this.#isDropped(machine)) progress.forget(machine);
    const complete = waves.filter((wave) => this.#remaining(wave).length === 0);
    const draft = this.#newDraft(input, waves, nowMs);
    if (nowMs - draft.list.askedMs > MAX_LIST_AGE_MS) this.#drains.clear();
    else for (const wave of waves) this.#planWave(wave, waves, draft);
    this.#forgetDrains(waves);
    return { ...draft, complete, ended };
  }

  isDraining(machine: string): boolean {
    return this.#drains.has(machine);
  }

  /**
   * Whether a planned call may still be sent. Storing its record takes a while, in which a task of a
   * limited step elsewhere may have become unavailable.
   */
  isStillAllowed({ machine, worker }: MaintenanceCall, input: UpkeepInput, nowMs: number): boolean {
    const { list, waves } = input;
    if (!list || nowMs - list.askedMs > MAX_LIST_AGE_MS) return false;
    const draft = this.#newDraft(input, waves, nowMs);
    const { state, worker: current } = list.machines.get(machine) ?? {};
    if (state !== 'up' || current !== worker) return false;
    draft.downMachines.delete(machine);
    draft.downWorkers.delete(worker);
    const known = input.workers.get(worker);
    return hasSlot(machine, waves, draft) && (!known || tasksEnding(known, draft) !== undefined);
  }

  #newDraft(input: UpkeepInput, waves: readonly PlannedWave[], nowMs: number): Draft {
    const list = input.list ?? { machines: new Map(), askedMs: -Infinity };
    const downMachines = new Set<string>();
    const downWorkers = new Set<string>();
    for (const { request, progress } of waves) {
      for (const name of request.machines) {
        const machine = list.machines.get(name);
        if (progress.isDown(name) || machine?.state === 'maintained') {
          downMachines.add(name);
          const id = progress.downWorker(name);
          if (id !== undefined) downWorkers.add(id);
          if (machine?.worker) downWorkers.add(machine.worker);
        }
      }
    }
    return {
      nowMs,
      list,
      input,
      downMachines,
      downWorkers,
      closed: new Set(downWorkers),
      stops: [],
      calls: [],
      held: [],
      taken: new Set(),
      ending: new Map(),
    };
  }

  #noteMissing(waves: readonly PlannedWave[], { machines, askedMs }: MachineList): void {
    for (const { request } of waves) {
      for (const name of request.machines) {
        if (machines.has(name)) this.#missingSinceMs.delete(name);
        else if (!this.#missingSinceMs.has(name)) this.#missingSinceMs.set(name, askedMs);
      }
    }
  }

  #isDropped(machine: string): boolean {
    const sinceMs = this.#missingSinceMs.get(machine) ?? Infinity;
    return (this.#newestList?.askedMs ?? -Infinity) - sinceMs >= MISSING_MACHINE_MS;
  }

  #remaining({ request, progress }: PlannedWave): string[] {
    return request.machines.filter((name) => !progress.isSettled(name) && !this.#isDropped(name));
  }

  #planWave(wave: PlannedWave, waves: readonly PlannedWave[], draft: Draft): void {
    const { nowMs, list, taken, input } = draft;
    const { maxCount } = wave.request;
    const remaining = this.#remaining(wave);
    const batches = Math.ceil(remaining.length / maxCount);
    const leftMs = wave.deadlineMs - nowMs - input.maintenanceMs - DETECTION_MS;
    const drainMs = Math.max(0, leftMs / batches);
    let places = this.#freePlaces(wave, remaining);
    for (const name of remaining) {
      const machine = list.machines.get(name);
      const mayCall = wave.progress.mayCall(name, list, nowMs);
      const isLeftOut = !mayCall && wave.progress.isForeign(name);
      if (!machine || taken.has(name) || isLeftOut || !this.#isAvailable(wave, machine, draft)) {
        if (!wave.progress.isDown(name)) this.#hold(wave, name, 'busy', draft);
        // A machine that cannot be called takes tasks again.
        if (!taken.has(name)) this.#drains.delete(name);
      } else if (!mayCall) {
        // It stays empty until its call is repeated.
        if (this.#drains.has(name)) draft.closed.add(machine.worker);
        if (!wave.progress.isDown(name)) this.#hold(wave, name, 'busy', draft);
      } else {
        if (wave.progress.isDown(name)) {
          // It counts as down already: the call is repeated without another drain.
          this.#drains.set(name, { endMs: nowMs, isHeld: false });
        } else if (!this.#drains.has(name) && places > 0) {
          this.#drains.set(name, { endMs: nowMs + drainMs, isHeld: false });
          places -= 1;
        }
        const drain = this.#drains.get(name);
        if (drain) this.#advance(wave, machine, drain, waves, draft);
        else this.#hold(wave, name, 'max-count', draft);
      }
    }
  }

  /**
   * Returns how many more machines may begin to drain. As many drain as may be down, so that the next
   * ones are empty when those that are down return. A machine that is held back by a limit on
   * unavailable tasks may stay so for long, so others drain in its place, up to as many again.
   */
  #freePlaces({ request, progress }: PlannedWave, remaining: readonly string[]): number {
    const { maxCount } = request;
    const drains = remaining
      .filter((name) => !progress.isDown(name))
      .flatMap((name) => this.#drains.get(name) ?? []);
    const unheld = drains.filter(({ isHeld }) => !isHeld).length;
    return Math.min(maxCount - unheld, 2 * maxCount - drains.length);
  }

  /** Whether the machine could be called now, apart from what runs on it. */
  #isAvailable({ progress }: PlannedWave, machine: Machine, draft: Draft): boolean {
    const { name, state, worker } = machine;
    if (state !== 'up' || worker === '') return false;
    // Another wave has called the machine, and the list does not show it yet.
    if (draft.downMachines.has(name) && !progress.isDown(name)) return false;
    const known = draft.input.workers.get(worker);
    return !known?.listed || !known.entry.draining;
  }

  /** Drains a machine, and calls it when it is empty or its drain is over. */
  #advance(
    wave: PlannedWave,
    { name, worker: id }: Machine,
    drain: Drain,
    waves: readonly PlannedWave[],
    draft: Draft,
  ): void {
    const { nowMs, input, closed, taken, calls } = draft;
    closed.add(id);
    taken.add(name);
    const worker = input.workers.get(id);
    const isLimited = worker ? this.#stopRuns(worker, drain.endMs, draft) : false;
    const isEmpty = !worker || worker.runs.size === 0;
    if (!isEmpty && nowMs < drain.endMs) {
      this.#hold(wave, name, isLimited ? 'max-unavailable' : 'drain', draft);
      return;
    }
    const ending = worker ? tasksEnding(worker, draft) : new Map<string, number>();
    Object.assign(drain, { isHeld: !ending });
    if (!ending) this.#hold(wave, name, 'max-unavailable', draft);
    else if (!hasSlot(name, waves, draft)) this.#hold(wave, name, 'max-count', draft);
    else if (calls.length < input.maxCalls) {
      for (const [step, count] of ending)
        draft.ending.set(step, (draft.ending.get(step) ?? 0) + count);
      draft.downMachines.add(name);
      calls.push({ wave: wave.number, machine: name, worker: id });
    }
  }

  /**
   * Stops the runs of a draining worker that are due. Long-running ones run elsewhere within
   * moments. Returns whether a limit on unavailable tasks keeps one from being stopped.
   */
  #stopRuns(worker: WorkerState, endMs: number, draft: Draft): boolean {
    const { nowMs, stops, ending } = draft;
    let isLimited = false;
    for (const run of worker.runs.values()) {
      const { spec, ref } = run;
      const isDue = spec.lasting || (spec.checkpointing && nowMs >= endMs - CHECKPOINT_LEAD_MS);
      if (isDue && run.confirmed && run.stopSentMs === 0) {
        const mayStop = mayEnd(worker, run, draft);
        isLimited ||= !mayStop;
        if (mayStop) {
          stops.push([worker, run]);
          const step = stepKeyOf(ref);
          ending.set(step, (ending.get(step) ?? 0) + 1);
        }
      }
    }
    return isLimited;
  }

  #hold({ number }: PlannedWave, machine: string, reason: HoldReason, { held }: Draft): void {
    held.push({ wave: number, machine, reason });
  }

  #forgetDrains(waves: readonly PlannedWave[]): void {
    const wanted = new Set(waves.flatMap((wave) => this.#remaining(wave)));
    for (const machine of this.#drains.keys())
      if (!wanted.has(machine)) this.#drains.delete(machine);
  }
}

/** Whether every wave that names the machine may have one more machine down. */
function hasSlot(machine: string, waves: readonly PlannedWave[], { downMachines }: Draft): boolean {
  return waves.every(({ request: { machines, maxCount } }) => {
    if (!machines.includes(machine)) return true;
    const down = machines.filter((other) => other !== machine && downMachines.has(other));
    return down.length < maxCount;
  });
}

function isLimitedRun({ spec }: WorkerRun, job: JobProgress | undefined): boolean {
  return spec.maxUnavailable > 0 && !(job && isFinal(job.state));
}

/** Whether a run may be stopped without making too many tasks of its step unavailable. */
function mayEnd(worker: WorkerState, run: WorkerRun, draft: Draft): boolean {
  const { input, nowMs, downWorkers, ending } = draft;
  const job = input.jobs.get(run.ref.jobId);
  if (!isLimitedRun(run, job)) return true;
  if (!job) return false;
  const away = awayCount(job, run.ref, input.workers, downWorkers, nowMs);
  const own = isAtWork(worker, run, nowMs) ? 0 : 1;
  const planned = ending.get(stepKeyOf(run.ref)) ?? 0;
  return away - own + planned < run.spec.maxUnavailable;
}

/**
 * Returns how many tasks of each limited step would become unavailable if the machine of the worker
 * were maintained now; undefined if these are too many for a step.
 */
function tasksEnding(worker: WorkerState, draft: Draft): Map<string, number> | undefined {
  const { input, nowMs, downWorkers } = draft;
  const ending = new Map<string, number>();
  const limited: [JobProgress, WorkerRun][] = [];
  for (const run of worker.runs.values()) {
    const job = input.jobs.get(run.ref.jobId);
    if (isLimitedRun(run, job) && isAtWork(worker, run, nowMs)) {
      if (!job) return undefined;
      const step = stepKeyOf(run.ref);
      ending.set(step, (ending.get(step) ?? 0) + 1);
      limited.push([job, run]);
    }
  }
  for (const [job, { ref, spec }] of limited) {
    const step = stepKeyOf(ref);
    const away = awayCount(job, ref, input.workers, downWorkers, nowMs);
    const planned = draft.ending.get(step) ?? 0;
    if (away + planned + ending.get(step)! > spec.maxUnavailable) return undefined;
  }
  return ending;
}
