import assert from 'node:assert/strict';
import type { TestContext } from 'node:test';
import { test } from 'node:test';
import type { JobSpec } from '@redwingcrank/jobs';
import { JobProgress, PLAIN_STEP } from '@redwingcrank/jobs';
import type { RenewRequest, RenewResult, WorkerAddress } from '../task-workers.js';
import { encodeJob } from '../internal/job-record.js';
import { jobKey, progressKey } from '../internal/work-records.js';
import { WORKER_ENTRY } from './fixtures.js';
import { HealthyWorkers } from './healthy-workers.js';
import { StaticLog } from './static-log.js';
import type { VirtualNode } from './virtual-fleet.js';
import { VirtualFleet, VirtualTime } from './virtual-fleet.js';
import { pause } from './wait.js';

/** Users regard a long-running task as lost this long after its last run, in milliseconds. */
const LOST_MS = 9_000;

/** How long each leader lives, in milliseconds: less than it needs to contact all workers. */
const TERM_MS = 800;

const TERMS = 10;

/** Number of workers; a leader asks 16 of them every 20 ms. */
const WORKERS = 800;

/** Time after which a call to a worker that is lost fails, in milliseconds. */
const CALL_TIMEOUT_MS = 500;

/** Number of random seeds that are tried. */
const SEEDS = Number(process.env.SEEDS ?? 2);

/** Processor time of each node, in cores. */
const CORES = 1.35;

/** Less than the time after which a leader lists a worker that no longer answers, in milliseconds. */
const NOT_LISTED_MS = 1_000;

const WORKER_IDS = Array.from({ length: WORKERS }, (_, i) => `w${i}`);

const [LOST] = WORKER_IDS;

/** A job with a long-running task on each worker. */
const JOB: JobSpec = {
  id: '00000000000000aa',
  queue: 'q',
  payload: 'p',
  steps: [{ ...PLAIN_STEP, taskCount: WORKERS, lasting: true }],
  acceptedMs: 0,
};

/** Returns the progress of the job with each of its tasks on its worker. */
function runningProgress(): JobProgress {
  const progress = new JobProgress(JOB);
  progress.openDue(Date.now());
  progress.markRunning();
  const [first] = progress.occurrences.values();
  for (const [i, worker] of WORKER_IDS.entries())
    Object.assign(first!.steps[0]![i]!, { phase: 'bound', run: 1, worker });
  return progress;
}

/** Workers that each run one task; one of them can be lost. */
class RunningWorkers extends HealthyWorkers {
  isOneLost = false;

  constructor() {
    super();
    for (const [i, id] of WORKER_IDS.entries()) {
      const task = `${JOB.id}.0.0.${i}`;
      this.running.set(id, [{ task, run: 1, checkpoint: '', percent: 100, measure: 0 }]);
    }
  }

  override async renew(worker: WorkerAddress, req: RenewRequest): Promise<RenewResult> {
    if (worker.id === LOST && this.isOneLost) {
      await pause(CALL_TIMEOUT_MS);
      return { outcome: 'unknown', reason: 'timeout' };
    }
    return super.renew(worker, req);
  }
}

/** A fleet whose leaders end one after the other. */
class ShortTerms {
  readonly fleet: VirtualFleet;

  readonly #workers = new RunningWorkers();

  constructor(time: VirtualTime) {
    this.fleet = new VirtualFleet(time, true, {
      workers: this.#workers,
      jobLog: new StaticLog([{ key: jobKey(JOB.id), value: encodeJob(JOB) }]),
      workerLog: new StaticLog(WORKER_IDS.map((id) => ({ key: id, value: 'x' }))),
      decodeWorker: ({ key }) => ({ value: { ...WORKER_ENTRY, id: key, address: `${key}:1` } }),
    });
    this.fleet.store.put(progressKey(JOB.id), runningProgress().encode());
  }

