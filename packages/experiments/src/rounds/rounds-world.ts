import type { JobSpec, RoundLimits, StepSpec, WorkerEntry } from '@redwingcrank/jobs';
import { JobProgress, PLAIN_STEP, Scheduler, taskName } from '@redwingcrank/jobs';

const TIMING = {
  leaseMs: 6_000,
  inheritedLeaseMs: 7_600,
  stallTimeoutMs: 2_500,
  stopRetryMs: 1_200,
};

const CAPACITY = { cpuMilli: 32_000, memMb: 125_000, gpus: 0 };

/** Lasting jobs of 14 tasks each: 602 tasks. */
const LASTING_JOBS = 43;

const SERVING: StepSpec = {
  ...PLAIN_STEP,
  taskCount: 14,
  cpuMilli: 14_000,
  memMb: 16_000,
  lasting: true,
  targetMs: 20,
};

const BUILDING: StepSpec = {
  ...PLAIN_STEP,
  taskCount: 10,
  cpuMilli: 5_700,
  memMb: 4_000,
  estimateMs: 800,
};

const CLOSING: StepSpec = {
  ...PLAIN_STEP,
  taskCount: 20,
  cpuMilli: 3_500,
  memMb: 2_000,
  estimateMs: 1_700,
  fills: true,
};

/** Images of each kind of step. */
const IMAGES = 4;

/** Claims of steps differ by so much, in thousandths of a core, so that few are quite alike. */
const CLAIM_STEP = 100;

const CLAIMS = 8;

/** A worker's entry; every look at the worker asks whether it is draining, which is counted. */
class CountedEntry implements WorkerEntry {
  readonly id: string;

  readonly address: string;

  readonly pool = 'pool';

  readonly dataCentre = 'a';

  readonly remainingMs = 0;

  readonly capacity = CAPACITY;

  readonly labels: readonly string[] = [];

  readonly #look: () => void;

  constructor(index: number, look: () => void) {
    this.id = `w${index}`;
    this.address = `w${index}.example:1`;
    this.#look = look;
  }

  get draining(): boolean {
    this.#look();
    return false;
  }
}

/** A scheduler with workers that serve, and with jobs that have just been accepted. */
export class RoundsWorld {
  /** How often a worker was looked at. */
  looks = 0;

  readonly scheduler: Scheduler;

  #nowMs = 1_000;

  #jobs = 0;

  constructor(workers: number, waiting: number, note: () => void = () => {}) {
    this.scheduler = new Scheduler(TIMING, this.#nowMs, note);
    const queue = { pool: 'pool', maxAttempts: 3, stretch: 2, targetLatencyMs: 2_000 };
    this.scheduler.setQueues(
      ['watch', 'build', 'close'].map((name, priority) => ({ ...queue, name, priority })),
    );
    for (let i = 0; i < workers; i += 1) {
      const entry = new CountedEntry(i, () => {
        this.looks += 1;
      });
      this.scheduler.listWorker(entry, this.#nowMs);
      this.#report(entry.id);
    }
    for (let i = 0; i < LASTING_JOBS; i += 1) this.#submit('watch', [imaged(SERVING, 'watch', i)]);
    this.#startAll();
    for (let i = 0; i < waiting; i += 1) this.#submitShort(i);
  }

  /** One round; returns how many starts it came to, and whether there may be room for more. */
  round(limits?: RoundLimits): { starts: number; isCutShort: boolean } {
    this.#nowMs += 20;
    const { orders, isCutShort } = this.scheduler.decide(this.#nowMs, this.#nowMs, limits);
    const starts = orders.filter(({ kind }) => kind === 'start').length;
    return { starts, isCutShort };
  }

  /** Starts what lasts, and has every worker tell of it often enough to know its load. */
  #startAll(): void {
    for (const order of this.scheduler.decide(this.#nowMs, this.#nowMs).orders) {
      this.scheduler.answered(order, 'done', this.#nowMs, this.#nowMs);
    }
    for (let pass = 0; pass < 4; pass += 1) {
      this.#nowMs += 500;
      for (const id of this.scheduler.workers.keys()) this.#report(id);
    }
  }

  #report(id: string): void {
    const runs = [...(this.scheduler.workers.get(id)?.runs.values() ?? [])];
    const running = runs.map(({ ref, run }, i) => ({
      task: taskName(ref),
      run,
      checkpoint: '',
      percent: 100,
      measure: 8 + (i % 3),
    }));
    const report = { clockMs: this.#nowMs, running, ended: [] };
    this.scheduler.report(id, report, this.#nowMs, this.#nowMs);
  }

  #submitShort(i: number): void {
    // Of ten jobs four build, six of ten of these in two steps; the others close books.
    if (i % 10 < 4) {
      const step = claiming(imaged(BUILDING, 'build', i), i);
      this.#submit('build', i % 5 < 3 ? [step, { ...step, after: [0] }] : [step]);
    } else {
      const step = claiming(imaged(CLOSING, 'close', i), i);
      this.#submit('close', [step, { ...step, after: [0] }]);
    }
  }

  #submit(queue: string, steps: readonly StepSpec[]): void {
    this.#jobs += 1;
    const id = this.#jobs.toString(16).padStart(16, '0');
    const spec: JobSpec = { id, queue, payload: 'p', steps, acceptedMs: this.#nowMs };
    this.scheduler.addJob(new JobProgress(spec));
  }
}

function imaged(step: StepSpec, name: string, i: number): StepSpec {
  return { ...step, image: `${name}-${i % IMAGES}` };
}

function claiming(step: StepSpec, i: number): StepSpec {
  return { ...step, cpuMilli: step.cpuMilli + (i % CLAIMS) * CLAIM_STEP };
}
