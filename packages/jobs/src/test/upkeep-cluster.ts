import assert from 'node:assert/strict';
import type { StepSpec } from '../job.js';
import type { Machine, MachineList, MachineState, MaintenanceOutcome } from '../machine.js';
import type { Order } from '../order.js';
import { taskName } from '../task-ref.js';
import { WaveProgress } from '../wave-progress.js';
import type { HeldMachine, MaintenanceCall, PlannedWave } from '../internal/upkeep-planner.js';
import { UpkeepPlanner } from '../internal/upkeep-planner.js';
import {
  SchedulerHarness,
  jobSpec,
  runningRow,
  stepSpec,
  workerEntry,
} from './scheduler-harness.js';
import { STEP_MS, pseudoRandom } from './simulated-cluster.js';

const MAINTENANCE_MS = 2_000;

/** How long a long-running task works below its full speed after its start, in milliseconds. */
const WARM_UP_MS = 1_000;

/** A task that is not at work for this time counts as away, whatever the cause, in milliseconds. */
const NOTICE_MS = 5_500;

/** Interval of reads of the machine list, in steps of the simulation. */
const LIST_STEPS = 5;

/** Short tasks that are kept waiting, so that the workers are always full. */
const WAITING_JOBS = 20;

type Start = Order & { kind: 'start' };

interface SimulatedRun {
  readonly start: Start;
  readonly startedMs: number;
  readonly endsMs: number;
}

interface SimulatedMachine {
  readonly name: string;
  /** Whether its workers have the same id in each life, and state which process answers. */
  readonly keepsId: boolean;
  state: MachineState;
  life: number;
  upMs: number;
  readonly maintainedFor: Set<number>;
  readonly runs: Map<string, SimulatedRun>;
}

/**
 * How a maintenance call ends: carried out or not, the outcome that the leader sees, and after how
 * many milliseconds it is carried out.
 */
export type CallFate = readonly [
  isCarriedOut: boolean,
  outcome: MaintenanceOutcome,
  afterMs?: number,
];

/**
 * Simulates a full cluster whose machines have maintenance, in steps of 100 ms. It fails the test
 * as soon as too many machines of a wave are down or too many tasks of a limited step are away.
 */
export class UpkeepCluster {
  readonly harness: SchedulerHarness;

  readonly machines: SimulatedMachine[];

  readonly waves: PlannedWave[] = [];

  readonly completed = new Set<number>();

  /** What happens to a call that could be carried out. */
  fateOf: (call: MaintenanceCall) => CallFate = () => [true, 'done'];

  isListAway = false;

  calls: MaintenanceCall[] = [];

  held: readonly HeldMachine[] = [];

  #planner = new UpkeepPlanner();

  #list: MachineList | undefined;

  #steps = 0;

  /** Calls that are carried out later than they are given up. */
  #late: { readonly machine: SimulatedMachine; readonly wave: number; readonly atMs: number }[] =
    [];

  readonly #random = pseudoRandom(7);

  /** When each long-running task stopped to be at work, and whether the system was the cause. */
  readonly #absent = new Map<string, { readonly sinceMs: number; isOurs: boolean }>();

  constructor(
    machineCount: number,
    limited: Partial<StepSpec>,
    { isFull = true, keepsIds = false } = {},
  ) {
    this.machines = Array.from({ length: machineCount }, (_, i) => newMachine(`m${i}`, keepsIds));
    this.harness = new SchedulerHarness(this.machines.map(entryOf));
    const step = stepSpec({ lasting: true, cpuMilli: 3_000, maxPerWorker: 1, ...limited });
    this.harness.submit(jobSpec([step], { id: 'watch' }));
    // The long-running tasks are at work before the load begins.
    for (let i = 0; i < 15; i += 1) this.step();
    this.isFull = isFull;
    for (let i = 0; i < 20; i += 1) this.step();
    this.calls = [];
  }

  isFull = false;

  wave(number: number, machines: readonly string[], durationMs: number, maxCount: number): void {
    this.waves.push({
      number,
      request: { machines, durationMs, maxCount },
      deadlineMs: this.harness.nowMs + durationMs,
      progress: new WaveProgress({ sinceMs: 0, called: [], done: [], dropped: [] }, 0),
    });
  }

