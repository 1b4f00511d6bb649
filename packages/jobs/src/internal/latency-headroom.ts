import type { StepSpec } from '../job.js';
import { claimedParts } from './best-effort-parts.js';
import type { TailLatencyModel } from './tail-latency-model.js';
import type { WorkerState } from './worker-state.js';

/**
 * The slack that serving tasks keep when filling tasks are placed beside them; 1 is a tail at its
 * target.
 */
const PLACING_SLACK = 1.2;

/** So far ahead slack is expected, in ms: a task that is halted sooner has lost its start. */
const AHEAD_MS = 2_500;

/** The slack that is kept where a task of a job that starves is placed. */
const STARVED_SLACK = 1.15;

/** Taking less slack than this is not worth a thought. */
const NEGLIGIBLE_INTERFERENCE = 0.05;

interface KnownRooms {
  readonly version: number;
  /** By serving image: the least room of its tasks on the worker. */
  readonly rooms: ReadonlyMap<string, number>;
}

/**
 * How much more slack filling tasks may take from the serving tasks of a worker. It goes by the
 * tails as they are now, not by their usual value: an image that disturbs much fits beside serving
 * tasks that have little to do for a while, and nowhere else.
 */
export class LatencyHeadroom {
  readonly #model: TailLatencyModel;

  readonly #known = new WeakMap<WorkerState, KnownRooms>();

  constructor(model: TailLatencyModel) {
    this.#model = model;
  }

  /** What is left after a task of the step is started there; Infinity if it disturbs nobody. */
  roomBeside(spec: StepSpec, worker: WorkerState, nowMs: number): number {
    const part = spec.cpuMilli / worker.entry.capacity.cpuMilli;
    let least = Infinity;
    for (const [image, room] of this.#roomsOf(worker, nowMs)) {
      const lost = this.#model.interference.weight(image, spec.image) * part;
      if (lost > NEGLIGIBLE_INTERFERENCE) least = Math.min(least, room - lost);
    }
    return least;
  }

  /** The share of its speed at which a task of the step could work there, with all beside it. */
  shareBeside(spec: StepSpec, worker: WorkerState, nowMs: number): number {
    const parts = claimedParts(worker);
    const { cpuMilli } = worker.entry.capacity;
    parts.set(spec.image, (parts.get(spec.image) ?? 0) + spec.cpuMilli / cpuMilli);
    let share = 1;
    for (const run of worker.runs.values()) {
      const { image, targetMs } = run.spec;
      if (
        targetMs > 0 &&
        this.#model.interference.weight(image, spec.image) > NEGLIGIBLE_INTERFERENCE
      ) {
        const slack = this.#model.ownSlack(run, worker, nowMs, AHEAD_MS) - STARVED_SLACK;
        share = Math.min(share, slack / this.#model.interference.lostSlack(image, parts));
      }
    }
    return share;
  }

  #roomsOf(worker: WorkerState, nowMs: number): ReadonlyMap<string, number> {
    const known = this.#known.get(worker);
    if (known?.version === worker.version) return known.rooms;
    const rooms = this.#roomsNow(worker, nowMs);
    this.#known.set(worker, { version: worker.version, rooms });
    return rooms;
  }

  #roomsNow(worker: WorkerState, nowMs: number): Map<string, number> {
    const rooms = new Map<string, number>();
    for (const run of worker.runs.values()) {
      if (run.spec.targetMs > 0) {
        const { image } = run.spec;
        const room = this.#model.ownSlack(run, worker, nowMs, AHEAD_MS) - PLACING_SLACK;
        rooms.set(image, Math.min(room, rooms.get(image) ?? Infinity));
      }
    }
    const claimed = claimedParts(worker);
    for (const [image, room] of rooms) {
      rooms.set(image, room - this.#model.interference.lostSlack(image, claimed));
    }
    return rooms;
  }
}
