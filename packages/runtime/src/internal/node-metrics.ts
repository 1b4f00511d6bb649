import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { LogFields, NodeLog } from '../node-log.js';
import type { WaveView } from './wave-view.js';
import type { FaultCount } from './fault-log.js';

/**
 * Bucket bounds in seconds: an order usually takes a few milliseconds, and a late answer half a
 * second.
 */
const BUCKETS = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5];

/**
 * Bucket bounds in seconds: with free capacity a task waits for a round, without it for other tasks
 * to end.
 */
const WAIT_BUCKETS = [0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 30];

interface LoadGauge {
  readonly name: string;
  readonly help: string;
  /** The field's value is divided by this; milliseconds become seconds by default. */
  readonly divisor?: number;
}

const MS_PER_S = 1_000;

/** The gauge for each field of the log line that reports the load of a leader. */
const LOAD_GAUGES: Readonly<Record<string, LoadGauge>> = {
  cpuMs: {
    name: 'redwingcrank_scheduler_cpu_seconds',
    help: 'Processor time used in the last second or so while scheduling.',
  },
  lateMs: {
    name: 'redwingcrank_scheduler_late_seconds',
    help: 'How late the newest look at the clock came, for want of processor time.',
  },
  longestDecideMs: {
    name: 'redwingcrank_scheduler_longest_round_seconds',
    help: 'The longest round of decisions in the last second or so.',
  },
  appendMs: {
    name: 'redwingcrank_scheduler_longest_append_seconds',
    help: 'The longest append in the last second or so; one under way counts.',
  },
  quietMs: {
    name: 'redwingcrank_scheduler_quietest_worker_seconds',
    help: 'The longest time for which a worker with runs has not answered.',
  },
  leaseLeftMs: {
    name: 'redwingcrank_scheduler_lease_left_seconds',
    help: 'For how long leases may be given by what the store has confirmed.',
  },
  startWaitMs: {
    name: 'redwingcrank_scheduler_longest_start_wait_seconds',
    help: 'The longest time from a binding to the sending of its start in the last second or so.',
  },
  workersAgeMs: {
    name: 'redwingcrank_scheduler_oldest_workers_view_seconds',
    help: 'The oldest view of the workers by which a start was sent in the last second or so.',
  },
  jobsAgeMs: {
    name: 'redwingcrank_scheduler_oldest_jobs_view_seconds',
    help: 'The oldest view of jobs and cancels by which a start was sent in the last second or so.',
  },
  operatorsAgeMs: {
    name: 'redwingcrank_scheduler_oldest_operators_view_seconds',
    help: "The oldest view of the operators' requests by which a start was sent in the last second or so.",
  },
  evacuatedRuns: {
    name: 'redwingcrank_scheduler_evacuated_runs',
    help: 'Runs that are left in evacuated data centres.',
    divisor: 1,
  },
  leaseGrants: {
    name: 'redwingcrank_lease_grants',
    help: 'Workers on which nodes of their data centre may renew leases in the name of the leader.',
    divisor: 1,
  },
  aheadBindings: {
    name: 'redwingcrank_ahead_bindings',
    help: 'Waiting tasks whose bindings are stored ahead of their starts.',
    divisor: 1,
  },
  idleJobs: {
    name: 'redwingcrank_scheduler_idle_jobs',
    help: 'Jobs with tasks to start and none at a worker.',
    divisor: 1,
  },
  longestIdleMs: {
    name: 'redwingcrank_scheduler_longest_idle_seconds',
    help: 'For how long the job has been idle that waits longest.',
  },
  rackWaitingTasks: {
    name: 'redwingcrank_rack_waiting_tasks',
    help: 'Tasks that wait for the rack of their data although another rack may have room.',
    divisor: 1,
  },
  adviceWaitingSteps: {
    name: 'redwingcrank_advice_waiting_steps',
    help: 'Steps of queues with advice that have tasks to start and no worker with a valid ticket.',
    divisor: 1,
  },
  reservedPercent: {
    name: 'redwingcrank_scheduler_reserved_ratio',
    help: "The part of the workers' processors that tasks have reserved.",
    divisor: 100,
  },
  longRunningPercent: {
    name: 'redwingcrank_scheduler_long_running_ratio',
    help: "The part of the workers' processors that long-running tasks have reserved.",
    divisor: 100,
  },
  bestEffortPercent: {
    name: 'redwingcrank_scheduler_best_effort_ratio',
    help: "The part of the workers' processors that best-effort tasks claim.",
    divisor: 100,
  },
};