  /** Replaces the leader: only what is stored is known to the next one. */
  changeLeader(): void {
    this.#planner = new UpkeepPlanner();
    this.#list = undefined;
    for (const [i, wave] of this.waves.entries()) {
      const stored = JSON.parse(JSON.stringify(wave.progress.stored()));
      this.waves[i] = { ...wave, progress: new WaveProgress(stored, this.harness.nowMs) };
    }
  }

  /** Ends a machine without maintenance; `returns`: another life of it joins later. */
  crash(machine: SimulatedMachine, returns: boolean): void {
    this.#takeDown(machine, 'down');
    if (!returns) this.machines.splice(this.machines.indexOf(machine), 1);
  }

  /** Runs until all waves are completed; returns how long that took, in milliseconds. */
  run(limitMs: number): number {
    const startMs = this.harness.nowMs;
    while (this.completed.size < this.waves.length) {
      assert.ok(this.harness.nowMs - startMs < limitMs, `held: ${JSON.stringify(this.held)}`);
      this.step();
    }
    return this.harness.nowMs - startMs;
  }

  step(): void {
    const { harness } = this;
    this.#steps += 1;
    if (this.#steps % LIST_STEPS === 0 && !this.isListAway) this.#readList();
    this.#keepFull();
    if (this.waves.length > 0) this.#plan();
    const { orders } = harness.decide();
    harness.nowMs += STEP_MS;
    for (const order of orders) this.#execute(order);
    const due = this.#late.filter(({ atMs }) => atMs <= harness.nowMs);
    this.#late = this.#late.filter((late) => !due.includes(late));
    for (const { machine, wave } of due)
      if (!machine.maintainedFor.has(wave)) this.#maintain(machine, wave);
    for (const machine of [...this.machines]) this.#advance(machine);
    for (const { spec, state } of harness.scheduler.jobs.values())
      if (state === 'completed') harness.scheduler.dropJob(spec.id);
  }

  #readList(): void {
    const rows = this.machines.map((machine): [string, Machine] => {
      const { name, state } = machine;
      return [name, { name, state, worker: state === 'up' ? idOf(machine) : '' }];
    });
    this.#list = { machines: new Map(rows), askedMs: this.harness.nowMs };
  }

