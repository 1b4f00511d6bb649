import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { AdviceQuery } from '../advice.js';
import type { Order } from '../order.js';
import { stepName } from '../task-ref.js';
import {
  QUEUE,
  SchedulerHarness,
  jobSpec,
  runningRow,
  stepSpec,
  workerEntry,
} from './scheduler-harness.js';

type Start = Order & { kind: 'start' };

const ROUND_MS = 50;

const MARGIN_MS = 1_500;

const ADVICE = { decisionMs: 30, periodMs: 5, validityMs: 3_000 };

const SHORT = stepSpec({ cpuMilli: 4_000, estimateMs: 500 });

/** A cluster of which only every fifth worker is approved for a step, with its advice service. */
class AdvisedCluster {
  readonly harness: SchedulerHarness;

  readonly queries: AdviceQuery[] = [];

  readonly #pending: { query: AdviceQuery; sentMs: number }[] = [];

  /** Until when each ticket is valid, by step, worker and ticket. */
  readonly #validUntilMs = new Map<string, number>();

  /** Until when the newest ticket may be used for a start, by step and worker. */
  readonly usableUntilMs = new Map<string, number>();

  #running: { readonly start: Start; readonly endMs: number }[] = [];

  isServiceUp = true;

  isApproved = (step: string, worker: string): boolean =>
    (step.length + Number(step[1]) + Number(worker.slice(1))) % 5 === 0;

  constructor(workerCount = 40) {
    const ids = Array.from({ length: workerCount }, (_, i) => `w${i}`);
    this.harness = new SchedulerHarness(ids.map((id) => workerEntry(id)));
    this.harness.scheduler.setTicketMargin(MARGIN_MS);
    this.harness.scheduler.setQueues([{ ...QUEUE, name: 'advised', advice: ADVICE }]);
  }

  submit(id: string, steps = [SHORT], queue = 'advised'): void {
    this.harness.submit(jobSpec(steps, { id, queue, acceptedMs: this.harness.nowMs }));
  }

