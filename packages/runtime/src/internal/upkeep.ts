import type { HoldReason, MaintenanceCall, PlannedWave, UpkeepInput } from '@redwingcrank/jobs';
import { UpkeepPlanner, WaveProgress } from '@redwingcrank/jobs';
import type { Scheduler } from '@redwingcrank/jobs';
import type { KeyedWrite } from '../keyed-log.js';
import type { WavePort, WaveState } from '../machine-port.js';
import type { NodeLog } from '../node-log.js';
import type { NodeSettings } from '../node-settings.js';
import { CallBudget } from './call-budget.js';
import { steadyMs } from './delay.js';
import { MachineReader } from './machine-reader.js';
import { CLOCK_MARGIN_MS } from './timing.js';
import { encodeUpkeep } from './upkeep-record.js';
import { WaveStates } from './wave-states.js';
import type { WaveView } from './wave-view.js';
import type { RequestedWave, WaveWatch } from './wave-watch.js';
import { upkeepKey } from './work-records.js';
import type { WorkTable } from './work-table.js';

/**
 * The leader calls only while its newest confirmed record is at most this old, in milliseconds: four
 * of its regular records. The next leader relies on it.
 */
const CALL_VIEW_MS = 1_000;

/**
 * For how long machines are listed after their wave was completed, until they are up again, in
 * milliseconds: the list shows soonest which tasks have ended with the last machines.
 */
const CLOSING_MS = 10_000;

/** What the upkeep of a term depends on. */
export interface UpkeepDependencies {
  readonly port: WavePort;
  readonly settings: NodeSettings;
  readonly log: NodeLog;
  readonly table: Pick<WorkTable, 'upkeep'>;
  readonly waves: WaveWatch;
  readonly scheduler: Scheduler;
  /** The fencing token of the term. */
  readonly token: number;
  /** When the newest record of the term that the store has confirmed was sent. */
  readonly confirmedMs: () => number;
  /** Whether calls may be made as far as the term is concerned. */
  readonly mayCall: () => boolean;
  /** Called when a later leader has called. */
  readonly fenced: () => void;
  readonly workerEnded: (worker: string) => void;
  /** Requests a round. */
  readonly wake: () => void;
  readonly signal: AbortSignal;
}

/**
 * Carries out waves of maintenance on the leader. In each round it plans, and returns the records
 * that state which machines are about to be called; once these are stored, it calls.
 */
export class Upkeep {
  readonly #deps: UpkeepDependencies;

  readonly #planner = new UpkeepPlanner();

  readonly #reader: MachineReader | undefined;

  readonly #states: WaveStates;

  readonly #budget: CallBudget;

  readonly #progress = new Map<number, WaveProgress>();

  /** The newest record of each wave that was written. */
  readonly #written = new Map<number, string>();

  /** Calls whose records are being stored. */
  #recorded: readonly MaintenanceCall[] = [];

  /** Waves that are completed once the records of the latest round are stored. */
  #finished: readonly PlannedWave[] = [];

  /** When each wave was completed in this term, on the steady clock. */
  readonly #completedMs = new Map<number, number>();

  /** Waves that were deleted: what the table holds of them is out of date. */
  readonly #deleted = new Set<number>();

  /** What keeps machines from their maintenance, by wave and machine. */
  #held: ReadonlyMap<string, HoldReason> = new Map();

  #isClosing = false;

  #isUnservableLogged = false;

  /**
   * The earliest time of a call. The former leader's last record precedes the term, and its last call
   * came at most `CALL_VIEW_MS` after that record.
   */
  readonly #firstCallMs: number;

  constructor(deps: UpkeepDependencies) {
    const { port, settings, log, token, signal, wake } = deps;
    const { machineLeaseMs, machineReadsPerS, machineCallsPerS } = settings;
    this.#deps = deps;
    this.#firstCallMs = steadyMs() + machineLeaseMs + CALL_VIEW_MS + CLOCK_MARGIN_MS;
    this.#states = new WaveStates(port, log, token, signal);
    this.#budget = new CallBudget(machineCallsPerS);
    if (port.machines) this.#reader = new MachineReader(port.machines, log, machineReadsPerS, wake);
  }

