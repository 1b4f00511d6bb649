import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobProgress } from '../job-progress.js';
import type { Order } from '../order.js';
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

const ELSEWHERE_FACTOR = 3;

/** A task that fills half of a worker; elsewhere than on its rack it loses 800 ms. */
const LOCAL = stepSpec({ cpuMilli: 4_000, estimateMs: 400, dataRack: 'r1' });

/** Two racks of two workers, on which tasks take longer without their data. */
class RackCluster {
  readonly harness = new SchedulerHarness(
    [1, 2, 3, 4].map((n) => workerEntry(`w${n}`, { labels: ['a', n < 3 ? 'r1' : 'r2'] })),
  );

  #running: { readonly start: Start; readonly endMs: number }[] = [];

  #count = 0;

  /** For each ended task with data: how long it took from its submission, in milliseconds. */
  readonly tookMs: number[] = [];

  constructor(remoteFactor = ELSEWHERE_FACTOR) {
    this.harness.scheduler.setRemoteFactor(remoteFactor);
    for (const priority of [0, 1])
      this.harness.scheduler.setQueues([{ ...QUEUE, name: `q${priority}`, priority }]);
  }

  submit(changes = {}, queue = 'q0'): JobProgress {
    this.#count += 1;
    const spec = { id: `j${this.#count}`, queue, acceptedMs: this.harness.nowMs };
    return this.harness.submit(jobSpec([{ ...LOCAL, ...changes }], spec));
  }

  /** Runs a round and returns the racks on which tasks were started. */
  round(): string[] {
    const { harness } = this;
    const starts = harness.starts();
    const racks = starts.map(({ worker }) => (worker < 'w3' ? 'r1' : 'r2'));
    for (const [i, start] of starts.entries()) {
      const { estimateMs, dataRack, lasting } = harness.scheduler.jobs.get(start.task.jobId)!.spec
        .steps[0]!;
      const factor = dataRack && dataRack !== racks[i] ? ELSEWHERE_FACTOR : 1;
      const endMs = harness.nowMs + (lasting ? Infinity : estimateMs * factor);
      harness.answer(start, 'done');
      this.#running.push({ start, endMs });
    }
    harness.nowMs += ROUND_MS;
    const ended = this.#running.filter(({ endMs }) => endMs <= harness.nowMs);
    this.#running = this.#running.filter(({ endMs }) => endMs > harness.nowMs);
    for (const { start } of ended) {
      const { acceptedMs, steps } = harness.scheduler.jobs.get(start.task.jobId)!.spec;
      if (steps[0]!.dataRack) this.tookMs.push(harness.nowMs - acceptedMs);
    }
    for (const id of harness.scheduler.workers.keys()) {
      const at = ({ start }: { start: Start }): boolean => start.worker === id;
      const running = this.#running.filter(at).map(({ start }) => runningRow(start));
      const rows = ended.filter(at).map(({ start }) => harness.end(start, 'done'));
      harness.report(id, { running, ended: rows });
    }
    return racks;
  }

  get ongoingCount(): number {
    return this.#running.length;
  }

  waitingCount(): number {
    return this.harness.scheduler.backlog(this.harness.nowMs).rackWaitingTasks;
  }

  /** Fills the first rack with local tasks for a time in which its rate becomes known. */
  fillRack(): void {
    for (let i = 0; i < 30; i += 1) {
      if (i % 8 === 0) for (let task = 0; task < 4; task += 1) this.submit();
      this.round();
    }
  }
}

/** Returns the mean time that tasks take while 8 at once, each second, have data in a rack that runs 4. */
function meanTookMs(remoteFactor: number): number {
  const cluster = new RackCluster(remoteFactor);
  for (let i = 0; i < 400; i += 1) {
    if (i % 20 === 0) for (let task = 0; task < 8; task += 1) cluster.submit();
    cluster.round();
  }
  return cluster.tookMs.reduce((sum, ms) => sum + ms, 0) / cluster.tookMs.length;
}

test('tasks wait for a contended rack where they end earlier than elsewhere, and only there', () => {
  // Guards against tasks that run three times as long on another rack although theirs has room soon,
  // and against tasks that queue for a rack beyond what they lose elsewhere.
  const [preferring, indifferent] = [meanTookMs(ELSEWHERE_FACTOR), meanTookMs(1)];
  assert.ok(preferring < 0.85 * indifferent, `${preferring} ms, without preference ${indifferent}`);
});

test('no more tasks wait for a rack than it takes within their loss, and none waits for longer', () => {
  // Guards against a queue for the rack that grows without end while other racks are free, and against
  // urgent tasks that do not wait because less urgent ones do.
  const cluster = new RackCluster();
  cluster.fillRack();
  for (let task = 0; task < 9; task += 1) cluster.submit({}, 'q1');
  const elsewhere = cluster.round();
  assert.deepEqual(new Set(elsewhere), new Set(['r2']));
  assert.equal(elsewhere.length + cluster.waitingCount(), 9);
  const urgent = cluster.submit({}, 'q0');
  cluster.round();
  assert.equal(urgent.state, 'queued');
  for (let i = 0; i < 20; i += 1) {
    // Tasks that need no data take what is released on the rack.
    if (i % 2 === 0) cluster.submit({ dataRack: '', requiredLabel: 'r1' });
    cluster.round();
  }
  assert.equal(cluster.waitingCount(), 0);
  const { rack, racks } = cluster.harness.fieldsOf('rack-wait').at(-1)!;
  assert.deepEqual({ rack, racks }, { rack: 'r1', racks: 1 });
});

test('a task does not wait for a rack that is leaving, full of long-running tasks or not yet known', () => {
  // Guards against tasks that wait in vain, for as long as they would lose, beside a free rack.
  const leaving = new RackCluster();
  leaving.fillRack();
  for (const id of ['w1', 'w2']) {
    const entry = { ...workerEntry(id, { labels: ['r1'] }), draining: true, remainingMs: 9_000 };
    leaving.harness.scheduler.listWorker(entry, leaving.harness.nowMs);
  }
  const occupied = new RackCluster();
  for (let i = 0; i < 4; i += 1) occupied.submit({ lasting: true });
  for (let i = 0; i < 30; i += 1) occupied.round();
  const unknown = new RackCluster();
  for (let i = 0; i < 4; i += 1) unknown.submit();
  unknown.round();
  for (const cluster of [leaving, occupied, unknown]) {
    cluster.submit();
    assert.deepEqual(cluster.round(), ['r2']);
  }
});

test('a task without data leaves a rack to the tasks that wait for it if another worker fits', () => {
  // Guards against tasks that wait for their rack while what is released there is taken by others.
  const cluster = new RackCluster();
  for (let i = 0; i < 2; i += 1)
    cluster.submit({ dataRack: '', requiredLabel: 'r2', lasting: true });
  cluster.fillRack();
  for (let i = 0; i < 6; i += 1) cluster.submit({}, 'q1');
  cluster.round();
  assert.equal(cluster.waitingCount(), 6);
  while (cluster.ongoingCount > 2) cluster.round();
  cluster.submit({ dataRack: '', lasting: true });
  assert.deepEqual(cluster.round().sort(), ['r1', 'r1', 'r1', 'r1', 'r2']);
});
