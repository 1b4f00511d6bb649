import type { MachineList, MaintenanceOutcome } from './machine.js';

/** The pause after a refused or unanswered call for a machine, and its upper limit when doubled. */
const RETRY_MS = 250;

const MAX_RETRY_MS = 2_000;

/**
 * The upper limit of that pause where the platform does not know the machine, or not in this wave, in
 * milliseconds. Such a machine takes tasks meanwhile: the refusal may be permanent.
 */
const MAX_FOREIGN_RETRY_MS = 30_000;

/**
 * A machine that still shows the same worker this long after its call was answered was not taken
 * down by it, in milliseconds: its maintenance for the wave had been done before. The platform takes
 * 2 s for maintenance; the margin covers a list that lags behind.
 */
const UNCHANGED_WORKER_MS = 10_000;

/** A machine that was called, until it is known to be up again. */
interface MachineCall {
  /** The worker of the machine at its first call. */
  readonly worker: string;
  /** The worker of the machine at its newest call. */
  readonly lastWorker: string;
  /** The process of that worker; undefined if it has not stated which it is. */
  readonly incarnation: number | undefined;
  /** The fencing token of its newest call. */
  readonly token: number;
  isInFlight: boolean;
  /** Whether a call got no usable answer, so that it may have been carried out. */
  isUnsure: boolean;
  /** Whether the list has shown the machine up with another worker since the newest call. */
  isUp: boolean;
  /** When the newest call was answered or given up, on the monotonic clock. */
  endedMs: number;
}

interface Retry {
  readonly count: number;
  readonly atMs: number;
  /** Whether the platform does not know the machine, or not in this wave. */
  readonly isForeign: boolean;
}

/** The calls and finished machines of a wave, in the form that a later leader needs. */
export interface StoredWaveProgress {
  /** Time of day at which a leader first read the wave, in milliseconds since 1970. */
  readonly sinceMs: number;
  /** Rows of machine, worker at its first call, worker at its newest call, and token. */
  readonly called: readonly (readonly [string, string, string, number])[];
  readonly done: readonly string[];
  /** Machines that were gone when the wave was completed. */
  readonly dropped: readonly string[];
}

/** The machines of one wave: which were called, which may be down, and which are done. */
export class WaveProgress {
  readonly sinceMs: number;

  readonly #calls = new Map<string, MachineCall>();

  readonly #done: Set<string>;

  #dropped: ReadonlySet<string>;

  /** For each machine: how often in a row its calls were not carried out, and the next try. */
  readonly #retries = new Map<string, Retry>();

  /**
   * Continues from `nowMs` what an earlier leader stored. Without an answer on record, the outcome of
   * its calls is not known.
   */
  constructor({ sinceMs, called, done, dropped }: StoredWaveProgress, nowMs: number) {
    this.sinceMs = sinceMs;
    this.#done = new Set(done);
    this.#dropped = new Set(dropped);
    for (const [machine, worker, lastWorker, token] of called) {
      const isUnsure = !this.#done.has(machine);
      const state = {
        incarnation: undefined,
        isInFlight: false,
        isUnsure,
        isUp: false,
        endedMs: nowMs,
      };
      this.#calls.set(machine, { worker, lastWorker, token, ...state });
    }
  }

  get done(): ReadonlySet<string> {
    return this.#done;
  }

  /** Whether the machine has begun its maintenance, or was gone when the wave was completed. */
  isSettled(machine: string): boolean {
    return this.#done.has(machine) || this.#dropped.has(machine);
  }

  /** Records that the wave is completed: those of its machines that are not done are gone. */
  complete(machines: readonly string[]): void {
    this.#dropped = new Set(machines.filter((machine) => !this.#done.has(machine)));
  }

  isDone(machine: string): boolean {
    return this.#done.has(machine);
  }

  /** Whether the machine was called for this wave and is not known to be up since. */
  isDown(machine: string): boolean {
    const call = this.#calls.get(machine);
    return call !== undefined && !call.isUp;
  }

  /** The worker that the machine had at its newest call; undefined if it is not down. */
  downWorker(machine: string): string | undefined {
    return this.isDown(machine) ? this.#calls.get(machine)?.lastWorker : undefined;
  }

