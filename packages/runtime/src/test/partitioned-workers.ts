import assert from 'node:assert/strict';
import type { JobSpec, Order, WorkerEntry } from '@redwingcrank/jobs';
import { JobProgress, PLAIN_STEP, taskName } from '@redwingcrank/jobs';
import { steadyMs } from '../internal/delay.js';
import { encodeJob } from '../internal/job-record.js';
import { jobKey, progressKey } from '../internal/work-records.js';
import type { PlatformPort } from '../platform-port.js';
import type { OrderResult, RenewRequest, RenewResult, WorkerAddress } from '../task-workers.js';
import { TaskWorkers } from '../task-workers.js';
import { CONFIG } from './config-fixtures.js';
import { WORKER_ENTRY, nodeSettings } from './fixtures.js';
import { StaticLog } from './static-log.js';
import type { VirtualTime } from './virtual-fleet.js';
import { VirtualFleet, VirtualNode } from './virtual-fleet.js';
import { VirtualNetwork, VirtualPeers } from './virtual-peers.js';
import { pause } from './wait.js';

/** The number of workers in the data centre that is partitioned, as on the deployments. */
export const REMOTE_WORKERS = 62;

/** How fast the workers' clocks run: as slow as the platform permits. */
const CLOCK_RATE = 0.98;

/** The workers' clocks at the beginning, in milliseconds: as many digits as after some days. */
const FIRST_CLOCK_MS = 1e9;

/** The longest lease that a worker grants, in milliseconds. */
const MAX_LEASE_MS = 6_000;

/** Time after which a call across the partition fails, in milliseconds. */
const CALL_TIMEOUT_MS = 900;

const REMOTE_IDS = Array.from({ length: REMOTE_WORKERS }, (_, i) => `b${i}`);

const JOB: JobSpec = {
  id: '00000000000000aa',
  queue: 'q',
  payload: 'p',
  steps: [{ ...PLAIN_STEP, taskCount: REMOTE_WORKERS, cpuMilli: 1, memMb: 1, lasting: true }],
  acceptedMs: 0,
};

/** A worker with its runs by task; they end when its lease has expired on its own clock. */
class LeasedWorker {
  #token = 0;

  #leaseEndMs = this.clockMs + MAX_LEASE_MS;

  readonly #runs = new Map<string, number>();

  /** Whether the lease expired while tasks were running. */
  hasLapsed = false;

  isDead = false;

  get clockMs(): number {
    return FIRST_CLOCK_MS + steadyMs() * CLOCK_RATE;
  }

  get runs(): ReadonlyMap<string, number> {
    if (this.#runs.size > 0 && this.clockMs > this.#leaseEndMs) {
      this.hasLapsed = true;
      this.#runs.clear();
    }
    return this.#runs;
  }

  start(task: string, run: number): void {
    this.#runs.set(task, run);
  }

  /** Extends the lease unless a higher token was seen; returns whether it was not. */
  renew(token: number, deadlineMs = 0): boolean {
    if (token < this.#token) return false;
    this.#token = token;
    if (this.runs.size === 0) this.#leaseEndMs = 0;
    const newEndMs = Math.min(deadlineMs, this.clockMs + MAX_LEASE_MS);
    this.#leaseEndMs = Math.max(this.#leaseEndMs, newEndMs);
    return true;
  }
}

/** The workers as the nodes of one data centre reach them. */
class ReachableWorkers extends TaskWorkers {
  readonly #site: PartitionedSite;

  readonly #dataCentre: string;

  constructor(site: PartitionedSite, dataCentre: string) {
    super();
    this.#site = site;
    this.#dataCentre = dataCentre;
  }

  override async renew(address: WorkerAddress, req: RenewRequest): Promise<RenewResult> {
    const unknown: RenewResult = { outcome: 'unknown', reason: 'timeout' };
    const worker = this.#site.workers.get(address.id)!;
    const isCut = (): boolean => worker.isDead || this.#site.isCut(this.#dataCentre, address.id);
    if (isCut()) {
      await pause(CALL_TIMEOUT_MS);
      return unknown;
    }
    if (!worker.renew(req.token, req.deadlineMs)) return { outcome: 'fenced', reason: 'token' };
    await pause(req.waitMs + 1);
    if (isCut()) {
      await pause(CALL_TIMEOUT_MS);
      return unknown;
    }
    const running = [...worker.runs].map(([task, run]) => ({
      ...{ task, run, checkpoint: '', percent: 100, measure: 0 },
    }));
    return { outcome: 'done', report: { clockMs: worker.clockMs, running, ended: [] } };
  }