  /** The waves, with what blocks them. */
  get views(): WaveView[] {
    const { list } = this.#reader ?? {};
    return this.#planned().map(({ number, request, deadlineMs, progress }) => {
      const isDown = (name: string): boolean =>
        progress.isDown(name) || list?.machines.get(name)?.state === 'maintained';
      const held = request.machines.flatMap((machine) => {
        const reason = this.#held.get(`${number} ${machine}`);
        return reason ? [{ machine, reason }] : [];
      });
      return {
        wave: number,
        state: this.#states.stateOf(number) ?? 'running',
        machines: request.machines.length,
        done: progress.done.size,
        down: request.machines.filter(isDown).length,
        draining: request.machines.filter((name) => this.#planner.isDraining(name)).length,
        leftMs: Math.round(deadlineMs - steadyMs()),
        held,
      };
    });
  }

  /**
   * Plans, has runs stopped and workers closed, and returns the records to be stored. Without an open
   * wave it reads and closes nothing.
   */
  round(nowMs: number): KeyedWrite[] {
    if (!this.#deps.waves.isLoaded) return [];
    const waves = this.#planned();
    const deletions = this.#deletions();
    this.#finished = waves.filter((wave) => !hasNewMachines(wave));
    const open = waves.filter((wave) => this.#isOpen(wave, nowMs));
    if (open.length === 0) {
      this.#reopenWorkers(nowMs);
      return deletions;
    }
    for (const wave of open) if (hasNewMachines(wave)) this.#setState(wave, 'running');
    if (!this.#reader) {
      this.#logUnservable(open);
      return deletions;
    }
    this.#reader.readIfDue();
    this.#plan(waves, nowMs);
    return [...deletions, ...this.#writes()];
  }

  /**
   * Called when the records of the latest round are stored: makes the calls that they state. A state
   * `completed` is written only now: without the record of its machines, a later leader would take
   * it back.
   */
  stored(): void {
    for (const wave of this.#finished) this.#setState(wave, 'completed');
    this.#finished = [];
    const calls = this.#recorded;
    this.#recorded = [];
    for (const call of calls) {
      const nowMs = steadyMs();
      const progress = this.#progress.get(call.wave);
      const input = this.#input(this.#planned(), nowMs);
      if (this.#mayCall(nowMs) && this.#planner.isStillAllowed(call, input, nowMs)) {
        this.#call(call, progress!).catch((err: unknown) => {
          this.#deps.log.emit('error', 'part-failed', { part: 'upkeep', reason: String(err) });
          progress!.answered(call.machine, 'unknown', steadyMs());
        });
      } else progress?.notSent(call.machine, nowMs);
    }
  }

  #planned(): PlannedWave[] {
    const nowMs = steadyMs();
    return [...this.#deps.waves.current].map(([number, { request, sinceMs }]) => {
      const progress = this.#progressOf(number, sinceMs, nowMs);
      // The clocks of nodes differ by little; an earlier leader may have read the wave long ago.
      const ageMs = Math.max(nowMs - sinceMs, Date.now() - progress.sinceMs);
      const deadlineMs = nowMs - ageMs + request.durationMs;
      return { number, request, deadlineMs, progress };
    });
  }

  #progressOf(wave: number, sinceMs: RequestedWave['sinceMs'], nowMs: number): WaveProgress {
    const known = this.#progress.get(wave);
    if (known) return known;
    const stored = this.#deleted.has(wave) ? undefined : this.#deps.table.upkeep.get(wave);
    const begun = { sinceMs: Date.now() - Math.round(nowMs - sinceMs), called: [], done: [] };
    const progress = new WaveProgress(stored ?? { ...begun, dropped: [] }, nowMs);
    this.#progress.set(wave, progress);
    return progress;
  }

  #isOpen(wave: PlannedWave, nowMs: number): boolean {
    if (hasNewMachines(wave)) return true;
    const { number, request, progress } = wave;
    const isClosing = nowMs - (this.#completedMs.get(number) ?? nowMs) < CLOSING_MS;
    return isClosing && request.machines.some((name) => progress.isDown(name));
  }

  /** Returns deletions of the records of waves that the operators have deleted. */
  #deletions(): KeyedWrite[] {
    const { waves, table } = this.#deps;
    for (const wave of this.#progress.keys()) {
      if (waves.isDeleted(wave)) {
        this.#deleted.add(wave);
        this.#completedMs.delete(wave);
        this.#progress.delete(wave);
        this.#written.delete(wave);
        this.#states.forget(wave);
        this.#deps.log.emit('info', 'wave', { wave, state: 'deleted' });
      }
    }
    return [...table.upkeep.keys()]
      .filter((wave) => waves.isDeleted(wave))
      .map((wave) => ({ key: upkeepKey(wave), value: undefined }));
  }

  #reopenWorkers(nowMs: number): void {
    if (!this.#isClosing) return;
    this.#isClosing = false;
    this.#held = new Map();
    this.#deps.scheduler.applyUpkeep({ closed: new Set(), stops: [] }, nowMs);
  }

  #logUnservable(waves: readonly PlannedWave[]): void {
    if (this.#isUnservableLogged) return;
    this.#isUnservableLogged = true;
    this.#deps.log.emit('error', 'wave-not-servable', {
      waves: waves.map(({ number }) => number).join(','),
      reason: 'the settings state no address of the machine service',
    });
  }

  #mayCall(nowMs: number): boolean {
    const { confirmedMs, mayCall, signal } = this.#deps;
    if (nowMs < this.#firstCallMs || signal.aborted || !mayCall()) return false;
    return nowMs - confirmedMs() <= CALL_VIEW_MS;
  }

  #input(waves: readonly PlannedWave[], nowMs: number): UpkeepInput {
    const { scheduler, settings } = this.#deps;
    const { workers, jobs } = scheduler;
    const { maintenanceMs } = settings;
    const maxCalls = this.#mayCall(nowMs) ? this.#budget.available(nowMs) : 0;
    return { waves, list: this.#reader?.list, workers, jobs, maintenanceMs, maxCalls };
  }

  #plan(waves: readonly PlannedWave[], nowMs: number): void {
    const { scheduler, token, workerEnded } = this.#deps;
    const plan = this.#planner.plan(this.#input(waves, nowMs), nowMs);
    for (const id of plan.ended) workerEnded(id);
    this.#isClosing = true;
    scheduler.applyUpkeep(plan, nowMs);
    for (const { wave, machine, worker } of plan.calls)
      this.#progress
        .get(wave)!
        .call(machine, worker, token, scheduler.workers.get(worker)?.incarnation);
    this.#recorded = plan.calls;
    this.#logHeld(plan.held);
    for (const { request, progress } of plan.complete) progress.complete(request.machines);
    this.#finished = waves.filter((wave) => !hasNewMachines(wave));
  }

  #setState({ number, request, deadlineMs, progress }: PlannedWave, state: WaveState): void {
    if (this.#states.stateOf(number) === state) return;
    this.#states.set(number, state);
    if (state === 'completed') this.#completedMs.set(number, steadyMs());
    else this.#completedMs.delete(number);
    this.#deps.log.emit('info', 'wave', {
      wave: number,
      state,
      machines: request.machines.length,
      done: progress.done.size,
      leftMs: Math.round(deadlineMs - steadyMs()),
    });
  }

  /** Logs why machines wait, when that changes. */
  #logHeld(held: readonly { wave: number; machine: string; reason: HoldReason }[]): void {
    const before = this.#held;
    this.#held = new Map(held.map(({ wave, machine, reason }) => [`${wave} ${machine}`, reason]));
    for (const { wave, machine, reason } of held) {
      if (before.get(`${wave} ${machine}`) !== reason)
        this.#deps.log.emit('info', 'upkeep-held', { machine, wave, reason });
    }
  }

  /** Returns the records that differ from what was written. */
  #writes(): KeyedWrite[] {
    const writes: KeyedWrite[] = [];
    for (const [wave, progress] of this.#progress) {
      const value = encodeUpkeep(progress.stored());
      if (value !== this.#written.get(wave)) writes.push({ key: upkeepKey(wave), value });
      this.#written.set(wave, value);
    }
    return writes;
  }

  async #call({ wave, machine }: MaintenanceCall, progress: WaveProgress): Promise<void> {
    const { port, settings, token, log, fenced, wake } = this.#deps;
    this.#budget.take();
    const sentMs = steadyMs();
    const req = { machine, wave, token, holder: settings.node };
    const outcome = await port.machines!.upkeep(req);
    const nowMs = steadyMs();
    log.emit('info', 'upkeep', { machine, wave, outcome, tookMs: Math.round(nowMs - sentMs) });
    this.#budget.answered(outcome === 'limited', nowMs);
    progress.answered(machine, outcome, nowMs);
    if (outcome === 'fenced') fenced();
    wake();
  }
}

/** Whether the wave names machines that are neither done nor gone. */
function hasNewMachines({ request, progress }: PlannedWave): boolean {
  return !request.machines.every((name) => progress.isSettled(name));
}
