import type { StepSpec } from '../job.js';
import type { ReservedClass } from './urgent-reserve.js';
import type { WorkerState } from './worker-state.js';

/** The claim of one task. */
type Claim = Pick<StepSpec, 'cpuMilli' | 'memMb'>;

const NO_CLAIM: Claim = { cpuMilli: 0, memMb: 0 };

/** The slots of one worker as of one of its versions. */
interface WorkerSlots {
  version: number;
  /** In the order of the reserved classes; both in tasks. */
  free: readonly number[];
  running: readonly number[];
}

/**
 * How many tasks of each reserved size class the open workers of a pool have unreserved capacity
 * for. The counts follow the placements of a round: only workers that changed are counted again.
 */
export class FreeSlots {
  readonly #reserved: readonly ReservedClass[];

  /** For each class: the slots that the pool needs for it and for the larger classes. */
  readonly #needed: readonly number[];

  readonly #workers = new Map<WorkerState, WorkerSlots>();

  readonly #free: number[];

  /** Running short tasks; the reserve is for these too. */
  readonly #running: number[];

  /** Counts the slots of the open workers of one pool; `reserved` has the largest class first. */
  constructor(workers: Iterable<WorkerState>, reserved: readonly ReservedClass[]) {
    this.#reserved = reserved;
    this.#needed = reserved.map(({ cpuMilli }, index) =>
      reserved
        .slice(0, index + 1)
        .reduce((sum, larger) => sum + larger.tasks * Math.max(1, larger.cpuMilli / cpuMilli), 0),
    );
    this.#free = reserved.map(() => 0);
    this.#running = reserved.map(() => 0);
    const none = reserved.map(() => 0);
    for (const worker of workers) {
      this.#workers.set(worker, { version: -1, free: none, running: none });
    }
    this.refresh();
  }

  /** Counts the slots of the workers again that have changed since the last call. */
  refresh(): void {
    for (const [worker, known] of this.#workers) {
      if (known.version !== worker.version) {
        const free = this.#slotsBeside(worker, NO_CLAIM);
        const running = this.#reserved.map(({ sizeMilli }) => worker.shortRuns(sizeMilli));
        for (const [index] of this.#reserved.entries()) {
          this.#free[index]! += free[index]! - known.free[index]!;
          this.#running[index]! += running[index]! - known.running[index]!;
        }
        Object.assign(known, { version: worker.version, free, running });
      }
    }
  }

  /** Returns how many tasks of a reserved class fit on the workers now. */
  freeTasks(index: number): number {
    return this.#free[index]!;
  }

  /**
   * Returns whether a task may be placed on a worker: it takes none of the slots of the reserve, or
   * the pool has enough of them without those that it takes.
   */
  allows(worker: WorkerState, claim: Claim): boolean {
    const known = this.#workers.get(worker);
    if (!known) return true;
    const left = this.#slotsBeside(worker, claim);
    return this.#reserved.every((_, index) => {
      const taken = known.free[index]! - left[index]!;
      const available = this.#free[index]! + this.#runningFrom(index) - taken;
      return taken === 0 || available >= this.#needed[index]!;
    });
  }

  /** Returns how many slots of the largest class are left on a worker beside one more task. */
  largestLeft(worker: WorkerState, claim: Claim): number {
    return slots(worker, claim, this.#reserved[0]!);
  }

  /** Returns the running tasks of a class and the larger ones, in slots of the class. */
  #runningFrom(index: number): number {
    const { cpuMilli } = this.#reserved[index]!;
    let sum = 0;
    for (let larger = 0; larger <= index; larger += 1) {
      const size = Math.max(1, this.#reserved[larger]!.cpuMilli / cpuMilli);
      sum += this.#running[larger]! * size;
    }
    return sum;
  }

  #slotsBeside(worker: WorkerState, claim: Claim): number[] {
    return this.#reserved.map((reserved) => slots(worker, claim, reserved));
  }
}

function slots(worker: WorkerState, claim: Claim, { cpuMilli, memMb }: ReservedClass): number {
  const freeMilli = worker.freeMilli - claim.cpuMilli;
  const freeMb = worker.freeMb - claim.memMb;
  const byMemory = memMb > 0 ? freeMb / memMb : Infinity;
  return Math.max(0, Math.floor(Math.min(freeMilli / cpuMilli, byMemory)));
}
