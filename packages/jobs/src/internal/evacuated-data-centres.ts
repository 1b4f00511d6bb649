import type { WorkerState } from './worker-state.js';

/**
 * After an evacuation the workers of the data centre are used again one after another over this time,
 * in milliseconds: they may be slow at first, and the emptiest workers would get all new tasks.
 */
const RETURN_MS = 2_000;

/** The data centres in which no task may be started, and the workers there. */
export class EvacuatedDataCentres {
  #names: ReadonlySet<string> = new Set();

  get names(): ReadonlySet<string> {
    return this.#names;
  }

  /** Sets which data centres are evacuated now; the others are used again. */
  set(names: ReadonlySet<string>, workers: Iterable<WorkerState>, nowMs: number): void {
    this.#names = new Set(names);
    const returning: WorkerState[] = [];
    for (const worker of workers) {
      if (this.#names.has(worker.entry.dataCentre)) worker.opensMs = Infinity;
      else if (worker.isEvacuated) returning.push(worker);
    }
    for (const [index, worker] of returning.entries()) {
      worker.opensMs = nowMs + (index * RETURN_MS) / returning.length;
    }
  }

  /** Applies the evacuations to a worker that was listed, perhaps in another data centre. */
  workerListed(worker: WorkerState): void {
    if (this.#names.has(worker.entry.dataCentre)) worker.opensMs = Infinity;
    else if (worker.isEvacuated) worker.opensMs = -Infinity;
  }
}
