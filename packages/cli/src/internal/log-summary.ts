import logfmt from 'logfmt';

/**
 * The outcome of a job; `inTime`, `late` and `missed` say whether a completed job met its objective, or
 * took more than three times as long.
 */
type JobOutcome = 'inTime' | 'late' | 'missed' | 'failed' | 'cancelled' | 'unfinished';

/** Jobs of a queue accepted in one time window, and its tasks bound in that window. */
export interface WindowRow {
  readonly queue: string;
  /** Start of the window, as an ISO 8601 timestamp. */
  readonly from: string;
  readonly jobs: number;
  readonly inTime: number;
  readonly late: number;
  readonly missed: number;
  readonly failed: number;
  readonly cancelled: number;
  readonly unfinished: number;
  /**
   * Percentiles, over the bindings of the window, of a task's wait from when its step became ready
   * until it was bound, in milliseconds.
   */
  readonly waitP50Ms: number;
  readonly waitP90Ms: number;
  readonly waitP99Ms: number;
  /** Mean number of runs per task, over the tasks bound in the window. */
  readonly runsPerTask: number;
}

/** Waits of tasks, grouped by the last reason why they could not be bound to a worker. */
export interface WaitRow {
  readonly queue: string;
  readonly keptBy: string;
  readonly bindings: number;
  readonly waitP50Ms: number;
  readonly waitP90Ms: number;
  readonly waitP99Ms: number;
}

/** Stopped runs, grouped by reason. */
export interface StopRow {
  readonly queue: string;
  readonly reason: string;
  readonly stops: number;
  /** Processor seconds of work that was lost because no checkpoint contains it. */
  readonly lostCpuS: number;
}

/** The service that the queues of an installation provided, computed from its logs. */
export interface Summary {
  readonly lines: number;
  /** Number of lines that are truncated or were not written by a node. */
  readonly skipped: number;
  readonly windows: readonly WindowRow[];
  readonly waits: readonly WaitRow[];
  readonly stops: readonly StopRow[];
}

type Fields = Readonly<Record<string, string | undefined>>;

interface JobRecord {
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
 * Summarises log lines of any number of nodes, added in any order. A job counts in the window in
 * which it was accepted, a binding in the window in which it was made.
 */
export class LogSummary {
  readonly #windowMs: number;

  readonly #jobs = new Map<string, JobRecord>();

  readonly #bindings: Binding[] = [];

  /** The first stop of each run, by task and run; later stops of a run are repetitions. */
  readonly #stops = new Map<string, Stop>();

  #lines = 0;

  #skipped = 0;

  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /** Adds one line; blank lines are ignored and not counted. */
  add(line: string): void {
    if (!line.trim()) return;
    this.#lines += 1;
    // A log collector may have put a prefix before each line.
    const fields: Fields = logfmt.parse(line.slice(Math.max(0, line.indexOf('at='))));
    const atMs = Date.parse(fields.at ?? '');
    if (Number.isNaN(atMs) || !fields.event || !this.#addEvent(fields.event, atMs, fields)) {
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

  /**
   * Records the event and returns whether its line has all the fields that are read here. Other
   * events are ignored and count as complete.
   */
  #addEvent(event: string, atMs: number, fields: Fields): boolean {
    switch (event) {
      case 'submit':
        return this.#addSubmit(atMs, fields);
      case 'job-ended':
        return this.#addJobEnd(fields);
      case 'bound':
        return this.#addBinding(atMs, fields);
      case 'task-stop':
        return this.#addStop(fields);
      default:
        return true;
    }
  }

  #addSubmit(atMs: number, { job, queue, outcome }: Fields): boolean {
    if (!job || !queue || !outcome) return false;
    if (outcome === 'stored') Object.assign(this.#getOrAddJob(job), { queue, acceptedMs: atMs });
    else this.#getOrAddJob(job).queue = queue;
    return true;
  }

  #addJobEnd({ job, state, tookMs, objectiveMs, objective }: Fields): boolean {
    if (!job || !state) return false;
    const record = this.#getOrAddJob(job);
    if (state === 'completed') {
      const lateOutcome = objective === 'missed' ? 'missed' : 'late';
      record.outcome = Number(tookMs) <= Number(objectiveMs) ? 'inTime' : lateOutcome;
    } else if (state === 'failed' || state === 'cancelled') record.outcome = state;
    return true;
  }