  override async order(
    { id }: WorkerAddress,
    order: Order,
    token: number,
    deadlineMs: number,
  ): Promise<OrderResult> {
    await pause(1);
    const worker = this.#site.workers.get(id)!;
    if (this.#site.isCut(this.#dataCentre, id)) return { outcome: 'unknown', reason: 'timeout' };
    if (!worker.renew(token, deadlineMs)) return { outcome: 'fenced', reason: 'token' };
    if (order.kind === 'start') this.#site.start(worker, taskName(order.task), order.run);
    return { outcome: 'done', reason: '', clockMs: worker.clockMs };
  }

  override disconnect(): void {}
}

/**
 * Nodes and workers in the data centres `a` and `b`, of which `b` can be partitioned. Each worker of
 * `b` runs a task; those of `a` have capacity for all of them.
 */
export class PartitionedSite {
  readonly time: VirtualTime;

  readonly fleet: VirtualFleet;

  readonly network: VirtualNetwork;

  readonly workers = new Map([...REMOTE_IDS, 'a0'].map((id) => [id, new LeasedWorker()]));

  /** When the first task was started a second time; Infinity before that. */
  firstRestartMs = Infinity;

  /** When the last task was started again. */
  lastRestartMs = -Infinity;

  /** The tasks that were started while they were running. */
  readonly runTwice: string[] = [];

  #isPartitioned = false;

  constructor(time: VirtualTime) {
    this.time = time;
    this.fleet = new VirtualFleet(time);
    this.network = new VirtualNetwork(time);
    const progress = new JobProgress(JOB);
    progress.openDue(Date.now());
    progress.markRunning();
    const [first] = progress.occurrences.values();
    for (const [i, worker] of REMOTE_IDS.entries()) {
      Object.assign(first!.steps[0]![i]!, { phase: 'bound', run: 1, worker });
      this.workers.get(worker)!.start(`${JOB.id}.0.0.${i}`, 1);
    }
    this.fleet.store.put(progressKey(JOB.id), progress.encode());
  }

  /** Starts a node; its name begins with its data centre. */
  add(name: string, cores: number, toleratedDataCentres = 1): VirtualNode {
    const dataCentre = name.charAt(0);
    const peers = new VirtualPeers(this.network, name, cores, dataCentre);
    const settings = { ...nodeSettings(name), dataCentre, toleratedDataCentres };
    const node = new VirtualNode(name, cores, this.fleet, peers, this.#parts(dataCentre), settings);
    this.fleet.nodes.push(node);
    node.start();
    return node;
  }

  /** Starts two nodes in `a` and three in `b`, and waits until one of `a` has led for a while. */
  async startAll(toleratedDataCentres = 1): Promise<VirtualNode> {
    this.add('a1', 1.3, toleratedDataCentres);
    this.add('a2', 1.2, toleratedDataCentres);
    await this.time.advance(2_000);
    this.add('b1', 0.5, toleratedDataCentres);
    this.add('b2', 0.4, toleratedDataCentres);
    this.add('b3', 0.3, toleratedDataCentres);
    await this.time.advance(7_000);
    const { leader } = this.fleet;
    assert.ok(leader !== undefined && leader.name.startsWith('a'));
    assert.equal(this.lapsedCount, 0);
    return leader;
  }

  set isPartitioned(isPartitioned: boolean) {
    this.#isPartitioned = isPartitioned;
    this.network.partitioned = isPartitioned ? 'b' : undefined;
    for (const node of this.fleet.nodes)
      if (node.name.startsWith('b')) node.isStoreUnreachable = isPartitioned;
  }

  /** Whether the partition separates the data centre from the worker or node. */
  isCut(dataCentre: string, id: string): boolean {
    return this.#isPartitioned && dataCentre !== id.charAt(0);
  }

  /** The number of workers whose tasks have ended as their leases expired. */
  get lapsedCount(): number {
    return [...this.workers.values()].filter((worker) => worker.runs.size >= 0 && worker.hasLapsed)
      .length;
  }

  /** Starts a task on a worker. */
  start(worker: LeasedWorker, task: string, run: number): void {
    const others = [...this.workers.values()].filter(
      ({ isDead, runs }) => !isDead && runs.has(task),
    );
    if (others.length > 0) this.runTwice.push(task);
    this.lastRestartMs = this.time.nowMs;
    this.firstRestartMs = Math.min(this.firstRestartMs, this.time.nowMs);
    worker.start(task, run);
  }

  #parts(dataCentre: string): Partial<PlatformPort> {
    return {
      workers: new ReachableWorkers(this, dataCentre),
      jobLog: new StaticLog([{ key: jobKey(JOB.id), value: encodeJob(JOB) }]),
      operatorLog: new StaticLog([{ key: 'config', value: 'x' }]),
      decodeConfig: () => ({ value: CONFIG }),
      workerLog: new StaticLog([...this.workers.keys()].map((key) => ({ key, value: 'x' }))),
      decodeWorker: ({ key }) => ({ value: entryOf(key) }),
    };
  }
}

function entryOf(id: string): WorkerEntry {
  const capacity =
    id === 'a0' ? { cpuMilli: 1e9, memMb: 1e9, gpus: 0 } : { cpuMilli: 1, memMb: 1, gpus: 0 };
  return { ...WORKER_ENTRY, id, address: `${id}:1`, dataCentre: id.charAt(0), capacity };
}