/** The state of the node that is read when the metrics are requested. */
export interface NodeState {
  readonly isLeading: boolean;
  /** How old the view of the work log is, in milliseconds. */
  readonly viewAgeMs: number;
  /** Jobs by state. */
  readonly jobs: ReadonlyMap<string, number>;
  /** Unusable records of the store since the start, by log and reason. */
  readonly faults: Iterable<FaultCount>;
  /** The evacuated data centres, with how long the node has known of each, in milliseconds. */
  readonly evacuationAgesMs: ReadonlyMap<string, number>;
  /** How many runs are left in evacuated data centres; undefined unless this node schedules. */
  readonly evacuatedRuns: number | undefined;
  /** The waves of maintenance that the operators request. */
  readonly waves: readonly WaveView[];
}

/**
 * Counters and histograms of a node, derived from the events that it logs: everything counted can
 * be found in the log, and vice versa.
 */
export class NodeMetrics {
  readonly #registry = new Registry();

  readonly #events: Counter;

  readonly #orders: Histogram;

  readonly #submits: Histogram;

  readonly #waits: Histogram;

  readonly #stops: Counter;

  readonly #lostCpu: Counter;

  readonly #objectives: Counter;

  readonly #delegatedRenewals: Counter;

  readonly #startDelay: Gauge;

  readonly #returns: Counter;

  readonly #upkeepCalls: Counter;

  readonly #aheadStarts: Counter;

  readonly #reserve: Gauge;

  readonly #copies: Counter;

  readonly #copiesWon: Counter;

  readonly #adviceCalls: Counter;

  readonly #load = new Map<string, Gauge>();

