import assert from 'node:assert/strict';
import { test } from 'node:test';
import { retryDelayMs } from '../admission.js';
import { isFinal } from '../job.js';
import type { JobProgress } from '../job-progress.js';
import type { Order } from '../order.js';
import { QUEUE, SchedulerHarness, jobSpec, stepSpec, workerEntry } from './scheduler-harness.js';

const WORKERS = 60;

const ROUND_MS = 100;

/** The starts that a slow leader can send in each round. */
const STARTS_PER_ROUND = 4;

const TASKS = 60;

const TASK_MS = 1_000;

/** For how long jobs are submitted, and how much later all must have ended, in milliseconds. */
const SUBMITTING_MS = 30_000;

const FINISH_MS = 14_000;

/** The longest wait for the first start of an accepted job, in milliseconds. */
const MAX_WAIT_MS = 15_000;

/** Seven tenths of the jobs that the leader can start while they are submitted. */
const MIN_ACCEPTED = (0.7 * STARTS_PER_ROUND * SUBMITTING_MS) / ROUND_MS / TASKS;

interface RunningTask {
  readonly order: Order;
  readonly endMs: number;
}

interface Result {
  readonly accepted: readonly JobProgress[];
  readonly rejected: number;
  readonly longestWaitMs: number;
}

/** Submits jobs at a steady rate to a leader whose workers always have free capacity. */
function run(jobsPerSecond: number): Result {
  const workers = Array.from({ length: WORKERS }, (_, i) => workerEntry(`w${i}`));
  const harness = new SchedulerHarness(workers);
  const accepted: JobProgress[] = [];
  let running: RunningTask[] = [];
  let rejected = 0;
  let longestWaitMs = 0;
  const startMs = harness.nowMs;
  for (let ms = 0; ms < SUBMITTING_MS + FINISH_MS; ms += ROUND_MS) {
    harness.nowMs = startMs + ms;
    const due = Math.floor((ms * jobsPerSecond) / 1_000);
    for (let n = accepted.length + rejected; ms < SUBMITTING_MS && n < due; n += 1) {
      const id = n.toString(16).padStart(16, '0');
      const steps = [stepSpec({ taskCount: TASKS, cpuMilli: 100 })];
      const spec = jobSpec(steps, { id, acceptedMs: harness.nowMs });
      const waitMs = retryDelayMs(spec, QUEUE, harness.scheduler.retryAfter(harness.nowMs));
      if (waitMs === undefined) accepted.push(harness.submit(spec));
      else rejected += 1;
    }
    const ended = running.filter(({ endMs }) => endMs <= harness.nowMs);
    running = running.filter(({ endMs }) => endMs > harness.nowMs);
    for (const { id } of workers) {
      const own = ended.filter(({ order }) => order.worker === id);
      const others = running.filter(({ order }) => order.worker === id);
      harness.report(id, {
        ended: own.map(({ order }) => harness.end(order, 'done')),
        running: others.map(({ order }) => ({
          task: `${order.task.jobId}.0.0.${order.task.index}`,
          run: order.run,
          checkpoint: '',
          percent: Math.floor(ms / ROUND_MS) % 100,
          measure: 0,
        })),
      });
    }
    const limits = { placingMs: Infinity, starts: STARTS_PER_ROUND, clockMs: () => harness.nowMs };
    const { orders, acks } = harness.scheduler.decide(harness.nowMs, harness.nowMs, limits);
    harness.scheduler.acknowledge(acks);
    for (const order of orders) {
      if (order.kind === 'start') {
        harness.answer(order, 'done');
        running.push({ order, endMs: harness.nowMs + TASK_MS });
      }
    }
    for (const { state, spec } of accepted) {
      if (state === 'queued')
        longestWaitMs = Math.max(longestWaitMs, harness.nowMs - spec.acceptedMs);
    }
  }
  return { accepted, rejected, longestWaitMs };
}

test('a leader with too little processor time accepts only the jobs that it can start', () => {
  // Guards against accepting jobs by the workers' free capacity alone: where the leader can start
  // half of the tasks, accepted jobs wait longer and longer beside idle workers.
  const { accepted, rejected, longestWaitMs } = run(1.4);
  assert.ok(rejected > 0);
  assert.ok(accepted.length >= MIN_ACCEPTED, `${accepted.length} accepted`);
  assert.ok(longestWaitMs <= MAX_WAIT_MS, `a job waited ${longestWaitMs} ms`);
  assert.deepEqual(
    accepted.filter(({ state }) => !isFinal(state)).map(({ spec }) => spec.id),
    [],
    'accepted jobs have not ended',
  );
});

test('a leader that can start all tasks refuses no job', () => {
  const { accepted, rejected } = run(0.5);
  assert.equal(rejected, 0);
  assert.ok(accepted.every(({ state }) => state === 'completed'));
});