  /** Runs a round, in which the workers check the tickets, and returns its starts. */
  round(): Start[] {
    const { harness } = this;
    const starts = harness.starts();
    for (const start of starts) {
      const key = `${stepName(start.task)} ${start.worker} ${start.ticket}`;
      const { queue, steps } = harness.scheduler.jobs.get(start.task.jobId)!.spec;
      if (queue === 'advised')
        assert.ok((this.#validUntilMs.get(key) ?? 0) - harness.nowMs >= MARGIN_MS, key);
      const endMs = harness.nowMs + steps[start.task.step]!.estimateMs;
      harness.answer(start, 'done');
      this.#running.push({ start, endMs });
    }
    this.#askService();
    harness.nowMs += ROUND_MS;
    const ended = this.#running.filter(({ endMs }) => endMs <= harness.nowMs);
    this.#running = this.#running.filter(({ endMs }) => endMs > harness.nowMs);
    for (const id of harness.scheduler.workers.keys()) {
      const at = ({ start }: { start: Start }): boolean => start.worker === id;
      const running = this.#running.filter(at).map(({ start }) => runningRow(start));
      const rows = ended.filter(at).map(({ start }) => harness.end(start, 'done'));
      harness.report(id, { running, ended: rows });
    }
    return starts;
  }

  #askService(): void {
    const { harness } = this;
    const [first] = this.#pending;
    if (first && this.isServiceUp && harness.nowMs >= first.sentMs + first.query.expectedMs) {
      this.#pending.shift();
      const { query, sentMs } = first;
      const approved = query.workers.filter((worker) => this.isApproved(query.step, worker));
      const tickets = new Map(approved.map((worker) => [worker, `t${harness.nowMs}`]));
      for (const [worker, ticket] of tickets) {
        const untilMs = sentMs + query.expectedMs + ADVICE.validityMs;
        this.#validUntilMs.set(`${query.step} ${worker} ${ticket}`, untilMs);
        this.usableUntilMs.set(`${query.step} ${worker}`, untilMs - MARGIN_MS);
      }
      const { validityMs } = ADVICE;
      harness.scheduler.adviceAnswered(query, { tickets, validityMs }, sentMs, harness.nowMs);
    }
    if (this.#pending.length > 0) return;
    const query = harness.scheduler.nextAdviceQuery(harness.nowMs);
    if (!query) return;
    for (const worker of query.workers) {
      const leftMs = (this.usableUntilMs.get(`${query.step} ${worker}`) ?? 0) - harness.nowMs;
      assert.ok(leftMs < 0, `${worker} was answered for, for another ${leftMs} ms`);
    }
    this.queries.push(query);
    this.#pending.push({ query, sentMs: harness.nowMs });
  }
}

test('steps are started only on approved workers, and a refused worker is asked for once', () => {
  // Guards against starts that workers reject, and against a service that is asked the same again.
  const cluster = new AdvisedCluster();
  // The approved workers are full for longer than tickets are valid.
  for (let i = 0; i < 700; i += 1) {
    if (i % 10 === 0 && i < 300) cluster.submit(`1${i}`, [{ ...SHORT, taskCount: 30 }]);
    cluster.round();
  }
  const { harness, queries } = cluster;
  assert.equal(harness.fieldsOf('job-ended').length, 30);
  assert.ok(harness.fieldsOf('bound').some(({ keptBy }) => keptBy === 'advice'));
  const refused = queries.flatMap(({ step, workers }) =>
    workers.filter((worker) => !cluster.isApproved(step, worker)).map((id) => `${step} ${id}`),
  );
  assert.equal(new Set(refused).size, refused.length);
  assert.ok(queries.every(({ workers }) => workers.length <= 100));
  assert.equal(harness.scheduler.backlog(harness.nowMs).adviceWaitingSteps, 0);
});

test('the workers of a step are known when its predecessor ends', () => {
  // Guards against a wait for the service at the start of every step.
  const cluster = new AdvisedCluster();
  cluster.isApproved = () => true;
  cluster.submit('0chain', [SHORT, { ...SHORT, after: [0] }]);
  const firstMs: number[] = [];
  for (let i = 0; i < 30; i += 1)
    for (const { task } of cluster.round()) firstMs[task.step] = cluster.harness.nowMs;
  assert.equal(firstMs[1]! - firstMs[0]!, SHORT.estimateMs);
});

test('without an answer of the service its steps wait and other queues go on', () => {
  // Guards against a service outage that stops the whole cluster.
  const cluster = new AdvisedCluster();
  cluster.isServiceUp = false;
  cluster.submit('00');
  cluster.submit('plain', [SHORT], 'q');
  for (let i = 0; i < 20; i += 1) cluster.round();
  const { harness } = cluster;
  assert.deepEqual(
    harness.fieldsOf('job-ended').map(({ job }) => job),
    ['plain'],
  );
  assert.equal(harness.scheduler.backlog(harness.nowMs).adviceWaitingSteps, 1);
  cluster.isServiceUp = true;
  for (let i = 0; i < 60; i += 1) cluster.round();
  assert.equal(harness.fieldsOf('job-ended').length, 2);
});

test('a start with a rejected or expired ticket counts as never run, and its worker is asked for again', () => {
  // Guards against a job that fails by its tickets, and against rejected starts that are repeated.
  const cluster = new AdvisedCluster(1);
  cluster.isApproved = () => true;
  const { harness } = cluster;
  cluster.submit('0job');
  let start: Start | undefined;
  while (!start) [start] = cluster.round();
  assert.ok(harness.scheduler.shouldSend(start, harness.nowMs));
  assert.ok(!harness.scheduler.shouldSend(start, harness.nowMs + ADVICE.validityMs));
  harness.answer(start, 'no-ticket');
  cluster.usableUntilMs.clear();
  assert.ok(!harness.scheduler.shouldSend(start, harness.nowMs));
  const { failures, phase } = harness.scheduler.jobs.get('0job')!.occurrences.get(0)!.steps[0]![0]!;
  assert.deepEqual({ failures, phase }, { failures: 0, phase: 'waiting' });
  assert.deepEqual(cluster.round(), []);
  assert.deepEqual(cluster.queries.at(-1)!.workers, ['w0']);
  assert.equal(cluster.queries.length, 2);
});

test('a step that no worker may run is logged once, and a worker that joins is asked for', () => {
  // Guards against steps that wait for good, unseen by the operators.
  const cluster = new AdvisedCluster(10);
  cluster.isApproved = (_, worker) => worker === 'w10';
  cluster.submit('0job');
  for (let i = 0; i < 60; i += 1) cluster.round();
  const { harness } = cluster;
  assert.deepEqual(
    harness.fieldsOf('advice-none').map(({ step, workers }) => [step, workers]),
    [['0job.0.0', 10]],
  );
  harness.scheduler.listWorker(workerEntry('w10'), harness.nowMs);
  harness.report('w10');
  for (let i = 0; i < 30; i += 1) cluster.round();
  assert.equal(harness.fieldsOf('job-ended').length, 1);
});