  constructor(log: NodeLog, state: () => NodeState) {
    const registers = [this.#registry];
    this.#events = new Counter({
      name: 'redwingcrank_events_total',
      help: 'Logged decisions and changes, by event and outcome.',
      labelNames: ['event', 'outcome'],
      registers,
    });
    this.#orders = new Histogram({
      name: 'redwingcrank_order_duration_seconds',
      help: 'Time from sending an order to a worker to its answer.',
      labelNames: ['kind', 'outcome'],
      buckets: BUCKETS,
      registers,
    });
    this.#submits = new Histogram({
      name: 'redwingcrank_submit_duration_seconds',
      help: 'Time from a submission to its answer.',
      labelNames: ['outcome'],
      buckets: BUCKETS,
      registers,
    });
    this.#waits = new Histogram({
      name: 'redwingcrank_task_wait_seconds',
      help: "Time from the turn of a task's step to its binding, by what kept it from workers last.",
      labelNames: ['kept_by'],
      buckets: WAIT_BUCKETS,
      registers,
    });
    this.#stops = new Counter({
      name: 'redwingcrank_task_stops_total',
      help: 'Stops sent to workers, repeats included, by reason.',
      labelNames: ['reason'],
      registers,
    });
    this.#lostCpu = new Counter({
      name: 'redwingcrank_lost_cpu_seconds_total',
      help: 'Processor time of stopped runs that no checkpoint holds, by reason.',
      labelNames: ['reason'],
      registers,
    });
    this.#objectives = new Counter({
      name: 'redwingcrank_job_objectives_total',
      help: 'Completed jobs by queue, and by whether their objective was met, or missed by over three times.',
      labelNames: ['queue', 'objective'],
      registers,
    });
    this.#delegatedRenewals = new Counter({
      name: 'redwingcrank_delegated_renewals_total',
      help: 'Workers whose leases this node renewed or tried to renew for the leader, by outcome.',
      labelNames: ['outcome'],
      registers,
    });
    this.#startDelay = new Gauge({
      name: 'redwingcrank_start_delay_ms',
      help: 'How long new jobs wait for their first start, by capacity class and queue priority.',
      labelNames: ['class', 'priority'],
      registers,
    });
    this.#returns = new Counter({
      name: 'redwingcrank_returns_total',
      help: 'Submissions of jobs that this node had refused for their delay, by outcome.',
      labelNames: ['outcome'],
      registers,
    });
    this.#upkeepCalls = new Counter({
      name: 'redwingcrank_upkeep_calls_total',
      help: 'Calls for the maintenance of machines, by outcome.',
      labelNames: ['outcome'],
      registers,
    });
    this.#aheadStarts = new Counter({
      name: 'redwingcrank_ahead_starts_total',
      help: 'Starts of tasks that were bound ahead, sent while the store did not answer.',
      registers,
    });
    this.#reserve = new Gauge({
      name: 'redwingcrank_urgent_reserve_milli',
      help: 'Processors kept free of new long-running tasks for urgent short ones, in thousandths of a core.',
      labelNames: ['pool', 'priority', 'size_milli'],
      registers,
    });
    this.#copies = new Counter({
      name: 'redwingcrank_copies_total',
      help: 'Second runs of tasks that were started, by reason.',
      labelNames: ['reason'],
      registers,
    });
    this.#copiesWon = new Counter({
      name: 'redwingcrank_copies_won_total',
      help: 'Second runs of tasks that succeeded before the first run ended.',
      registers,
    });
    this.#adviceCalls = new Counter({
      name: 'redwingcrank_advice_calls_total',
      help: 'Calls to the advice service, by outcome.',
      labelNames: ['outcome'],
      registers,
    });
    for (const [field, { name, help }] of Object.entries(LOAD_GAUGES)) {
      this.#load.set(field, new Gauge({ name, help, registers }));
    }
    addGauges(registers, log, state);
    log.observe((event, fields) => this.#count(event, fields));
  }

  /** Returns the metrics in the text format of Prometheus. */
  text(): Promise<string> {
    return this.#registry.metrics();
  }

  #count(event: string, fields: LogFields): void {
    const outcome = String(fields.outcome ?? fields.how ?? fields.state ?? '');
    this.#events.inc({ event, outcome });
    const seconds = Number(fields.tookMs) / 1_000;
    if (event === 'order') this.#orders.observe({ kind: String(fields.kind), outcome }, seconds);
    if (event === 'bound') this.#observeBound(fields);
    if (event === 'task-stop') this.#observeStop(fields);
    if (event === 'copy-started') this.#copies.inc({ reason: String(fields.reason) });
    if (event === 'copy-ended' && fields.first === 'copy') this.#copiesWon.inc();
    if (event === 'job-ended') this.#observeJobEnd(fields);
    if (event === 'delegate-done') this.#countDelegated(fields);
    if (event === 'upkeep') this.#upkeepCalls.inc({ outcome });
    if (event === 'term-load') this.#setLoad(fields);
    if (event === 'start-delay') this.#setStartDelay(fields);
    if (event === 'submit-returned') this.#returns.inc({ outcome });
    if (event === 'term-end') {
      this.#setLoad({});
      this.#startDelay.reset();
      this.#reserve.reset();
    }
    if (event === 'started-ahead') this.#aheadStarts.inc(Number(fields.count));
    if (event === 'urgent-reserve') this.#setReserve(fields);
    if (event === 'advice') this.#adviceCalls.inc({ outcome });
    if (event === 'submit') this.#submits.observe({ outcome }, seconds);
  }

  #observeBound({ waitMs, keptBy }: LogFields): void {
    this.#waits.observe({ kept_by: String(keptBy) }, Number(waitMs) / 1_000);
  }

  #observeJobEnd({ queue, objective }: LogFields): void {
    if (objective === undefined) return;
    this.#objectives.inc({ queue: String(queue), objective: String(objective) });
  }

  #observeStop({ reason, lostCpuMs }: LogFields): void {
    this.#stops.inc({ reason: String(reason) });
    this.#lostCpu.inc({ reason: String(reason) }, Number(lostCpuMs) / 1_000);
  }

  #countDelegated(fields: LogFields): void {
    for (const outcome of ['renewed', 'refused', 'silent'])
      this.#delegatedRenewals.inc({ outcome }, Number(fields[outcome]));
  }

  #setStartDelay({ class: capacityClass, priority, delayMs }: LogFields): void {
    const labels = { class: String(capacityClass), priority: String(priority) };
    this.#startDelay.set(labels, Number(delayMs));
  }

  #setReserve({ pool, priority, sizeMilli, tasks }: LogFields): void {
    const labels = { pool: `${pool}`, priority: `${priority}`, size_milli: `${sizeMilli}` };
    if (tasks === 0) this.#reserve.remove(labels);
    else this.#reserve.set(labels, Number(tasks) * Number(sizeMilli));
  }

  /** Sets the load gauges. A node that is no longer leader reports no load. */
  #setLoad(fields: LogFields): void {
    for (const [field, gauge] of this.#load) {
      gauge.set(Number(fields[field] ?? 0) / (LOAD_GAUGES[field]!.divisor ?? MS_PER_S));
    }
  }
}