  #keepFull(): void {
    if (!this.isFull) return;
    const waiting = [...this.harness.scheduler.jobs.values()].filter(
      ({ state }) => state === 'queued',
    );
    for (let i = waiting.length; i < WAITING_JOBS; i += 1) {
      const id = `${this.harness.nowMs}-${i}`;
      this.harness.submit(jobSpec([stepSpec()], { id, acceptedMs: this.harness.nowMs }));
    }
  }

  #plan(): void {
    const { scheduler, nowMs } = this.harness;
    const { workers, jobs } = scheduler;
    const [waves, list] = [this.waves, this.#list];
    const input = { waves, list, workers, jobs, maintenanceMs: MAINTENANCE_MS, maxCalls: 4 };
    const plan = this.#planner.plan(input, nowMs);
    this.held = plan.held;
    for (const { number, request, progress } of plan.complete) {
      this.completed.add(number);
      for (const machine of this.machines.filter(({ name }) => request.machines.includes(name)))
        assert.ok(machine.maintainedFor.has(number), `${machine.name} was never maintained`);
      progress.complete(request.machines);
    }
    for (const id of plan.ended) scheduler.workerEnded(id, nowMs, 'upkeep');
    scheduler.applyUpkeep(plan, nowMs);
    for (const [, { ref }] of plan.stops) this.#becomesUnavailable(taskName(ref), 'stop');
    for (const call of plan.calls) this.#call(call);
  }

  #call(call: MaintenanceCall): void {
    const { nowMs } = this.harness;
    const { progress } = this.waves.find(({ number }) => number === call.wave)!;
    const machine = this.machines.find(({ name }) => name === call.machine)!;
    const { incarnation } = this.harness.scheduler.workers.get(call.worker) ?? {};
    progress.call(call.machine, call.worker, 1, incarnation);
    this.calls.push(call);
    const fate = this.fateOf(call);
    let [isCarriedOut, outcome] = fate;
    if (fate[2] !== undefined) {
      this.#late.push({ machine, wave: call.wave, atMs: nowMs + fate[2] });
      isCarriedOut = false;
    } else if (machine.maintainedFor.has(call.wave)) isCarriedOut = false;
    else if (machine.state !== 'up') [isCarriedOut, outcome] = [false, 'busy'];
    if (isCarriedOut) this.#maintain(machine, call.wave);
    progress.answered(call.machine, outcome, nowMs);
  }

  #maintain(machine: SimulatedMachine, wave: number): void {
    for (const key of machine.runs.keys()) this.#becomesUnavailable(key, 'maintenance');
    this.#takeDown(machine, 'maintained');
    machine.maintainedFor.add(wave);
    for (const { number, request } of this.waves) {
      const names = this.machines.filter(({ name }) => request.machines.includes(name));
      const down = names.filter(({ state }) => state === 'maintained').length;
      if (request.machines.includes(machine.name))
        assert.ok(down <= request.maxCount, `${down} machines of wave ${number} are down`);
    }
  }

  #takeDown(machine: SimulatedMachine, state: MachineState): void {
    machine.runs.clear();
    Object.assign(machine, { state, upMs: this.harness.nowMs + MAINTENANCE_MS });
  }

  /** Checks the limit before the system ends a long-running task. */
  #becomesUnavailable(key: string, by: string): void {
    const { nowMs, scheduler } = this.harness;
    const step = scheduler.jobs.get('watch')!.spec.steps[0]!;
    if (!key.startsWith('watch.') || step.maxUnavailable === 0) return;
    if (this.#absent.has(key)) return;
    const away = [...this.#absent.values()].filter(
      ({ sinceMs, isOurs }) => isOurs || nowMs - sinceMs >= NOTICE_MS,
    );
    assert.ok(away.length < step.maxUnavailable, `${by} of ${key}, ${away.length} others away`);
    this.#absent.set(key, { sinceMs: nowMs, isOurs: true });
  }

  #execute(order: Order): void {
    const machine = this.machines.find((found) => idOf(found) === order.worker);
    if (machine?.state !== 'up') {
      if (order.kind === 'start') this.harness.answer(order, 'unknown');
      return;
    }
    const key = taskName(order.task);
    if (order.kind === 'start') {
      const isLasting = order.task.jobId === 'watch';
      const endsMs = this.harness.nowMs + (isLasting ? Infinity : 500 + 2_500 * this.#random());
      machine.runs.set(key, { start: order, startedMs: this.harness.nowMs, endsMs });
      this.harness.answer(order, 'done');
    } else if (order.kind === 'stop' && machine.runs.delete(key)) {
      this.harness.report(order.worker, { ended: [this.harness.end(order, 'stopped')] });
    }
  }

  #advance(machine: SimulatedMachine): void {
    const { harness } = this;
    if (machine.state !== 'up') {
      if (harness.nowMs < machine.upMs) return;
      Object.assign(machine, { state: 'up', life: machine.life + 1 });
      harness.scheduler.listWorker(entryOf(machine), harness.nowMs);
    }
    const ended = [...machine.runs].filter(([, { endsMs }]) => endsMs <= harness.nowMs);
    for (const [key] of ended) machine.runs.delete(key);
    const running = [...machine.runs].map(([key, { start, startedMs }]) => {
      const isAtWork = harness.nowMs - startedMs >= WARM_UP_MS;
      if (isAtWork) this.#absent.delete(key);
      return runningRow(start, { percent: isAtWork ? 100 : 50 });
    });
    const ends = ended.map(([, { start }]) => harness.end(start, 'done'));
    const stated = machine.keepsId ? { incarnation: incarnationOf(machine) } : {};
    harness.report(idOf(machine), { ...stated, running, ended: ends });
  }
}

function newMachine(name: string, keepsId: boolean): SimulatedMachine {
  const runs = new Map<string, SimulatedRun>();
  return { name, keepsId, state: 'up', life: 0, upMs: 0, maintainedFor: new Set(), runs };
}

function idOf({ name, keepsId, life }: SimulatedMachine): string {
  return keepsId ? name : `${name}-${life}`;
}

function incarnationOf({ life }: SimulatedMachine): number {
  return life + 1;
}

function entryOf(machine: SimulatedMachine): ReturnType<typeof workerEntry> {
  const dataCentre = Number(machine.name.slice(1)) % 2 === 0 ? 'a' : 'b';
  const stated = machine.keepsId ? { incarnation: incarnationOf(machine) } : {};
  return workerEntry(idOf(machine), { dataCentre, ...stated });
}