  /**
   * Loses a worker `aliveMs` before the first leader ends, and ends each further leader after a short
   * term;
   * `inTerm` is called in the middle of each term. Returns the time from the loss until a leader
   * takes the leases of the worker to have expired; the last leader stays.
   */
  async expiryMs(
    end: (leader: VirtualNode) => void,
    inTerm: () => void,
    aliveMs: number,
  ): Promise<number> {
    const { fleet } = this;
    const { time } = fleet;
    assert.ok(await time.advanceUntil(() => fleet.leader !== undefined, 5_000));
    await time.advance(3_000);
    inTerm();
    await time.advance(TERM_MS / 2);
    const lostMs = time.nowMs;
    this.#workers.isOneLost = true;
    await time.advance(aliveMs);
    for (let i = 0; i < TERMS; i += 1) {
      const { leader } = fleet;
      end(leader!);
      const isReplaced = (): boolean => fleet.leader !== undefined && fleet.leader !== leader;
      assert.ok(await time.advanceUntil(isReplaced, 3_000));
      await time.advanceUntil(() => this.#hasExpired, TERM_MS / 2);
      inTerm();
      await time.advanceUntil(() => this.#hasExpired, TERM_MS / 2);
      if (this.#hasExpired) break;
    }
    await time.advanceUntil(() => this.#hasExpired, 20_000);
    return time.nowMs - lostMs;
  }

  get #hasExpired(): boolean {
    return this.fleet.nodes.some(({ events }) =>
      events.some(({ event, fields }) => event === 'leases-over' && fields.worker === LOST),
    );
  }
}

/** Returns the longest time to expiry of all seeds; `prepare` adds nodes and returns `inTerm`. */
async function longestExpiryMs(
  context: TestContext,
  end: (leader: VirtualNode) => void,
  prepare: (fleet: VirtualFleet) => () => void,
  aliveMs = 0,
): Promise<number> {
  const time = new VirtualTime(context);
  const tookMs: number[] = [];
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    time.seed(seed);
    const terms = new ShortTerms(time);
    tookMs.push(await terms.expiryMs(end, prepare(terms.fleet), aliveMs));
    await terms.fleet.stop();
  }
  context.diagnostic(`after ms: ${tookMs.join(', ')}`);
  return Math.max(...tookMs);
}

/** Adds all nodes before the first term. */
function startTogether(fleet: VirtualFleet): () => void {
  for (let i = 0; i <= TERMS + 1; i += 1) fleet.add(`n${i}`, CORES);
  return () => {};
}

/** Adds one node in each term, which is the only one left when the term ends. */
function startInTerm(fleet: VirtualFleet): () => void {
  fleet.add('n0', CORES);
  return () => fleet.add(`n${fleet.nodes.length}`, CORES);
}

const resign = (leader: VirtualNode): void => {
  leader.stop().catch(assert.fail);
};

const losePower = (leader: VirtualNode): void => leader.losePower();

// Guards against a wait for former leases that starts over with each leader that resigns.
test('the leases of a lost worker expire in time while leaders resign after short terms', async (t) => {
  const tookMs = await longestExpiryMs(t, resign, startTogether);
  assert.ok(tookMs <= LOST_MS, `${tookMs} ms`);
});

// Guards against bounds that are lost where each leader has read only the newest record.
test('the leases of a lost worker expire in time where each of these leaders has just started', async (t) => {
  const tookMs = await longestExpiryMs(t, resign, startInTerm);
  assert.ok(tookMs <= LOST_MS, `${tookMs} ms`);
});

// Guards against a wait that starts over with each leader that dies.
test('the leases of a lost worker expire in time while leaders lose power after short terms', async (t) => {
  const tookMs = await longestExpiryMs(t, losePower, startTogether);
  assert.ok(tookMs <= LOST_MS, `${tookMs} ms`);
});

// Guards against bounds that are lost with leaders that die after a short term.
test('the leases of a lost worker expire in time where each leader has just started and loses power', async (t) => {
  const tookMs = await longestExpiryMs(t, losePower, startInTerm);
  assert.ok(tookMs <= LOST_MS, `${tookMs} ms`);
});

test('the leases of a worker expire in time that is lost shortly before its leader resigns', async (t) => {
  // Guards against successors that assume a renewal until the resignation as long as with a leader that
  // may still renew leases while the store is silent.
  const tookMs = await longestExpiryMs(t, resign, startInTerm, NOT_LISTED_MS);
  assert.ok(tookMs <= LOST_MS, `${tookMs} ms`);
});
