import logfmt from 'logfmt';

/** How a job of a queue came out. */
type JobOutcome = 'inTime' | 'late' | 'failed' | 'cancelled' | 'unfinished';

/** Jobs that were accepted, and tasks that were bound, in one window of time. */
export interface WindowRow {
  readonly queue: string;
  /** Time of day at which the window begins, ISO 8601. */
  readonly from: string;
  readonly jobs: number;
  readonly inTime: number;
  readonly late: number;
  readonly failed: number;
  readonly cancelled: number;
  readonly unfinished: number;
  /** Of the tasks bound in the window: the wait from their step's turn on, in milliseconds. */
  readonly waitP50Ms: number;
  readonly waitP90Ms: number;
  readonly waitP99Ms: number;
  /** Runs of a task, in the mean over the tasks bound in the window. */
  readonly runsPerTask: number;
}

/** Waits of tasks by what kept them from a worker last. */
export interface WaitRow {
  readonly queue: string;
  readonly keptBy: string;
  readonly bindings: number;
  readonly waitP50Ms: number;
  readonly waitP90Ms: number;
  readonly waitP99Ms: number;
}

/** Stopped runs by reason. */
export interface StopRow {
  readonly queue: string;
  readonly reason: string;
  readonly stops: number;
  /** Processor seconds of work that no checkpoint holds. */
  readonly lostCpuS: number;
}

/** What the logs of an installation say of the service that its queues had. */
export interface Summary {
  readonly lines: number;
  /** Lines that were cut, or are no lines of a node. */
  readonly skipped: number;
  readonly windows: readonly WindowRow[];
  readonly waits: readonly WaitRow[];
  readonly stops: readonly StopRow[];
}

type Fields = Readonly<Record<string, string | undefined>>;

interface JobLife {
  queue: string;
  acceptedMs: number;
  outcome: JobOutcome;
}

interface Binding {
  readonly atMs: number;
  readonly task: string;
  readonly run: number;
  readonly waitMs: number;
  readonly keptBy: string;
}

interface Stop {
  readonly jobId: string;
  readonly reason: string;
  readonly lostCpuMs: number;
}

const UNKNOWN_QUEUE = '?';

/**
 * Collects lines of any number of nodes, in any order. Jobs are attributed to the window in which
 * they were accepted, bindings to the one in which they were made.
 */
export class LogSummary {
  readonly #windowMs: number;

  readonly #jobs = new Map<string, JobLife>();

  readonly #bindings: Binding[] = [];

  /** The first stop of each run; later ones repeat it. */
  readonly #stops = new Map<string, Stop>();

  #lines = 0;

  #skipped = 0;

  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /** Takes in one line; an empty one is none. */
  add(line: string): void {
    if (!line.trim()) return;
    this.#lines += 1;
    // What collects the logs may have put something in front of each line.
    const fields: Fields = logfmt.parse(line.slice(Math.max(0, line.indexOf('at='))));
    const atMs = Date.parse(fields.at ?? '');
    if (Number.isNaN(atMs) || !fields.event || !this.#take(fields.event, atMs, fields)) {
      this.#skipped += 1;
    }
  }

  summary(): Summary {
    return {
      lines: this.#lines,
      skipped: this.#skipped,
      windows: this.#windowRows(),
      waits: this.#waitRows(),
      stops: this.#stopRows(),
    };
  }