  #addBinding(atMs: number, { task, run, waitMs, keptBy }: Fields): boolean {
    if (!task || !run || !waitMs || !keptBy) return false;
    this.#bindings.push({ atMs, task, run: Number(run), waitMs: Number(waitMs), keptBy });
    return true;
  }

  #addStop({ task, run, reason, lostCpuMs }: Fields): boolean {
    if (!task || !run || !reason || !lostCpuMs) return false;
    const key = `${task} ${run}`;
    if (!this.#stops.has(key)) {
      this.#stops.set(key, { jobId: jobIdOf(task), reason, lostCpuMs: Number(lostCpuMs) });
    }
    return true;
  }

  #getOrAddJob(id: string): JobRecord {
    const existing = this.#jobs.get(id);
    if (existing) return existing;
    const record = { queue: UNKNOWN_QUEUE, acceptedMs: NaN, outcome: 'unfinished' as const };
    this.#jobs.set(id, record);
    return record;
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
    return keys.map((groupKey) => {
      const [from = '', queue = ''] = groupKey.split(' ');
      const counts = countOutcomes(jobs.get(groupKey) ?? []);
      const bound = bindings.get(groupKey) ?? [];
      return { queue, from, ...counts, ...waitPercentiles(bound), runsPerTask: runsPerTask(bound) };
    });
  }

  #waitRows(): WaitRow[] {
    const groups = groupBy(
      this.#bindings,
      ({ task, keptBy }) => `${this.#queueOf(jobIdOf(task))} ${keptBy}`,
    );
    return [...groups.keys()].sort().map((groupKey) => {
      const [queue = '', keptBy = ''] = groupKey.split(' ');
      const bound = groups.get(groupKey)!;
      return { queue, keptBy, bindings: bound.length, ...waitPercentiles(bound) };
    });
  }

  #stopRows(): StopRow[] {
    const groups = groupBy(
      this.#stops.values(),
      ({ jobId, reason }) => `${this.#queueOf(jobId)} ${reason}`,
    );
    return [...groups.keys()].sort().map((groupKey) => {
      const [queue = '', reason = ''] = groupKey.split(' ');
      const stops = groups.get(groupKey)!;
      const lostCpuMs = stops.reduce((sum, stop) => sum + stop.lostCpuMs, 0);
      return { queue, reason, stops: stops.length, lostCpuS: Math.round(lostCpuMs / 1_000) };
    });
  }
}

/** Returns the id of a task's job, which is the first part of the task's name. */
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

function countOutcomes(jobs: readonly JobRecord[]): Record<JobOutcome, number> & { jobs: number } {
  const counts = { inTime: 0, late: 0, missed: 0, failed: 0, cancelled: 0, unfinished: 0 };
  for (const { outcome } of jobs) counts[outcome] += 1;
  return { jobs: jobs.length, ...counts };
}

function waitPercentiles(
  bindings: readonly Binding[],
): Pick<WindowRow, 'waitP50Ms' | 'waitP90Ms' | 'waitP99Ms'> {
  const waits = bindings.map(({ waitMs }) => waitMs).sort((a, b) => a - b);
  const percentile = (fraction: number): number =>
    waits[Math.ceil(fraction * waits.length) - 1] ?? 0;
  return { waitP50Ms: percentile(0.5), waitP90Ms: percentile(0.9), waitP99Ms: percentile(0.99) };
}

function runsPerTask(bindings: readonly Binding[]): number {
  if (bindings.length === 0) return 0;
  const runs = new Map<string, number>();
  for (const { task, run } of bindings) runs.set(task, Math.max(run, runs.get(task) ?? 0));
  const sum = [...runs.values()].reduce((total, run) => total + run, 0);
  return Number((sum / runs.size).toFixed(2));
}
