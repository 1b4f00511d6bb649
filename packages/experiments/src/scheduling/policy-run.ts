import type { ControlAction, ListedHost, Manifest, Service } from '@redwingcrank/protocol';
import { ControlFold, SchedulingMemory, planPass, seededRandom } from '@redwingcrank/decisions';
import { FakeHosts } from './fake-hosts.js';
import { HiddenTruth, SERVICES, STEP_MS } from './truth.js';
import type { Variant, VariantName } from './variants.js';
import { variantOf } from './variants.js';
import type { PlannedJob, Scenario } from './workload.js';
import { RUN_MS, START, bestDeadlines, drawJobs } from './workload.js';

/** One variant in one scenario. */
export interface PolicyRow {
  readonly scenario: Scenario;
  readonly variant: VariantName;
  readonly seed: number;
  /** Percent of the replicas' time above the target or missing. */
  readonly latePercent: number;
  /** The same without the first ten minutes, in which pairs are learned. */
  readonly lateLaterPercent: number;
  /** Core-hours of batch work done and not lost. */
  readonly coreHours: number;
  /** Batch attempts that were stopped to make room or to relieve a service. */
  readonly evictions: number;
  readonly deadlinesKept: number;
  /** An upper bound of what any plan could keep. */
  readonly deadlinesBest: number;
  readonly failures: number;
  /** The longest time until an urgent task was bound, in seconds. */
  readonly urgentMaxS: number;
  readonly passMaxMs: number;
}

const HOSTS = 45;
const HOSTS_PER_RACK = 8;
const CORES = 32;
const REPLICAS = 15;
const REPLICA_CORES = 8;
const BATCH_CORES = HOSTS * CORES - SERVICES.length * REPLICAS * REPLICA_CORES;
const RACK_LOST_FROM_MS = 10 * 60_000;
const RACK_LOST_UNTIL_MS = 25 * 60_000;
const LEARNING_MS = 10 * 60_000;
const MS_PER_HOUR = 3_600_000;

const HOSTS_LISTED: readonly ListedHost[] = Array.from({ length: HOSTS }, (_, i) => ({
  hostId: `w${i}`,
  dataCentre: 'dc1',
  rack: `r${Math.floor(i / HOSTS_PER_RACK)}`,
  address: `127.0.0.1:${1000 + i}`,
  capacity: { cpu: CORES, memoryMb: 125_000, accelerators: 0 },
  state: 'live',
}));

/** Runs one variant of the policy over virtual time. */
export class PolicyRun {
  readonly #fold = new ControlFold();

  readonly #memory = new SchedulingMemory();

  readonly #jobs: readonly PlannedJob[];

  readonly #scenario: Scenario;

  readonly #variantName: VariantName;

  readonly #variant: Variant;

  readonly #seed: number;

  readonly #hosts: FakeHosts;

  readonly #completed = new Map<string, number>();

  readonly #urgentMs: number[] = [];

  #manifest: Manifest;

  #offset = -1;

  #evictions = 0;

  #kept = 0;

  #failures = 0;

  #passMaxMs = 0;

  #learned: readonly [samples: number, late: number] = [0, 0];