  /** Whether the line has the fields of its event; events that say nothing here are whole. */
  #take(event: string, atMs: number, fields: Fields): boolean {
    switch (event) {
      case 'submit':
        return this.#submitted(atMs, fields);
      case 'job-ended':
        return this.#ended(fields);
      case 'bound':
        return this.#bound(atMs, fields);
      case 'task-stop':
        return this.#stopped(fields);
      default:
        return true;
    }
  }

  #submitted(atMs: number, { job, queue, outcome }: Fields): boolean {
    if (!job || !queue || !outcome) return false;
    if (outcome === 'stored') Object.assign(this.#jobOf(job), { queue, acceptedMs: atMs });
    else this.#jobOf(job).queue = queue;
    return true;
  }

  #ended({ job, state, tookMs, objectiveMs }: Fields): boolean {
    if (!job || !state) return false;
    const life = this.#jobOf(job);
    if (state === 'completed') {
      life.outcome = Number(tookMs) <= Number(objectiveMs) ? 'inTime' : 'late';
    } else if (state === 'failed' || state === 'cancelled') life.outcome = state;
    return true;
  }

  #bound(atMs: number, { task, run, waitMs, keptBy }: Fields): boolean {
    if (!task || !run || !waitMs || !keptBy) return false;
    this.#bindings.push({ atMs, task, run: Number(run), waitMs: Number(waitMs), keptBy });
    return true;
  }

  #stopped({ task, run, reason, lostCpuMs }: Fields): boolean {
    if (!task || !run || !reason || !lostCpuMs) return false;
    const key = `${task} ${run}`;
    if (!this.#stops.has(key)) {
      this.#stops.set(key, { jobId: jobIdOf(task), reason, lostCpuMs: Number(lostCpuMs) });
    }
    return true;
  }

  #jobOf(id: string): JobLife {
    const known = this.#jobs.get(id);
    if (known) return known;
    const life = { queue: UNKNOWN_QUEUE, acceptedMs: NaN, outcome: 'unfinished' as const };
    this.#jobs.set(id, life);
    return life;
  }

  #queueOf(jobId: string): string {
    return this.#jobs.get(jobId)?.queue ?? UNKNOWN_QUEUE;
  }

  #windowOf(atMs: number): string {
    return new Date(Math.floor(atMs / this.#windowMs) * this.#windowMs).toISOString();
  }

  #windowRows(): WindowRow[] {
    const key = (queue: string, atMs: number): string => `${this.#windowOf(atMs)} ${queue}`;
    const accepted = [...this.#jobs.values()].filter((job) => !Number.isNaN(job.acceptedMs));
    const jobs = groupBy(accepted, (job) => key(job.queue, job.acceptedMs));
    const bindings = groupBy(this.#bindings, ({ task, atMs }) =>
      key(this.#queueOf(jobIdOf(task)), atMs),
    );
    const keys = [...new Set([...jobs.keys(), ...bindings.keys()])].sort();
    return keys.map((text) => {
      const [from = '', queue = ''] = text.split(' ');
      const counts = outcomesOf(jobs.get(text) ?? []);
      const bound = bindings.get(text) ?? [];
      return { queue, from, ...counts, ...waitsOf(bound), runsPerTask: runsPerTask(bound) };
    });
  }

  #waitRows(): WaitRow[] {
    const groups = groupBy(
      this.#bindings,
      ({ task, keptBy }) => `${this.#queueOf(jobIdOf(task))} ${keptBy}`,
    );
    return [...groups.keys()].sort().map((text) => {
      const [queue = '', keptBy = ''] = text.split(' ');
      const bound = groups.get(text)!;
      return { queue, keptBy, bindings: bound.length, ...waitsOf(bound) };
    });
  }

  #stopRows(): StopRow[] {
    const groups = groupBy(
      this.#stops.values(),
      ({ jobId, reason }) => `${this.#queueOf(jobId)} ${reason}`,
    );
    return [...groups.keys()].sort().map((text) => {
      const [queue = '', reason = ''] = text.split(' ');
      const stops = groups.get(text)!;
      const lostCpuMs = stops.reduce((sum, stop) => sum + stop.lostCpuMs, 0);
      return { queue, reason, stops: stops.length, lostCpuS: Math.round(lostCpuMs / 1_000) };
    });
  }
}

/** The names of tasks begin with the id of their job. */
function jobIdOf(task: string): string {
  return task.split('.', 1)[0]!;
}

function groupBy<T>(items: Iterable<T>, keyOf: (item: T) => string): Map<string, T[]> {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group) group.push(item);
    else groups.set(key, [item]);
  }
  return groups;
}

function outcomesOf(jobs: readonly JobLife[]): Record<JobOutcome, number> & { jobs: number } {
  const counts = { inTime: 0, late: 0, failed: 0, cancelled: 0, unfinished: 0 };
  for (const { outcome } of jobs) counts[outcome] += 1;
  return { jobs: jobs.length, ...counts };
}

function waitsOf(
  bindings: readonly Binding[],
): Pick<WindowRow, 'waitP50Ms' | 'waitP90Ms' | 'waitP99Ms'> {
  const waits = bindings.map(({ waitMs }) => waitMs).sort((a, b) => a - b);
  const at = (share: number): number => waits[Math.ceil(share * waits.length) - 1] ?? 0;
  return { waitP50Ms: at(0.5), waitP90Ms: at(0.9), waitP99Ms: at(0.99) };
}

function runsPerTask(bindings: readonly Binding[]): number {
  if (bindings.length === 0) return 0;
  const runs = new Map<string, number>();
  for (const { task, run } of bindings) runs.set(task, Math.max(run, runs.get(task) ?? 0));
  const sum = [...runs.values()].reduce((total, run) => total + run, 0);
  return Number((sum / runs.size).toFixed(2));
}
