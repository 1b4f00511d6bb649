import type { Job } from '@redwingcrank/protocol';
import type { RandomSource } from '@redwingcrank/decisions';
import type { TrueWork } from './fake-hosts.js';
import { BATCH_KINDS, STEP_MS } from './truth.js';

export const SCENARIOS = [
  'steady',
  'waves',
  'claims',
  'bad-worker',
  'cancellations',
  'impossible',
  'rack-lost',
  'urgent',
] as const;

export type Scenario = (typeof SCENARIOS)[number];

export const RUN_MS = 40 * 60_000;
export const START = Date.UTC(2026, 0, 1);

const ARRIVAL_MS = 9_000;
const TASKS = 8;
const CORES = 4;
const DEADLINE_PERCENT = 30;
const BURST = 5_000;
const BURST_FROM_MS = 5 * 60_000;
const BURST_UNTIL_MS = 10 * 60_000;
const URGENT_EVERY_MS = 60_000;

/** A job with the time it is in the manifest and the truth about it. */
export interface PlannedJob {
  readonly job: Job;
  readonly fromMs: number;
  readonly untilMs: number;
  readonly truth: TrueWork;
}

/** Draws more batch work than the hosts can do. The same seed gives the same jobs. */
export function drawJobs(scenario: Scenario, random: RandomSource): PlannedJob[] {
  const jobs: PlannedJob[] = [];
  for (let fromMs = 0; fromMs < RUN_MS; fromMs += ARRIVAL_MS) {
    const kind = BATCH_KINDS[random.int(0, BATCH_KINDS.length - 1)] ?? 'route';
    const runMs = random.int(120, 480) * 1_000;
    const hasDeadline = random.int(1, 100) <= DEADLINE_PERCENT;
    const dueMs = fromMs + (runMs * random.int(20, 60)) / 10;
    // Four times too small shows as a run four times as long, since a worker enforces the claim.
    const wrong = scenario === 'claims' ? ([0.25, 1, 4][random.int(0, 2)] ?? 1) : 1;
    const deadline = hasDeadline ? { deadline: new Date(START + dueMs).toISOString() } : {};
    const job = { ...jobOf(`${kind}-${jobs.length}`, TASKS, CORES), expectedRunMs: runMs };
    jobs.push({
      job: { ...job, ...deadline },
      fromMs,
      untilMs: Infinity,
      truth: { work: runMs * CORES * wrong, use: Math.min(1, wrong) },
    });
  }
  return [...jobs, ...extraJobs(scenario)];
}

function* extraJobs(scenario: Scenario): Generator<PlannedJob> {
  const truth = { work: 60_000, use: 1 };
  for (let i = 0; scenario === 'cancellations' && i < BURST; i += 1) {
    const job: Job = { ...jobOf(`burst-${i}`, 1, 1), tier: 'low' };
    yield { job, fromMs: BURST_FROM_MS, untilMs: BURST_UNTIL_MS, truth };
  }
  for (let i = 0; scenario === 'impossible' && i < 40; i += 1) {
    const racks = i % 2 === 0 ? ['r77'] : [];
    const job: Job = { ...jobOf(`never-${i}`, 4, i % 2 === 0 ? 1 : 64), tier: 'high', racks };
    yield { job, fromMs: 0, untilMs: Infinity, truth };
  }
  for (let ms = URGENT_EVERY_MS; scenario === 'urgent' && ms < RUN_MS; ms += URGENT_EVERY_MS) {
    const job: Job = { ...jobOf(`urgent-${ms / URGENT_EVERY_MS}`, 1, 8), urgent: true };
    yield { job, fromMs: ms, untilMs: Infinity, truth: { work: 480_000, use: 1 } };
  }
}

function jobOf(name: string, tasks: number, cpu: number): Job {
  return {
    name,
    team: 'a',
    tier: 'normal',
    dataCentre: 'dc1',
    tasks,
    resources: { cpu, memoryMb: cpu * 2_000, accelerators: 0 },
    urgent: false,
    expectedRunMs: 60_000,
    maxAttempts: 20,
    racks: [],
    onOutage: 'checkpoint',
  };
}

/**
 * How many deadlines the best plan could keep that knows all in advance: earliest deadline
 * first, with all cores that services leave, no disturbance and nothing lost. No plan does better
 * by more than the grain of a step, so a policy is measured against an upper bound.
 */
export function bestDeadlines(jobs: readonly PlannedJob[], cores: number): number {
  const due = jobs
    .filter(({ job }) => job.deadline !== undefined)
    .map(({ job, fromMs, truth }) => ({
      fromMs,
      dueMs: Date.parse(job.deadline ?? '') - START,
      left: truth.work * job.tasks,
      width: job.resources.cpu * job.tasks * truth.use,
    }))
    .filter(({ dueMs }) => dueMs <= RUN_MS)
    .sort((a, b) => a.dueMs - b.dueMs);
  let kept = 0;
  for (let nowMs = 0; nowMs < RUN_MS; nowMs += STEP_MS) {
    let free = cores;
    for (const item of due) {
      if (item.left > 0 && item.fromMs <= nowMs && nowMs < item.dueMs) {
        const used = Math.min(free, item.width);
        free -= used;
        item.left -= used * STEP_MS;
        if (item.left <= 0) kept += 1;
      }
    }
  }
  return kept;
}