function addGauges(registers: Registry[], log: NodeLog, state: () => NodeState): void {
  const gauge = (name: string, help: string, read: () => number): void => {
    // The constructor registers the gauge; no other reference is needed.

    new Gauge({
      name,
      help,
      registers,
      collect() {
        this.set(read());
      },
    });
  };
  gauge('redwingcrank_leading', 'Whether this node schedules.', () => Number(state().isLeading));
  gauge(
    'redwingcrank_view_age_seconds',
    'Age of the view of the work log.',
    () => state().viewAgeMs / 1_000,
  );
  gauge('redwingcrank_log_lines_dropped', 'Log lines dropped since the start.', () => log.dropped);

  new Gauge({
    name: 'redwingcrank_jobs',
    help: 'Known jobs, by state.',
    labelNames: ['state'],
    registers,
    collect() {
      this.reset();
      for (const [name, count] of state().jobs) this.set({ state: name }, count);
    },
  });

  new Gauge({
    name: 'redwingcrank_evacuation_age_seconds',
    help: 'For how long the node has known that a data centre is evacuated.',
    labelNames: ['data_centre'],
    registers,
    collect() {
      this.reset();
      for (const [name, ageMs] of state().evacuationAgesMs)
        this.set({ data_centre: name }, ageMs / 1_000);
    },
  });

  new Gauge({
    name: 'redwingcrank_wave_machines',
    help: 'Machines of the waves of maintenance, by wave and state; drained and down on the leader only.',
    labelNames: ['wave', 'state'],
    registers,
    collect() {
      this.reset();
      for (const { wave, machines, done, down = 0, draining = 0 } of state().waves) {
        this.set({ wave, state: 'requested' }, machines);
        this.set({ wave, state: 'draining' }, draining);
        this.set({ wave, state: 'down' }, down);
        this.set({ wave, state: 'done' }, done);
      }
    },
  });

  new Counter({
    name: 'redwingcrank_unusable_records_total',
    help: 'Records of the store that could not be used, by log and reason.',
    labelNames: ['log', 'reason'],
    registers,
    collect() {
      this.reset();
      for (const { source, reason, count } of state().faults) {
        this.inc({ log: source, reason }, count);
      }
    },
  });
}