  constructor(scenario: Scenario, variant: VariantName, seed: number) {
    this.#scenario = scenario;
    this.#variantName = variant;
    this.#seed = seed;
    this.#jobs = drawJobs(scenario, seededRandom(seed));
    const random = seededRandom(seed + 1);
    this.#variant = variantOf(variant, this.#fold, random);
    const byName = new Map(this.#jobs.map((planned) => [planned.job.name, planned]));
    this.#hosts = new FakeHosts({
      fold: this.#fold,
      truth: new HiddenTruth(seededRandom(seed + 2), scenario === 'waves'),
      random,
      work: (job) => byName.get(job)?.truth ?? { work: 0, use: 1 },
      jobs: new Map([...byName].map(([name, { job }]) => [name, job])),
      badHost: scenario === 'bad-worker' ? 'w3' : undefined,
      shareOf: (task) => this.#variant.shareOf(task),
    });
    this.#manifest = this.#manifestAt(0);
    this.#append({ type: 'claim', term: 1 });
  }

  run(): PolicyRow {
    for (let nowMs = 0; nowMs < RUN_MS; nowMs += STEP_MS) this.#step(nowMs);
    const { samples, late, work } = this.#hosts;
    const [samplesBefore, lateBefore] = this.#learned;
    return {
      scenario: this.#scenario,
      variant: this.#variantName,
      seed: this.#seed,
      latePercent: (100 * late) / samples,
      lateLaterPercent: (100 * (late - lateBefore)) / (samples - samplesBefore),
      coreHours: work / MS_PER_HOUR,
      evictions: this.#evictions,
      deadlinesKept: this.#kept,
      deadlinesBest: bestDeadlines(this.#jobs, BATCH_CORES),
      failures: this.#failures,
      urgentMaxS: Math.max(0, ...this.#urgentMs) / 1_000,
      passMaxMs: this.#passMaxMs,
    };
  }

  #step(nowMs: number): void {
    if (nowMs === LEARNING_MS) this.#learned = [this.#hosts.samples, this.#hosts.late];
    if (this.#changesAt(nowMs)) this.#manifest = this.#manifestAt(nowMs);
    const lost = this.#lostAt(nowMs);
    const listed = HOSTS_LISTED.filter(({ hostId }) => !lost.has(hostId));
    const seen = [...this.#hosts.step(nowMs, lost)];
    for (const action of seen) this.#note(action, nowMs);
    this.#apply(seen);
    for (const report of this.#hosts.reports(nowMs, listed)) {
      this.#variant.observe(this.#fold, this.#manifest, report, nowMs);
    }
    const moves = [...this.#variant.moves(this.#fold, nowMs)];
    this.#apply(moves.map((move) => ({ type: 'revoke', ...move })));
    this.#evictions += moves.length;
    const actions = this.#pass(nowMs, listed);
    this.#apply(actions);
    this.#countMissing();
  }

  #pass(nowMs: number, listed: readonly ListedHost[]): ControlAction[] {
    const start = performance.now();
    const steps = planPass({
      dataCentre: 'dc1',
      manifest: this.#manifest,
      fold: this.#fold,
      listed,
      policy: this.#variant.policy,
      nowMs: START + nowMs,
      memory: this.#memory,
    });
    const actions: ControlAction[] = [];
    for (const step of steps) if (step.type === 'action') actions.push(step.action);
    this.#passMaxMs = Math.max(this.#passMaxMs, performance.now() - start);
    for (const action of actions) {
      if (action.type === 'revoke' && action.reason.startsWith('room for')) this.#evictions += 1;
      if (action.type === 'bind') this.#noteUrgent(action.owner, nowMs);
    }
    return actions;
  }

  #noteUrgent(owner: string, nowMs: number): void {
    const planned = this.#jobs.find(({ job }) => job.name === owner && job.urgent);
    if (planned) this.#urgentMs.push(nowMs - planned.fromMs);
  }

  #note(action: ControlAction, nowMs: number): void {
    if (action.type !== 'ended') return;
    this.#memory.ended(this.#fold, action, START + nowMs);
    if (action.outcome === 'failed') this.#failures += 1;
    if (action.outcome !== 'completed') return;
    const owner = this.#fold.tasks.get(action.taskId)?.owner ?? '';
    const count = (this.#completed.get(owner) ?? 0) + 1;
    this.#completed.set(owner, count);
    const job = this.#manifest.jobs.find(({ name }) => name === owner);
    const isDone = job?.tasks === count;
    const dueMs = job?.deadline === undefined ? undefined : Date.parse(job.deadline) - START;
    // A deadline after the end of the run is no part of the bound either.
    if (isDone && dueMs !== undefined && nowMs <= dueMs && dueMs <= RUN_MS) this.#kept += 1;
  }

  /** A replica that is missing serves nobody: its time counts as late. */
  #countMissing(): void {
    for (const { name, replicas } of this.#manifest.services) {
      const live = this.#fold.index.of('service', name)?.live.size ?? 0;
      const missing = Math.max(0, (replicas.dc1 ?? 0) - live);
      this.#hosts.samples += missing;
      this.#hosts.late += missing;
    }
  }

  #lostAt(nowMs: number): ReadonlySet<string> {
    const isLost =
      this.#scenario === 'rack-lost' && nowMs >= RACK_LOST_FROM_MS && nowMs < RACK_LOST_UNTIL_MS;
    const lost = HOSTS_LISTED.filter(({ rack }) => isLost && rack === 'r1');
    return new Set(lost.map(({ hostId }) => hostId));
  }

  #changesAt(nowMs: number): boolean {
    const since = nowMs - STEP_MS;
    return this.#jobs.some(
      ({ fromMs, untilMs }) =>
        (fromMs > since && fromMs <= nowMs) || (untilMs > since && untilMs <= nowMs),
    );
  }

  #manifestAt(nowMs: number): Manifest {
    const quota = { cpu: 1e6, memoryMb: 1e9, accelerators: 0 };
    return {
      apiVersion: 'redwingcrank/v1',
      version: 1,
      replaces: 0,
      dataCentres: ['dc1'],
      teams: [{ name: 'a', quota, weight: 1 }],
      services: SERVICES.map(serviceOf),
      jobs: this.#jobs
        .filter(({ fromMs, untilMs }) => fromMs <= nowMs && nowMs < untilMs)
        .map(({ job }) => job),
    };
  }

  #apply(actions: readonly ControlAction[]): void {
    if (actions.length === 0) return;
    const { voided } = this.#append({ type: 'batch', term: 1, actions });
    if (voided.length > 0) throw new Error(`voided: ${voided.join('; ')}`);
  }

  #append(body: object): ReturnType<ControlFold['apply']> {
    this.#offset += 1;
    return this.#fold.apply(this.#offset, { ...body, id: `r${this.#offset}`, holder: 'n1' });
  }
}

function serviceOf(name: string): Service {
  return {
    name,
    team: 'a',
    tier: 'high',
    pathPrefix: `/${name}`,
    replicas: { dc1: REPLICAS },
    resources: { cpu: REPLICA_CORES, memoryMb: 8_000, accelerators: 0 },
    slots: 8,
    connections: 64,
    defaultDeadlineMs: 5_000,
    latencyTargetMs: 100,
    requestRules: [],
    onOutage: 'keep',
  };
}