  /** Whether a call for the machine may be sent now, with the machine as of this list. */
  mayCall(machine: string, { askedMs }: MachineList, nowMs: number): boolean {
    const call = this.#calls.get(machine);
    if (call?.isInFlight || nowMs < (this.#retries.get(machine)?.atMs ?? -Infinity)) return false;
    return call === undefined || askedMs > call.endedMs;
  }

  /** Whether the platform did not know the machine, or not in this wave, at its newest call. */
  isForeign(machine: string): boolean {
    return this.#retries.get(machine)?.isForeign ?? false;
  }

  /**
   * Records that a call is about to be made, under a fencing token; `worker` is there now, with this
   * incarnation.
   */
  call(machine: string, worker: string, token: number, incarnation?: number): void {
    const before = this.#calls.get(machine);
    this.#calls.set(machine, {
      worker: before?.worker ?? worker,
      lastWorker: worker,
      incarnation,
      token,
      isInFlight: true,
      isUnsure: before?.isUnsure ?? false,
      isUp: false,
      endedMs: Infinity,
    });
  }

  /** Records that a recorded call was not sent. */
  notSent(machine: string, nowMs: number): void {
    this.#notCarriedOut(machine, nowMs);
  }

  answered(machine: string, outcome: MaintenanceOutcome, nowMs: number): void {
    const call = this.#calls.get(machine);
    if (!call) return;
    if (outcome === 'done') {
      Object.assign(call, { isInFlight: false, isUnsure: false, endedMs: nowMs });
      this.#done.add(machine);
      this.#retries.delete(machine);
      return;
    }
    if (outcome === 'unknown') call.isUnsure = true;
    this.#pause(machine, outcome === 'other-wave' || outcome === 'no-machine', nowMs);
    this.#notCarriedOut(machine, nowMs);
  }

  /**
   * Applies a list: machines that are up again with another worker, or another process of theirs, no
   * longer count as down. `incarnationOf` returns the present process of a worker.
   */
  listed(
    { machines, askedMs }: MachineList,
    maintenanceMs: number,
    incarnationOf: (worker: string) => number | undefined,
  ): void {
    for (const [name, call] of this.#calls) {
      const machine = machines.get(name);
      const isUp = machine?.state === 'up' && machine.worker !== '' && askedMs > call.endedMs;
      if (isUp) {
        const sinceMs = askedMs - call.endedMs;
        const hadNewWorker = call.worker !== call.lastWorker;
        const hasRestarted =
          call.incarnation !== undefined && incarnationOf(call.lastWorker) !== call.incarnation;
        const unchangedMs = hadNewWorker || hasRestarted ? maintenanceMs : UNCHANGED_WORKER_MS;
        const isUnchanged = this.isDone(name) && sinceMs >= unchangedMs;
        if (machine.worker !== call.lastWorker || isUnchanged) call.isUp = true;
        if (call.isUp && this.isDone(name)) this.#calls.delete(name);
      }
    }
  }

  /** Forgets a machine that is gone. */
  forget(machine: string): void {
    if (!this.#calls.get(machine)?.isInFlight) this.#calls.delete(machine);
  }

  /**
   * Yields workers that ended with the maintenance of their machines. An answer does not show this,
   * as the maintenance may have been done in an earlier life; a list that was requested later does.
   */
  *endedWorkers({ machines, askedMs }: MachineList): Generator<string> {
    for (const [name, { lastWorker, endedMs }] of this.#calls) {
      const machine = machines.get(name);
      if (machine && askedMs > endedMs) {
        const hasOther = machine.worker !== '' && machine.worker !== lastWorker;
        if (hasOther || machine.state === 'maintained') yield lastWorker;
      }
    }
  }

  /** Returns what a later leader needs. */
  stored(): StoredWaveProgress {
    return {
      sinceMs: this.sinceMs,
      called: [...this.#calls].map(([machine, { worker, lastWorker, token }]) => [
        machine,
        worker,
        lastWorker,
        token,
      ]),
      done: [...this.#done],
      dropped: [...this.#dropped],
    };
  }

  #notCarriedOut(machine: string, nowMs: number): void {
    const call = this.#calls.get(machine);
    if (call?.isUnsure) Object.assign(call, { isInFlight: false, endedMs: nowMs });
    else this.#calls.delete(machine);
  }

  #pause(machine: string, isForeign: boolean, nowMs: number): void {
    const count = (this.#retries.get(machine)?.count ?? 0) + 1;
    const maxMs = isForeign ? MAX_FOREIGN_RETRY_MS : MAX_RETRY_MS;
    const atMs = nowMs + Math.min(maxMs, RETRY_MS * 2 ** (count - 1));
    this.#retries.set(machine, { count, atMs, isForeign });
  }
}
