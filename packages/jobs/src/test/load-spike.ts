import type { JobSpec, QueuePolicy } from '../job.js';
import { ReturnSchedule } from '../return-schedule.js';
import type { StartDelays } from '../start-delay.js';
import { jobDelayOf } from '../start-delay.js';
import { SimulatedCluster, STEP_MS, pseudoRandom } from './simulated-cluster.js';
import { QUEUE, jobSpec, stepSpec, workerEntry } from './scheduler-harness.js';

const WORKERS = ['w1', 'w2', 'w3', 'w4', 'w5', 'w6', 'w7', 'w8'];

/** Each worker runs eight tasks of about a second at once, and a job has eight such tasks. */
const JOBS_PER_S = WORKERS.length;

const STEP = stepSpec({ taskCount: 8 });

/** A queue with the objective of an urgent one: 1.75 s for a job of one second. */
export const SPIKE_QUEUE: QueuePolicy = { ...QUEUE, stretch: 1.5, targetLatencyMs: 250 };

/** The usual load, as a part of the capacity, and how many times as much a spike brings. */
const [USUAL_LOAD, SPIKE_FACTOR] = [0.8, 2.5];

/** When the spike begins and ends, and when the last jobs arrive, in seconds. */
const [SPIKE_S, SPIKE_END_S, LAST_S] = [8, 14, 30];

/** How often a node reads a record of the leader, in milliseconds. */
const RECORD_INTERVAL_MS = 300;

/** A caller gives up when its job is refused after this many retries. */
const MAX_RETRIES = 4;

/** A submission that is due at `atMs`. */
interface Call {
  readonly spec: JobSpec;
  readonly atMs: number;
  readonly retries: number;
}

/** What became of the jobs: ended by how well they met their objective, or refused for good. */
export interface SpikeResult {
  met: number;
  late: number;
  missed: number;
  refused: number;
  refusals: number;
}

/**
 * Simulates callers who for 6 s submit twice as much as the workers can run, and who return with a
 * refused job at the time that they are told, to the node that refused it.
 */
export function simulateSpike(seed: number, mayRefuse: boolean): SpikeResult {
  const cluster = new SimulatedCluster(
    seed,
    WORKERS.map((id) => workerEntry(id)),
  );
  const { harness } = cluster;
  harness.scheduler.setQueues([SPIKE_QUEUE]);
  const random = pseudoRandom(seed + 100);
  const schedule = new ReturnSchedule();
  const result = { met: 0, late: 0, missed: 0, refused: 0, refusals: 0 };
  let delays: StartDelays = { startDelayMs: {}, workRates: {} };
  let calls: Call[] = [];
  const submit = ({ spec, retries }: Call): void => {
    const delay = mayRefuse ? jobDelayOf(spec, SPIKE_QUEUE, delays) : undefined;
    const { returnInMs } = schedule.decide(spec.id, delay, 1, harness.nowMs);
    if (returnInMs === undefined) harness.submit({ ...spec, acceptedMs: harness.nowMs });
    else {
      result.refusals += 1;
      const atMs = harness.nowMs + 1_000 * Math.ceil(returnInMs / 1_000);
      if (retries === MAX_RETRIES) result.refused += 1;
      else calls.push({ spec, atMs, retries: retries + 1 });
    }
  };
  for (let ms = 0; ms < LAST_S * 1_000 || harness.scheduler.jobs.size > 0; ms += STEP_MS) {
    const isSpike = ms >= SPIKE_S * 1_000 && ms < SPIKE_END_S * 1_000;
    const load = USUAL_LOAD * (isSpike ? SPIKE_FACTOR : 1);
    const isOpen = ms < LAST_S * 1_000;
    for (let i = 0, n = (load * JOBS_PER_S * STEP_MS) / 1_000; isOpen && n - i > random(); i += 1)
      calls.push({ spec: jobSpec([STEP], { id: `${ms}-${i}` }), atMs: 0, retries: 0 });
    const due = calls.filter(({ atMs }) => atMs <= harness.nowMs);
    calls = calls.filter(({ atMs }) => atMs > harness.nowMs);
    due.forEach(submit);
    cluster.step();
    if (ms % RECORD_INTERVAL_MS === 0) delays = harness.scheduler.startDelays(harness.nowMs);
  }
  for (const { objective } of harness.fieldsOf('job-ended'))
    result[objective as 'met' | 'late' | 'missed'] += 1;
  return result;
}
