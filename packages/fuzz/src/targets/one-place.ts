import fc from 'fast-check';
import type { ListedHost, Manifest, Resources } from '@redwingcrank/protocol';
import { readManifest } from '@redwingcrank/protocol';
import type { Coverage } from '../coverage.js';
import { FuzzTarget } from '../fuzz-target.js';
import { ModelLog } from '../one-place/model-log.js';
import { ModelNode } from '../one-place/model-node.js';
import { ModelWorker } from '../one-place/model-worker.js';
import { Network } from '../one-place/network.js';
import { Oracle } from '../one-place/oracle.js';
import { VirtualTime } from '../one-place/virtual-time.js';

const FAULTS = [
  'none',
  'pause',
  'crash',
  'cut-nodes',
  'cut-worker',
  'worker-alone',
  'late-then-alone',
  'split',
  'mistaken-bind',
  'cut-log',
  'log-down',
  'append-lost',
  'append-late',
  'late',
  'twice',
  'worker-dies',
  'worker-adopts',
  'worker-orphans',
  'shrink',
  'grow',
  'usurp',
] as const;

const NODE_COUNT = 3;
const WORKER_COUNT = 3;
const JOB_MS = 9000;
const RECOVERY_LIMIT_MS = 120_000;
const RECOVERY_STEP_MS = 3000;
const IN_FLIGHT_MS = 300;

/** The maximum deviation of a clock's rate from true time, in thousandths. */
const CLOCK_SPREAD = 10;

const step = fc.record({
  fault: fc.constantFrom(...FAULTS),
  a: fc.nat(NODE_COUNT - 1),
  b: fc.nat(WORKER_COUNT - 1),
  faultMs: fc.integer({ min: 100, max: 6000 }),
  passMs: fc.integer({ min: 10, max: 1200 }),
});

type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

const script = fc.record({
  seed: fc.integer(),
  rates: fc.array(fc.integer({ min: -CLOCK_SPREAD, max: CLOCK_SPREAD }), {
    minLength: NODE_COUNT + WORKER_COUNT,
    maxLength: NODE_COUNT + WORKER_COUNT,
  }),
  steps: fc.array(step, { minLength: 1, maxLength: 100, size: 'max' }),
});

type Script = typeof script extends fc.Arbitrary<infer T> ? T : never;

const LARGE: Resources = { cpu: 4, memoryMb: 4000, accelerators: 0 };
const SMALL: Resources = { cpu: 2, memoryMb: 2000, accelerators: 0 };

const JOB_TASKS = ['dc1/j/0', 'dc1/j/1', 'dc1/j/2', 'dc1/j/3', 'dc1/k/0'];

const MANIFEST = makeManifest();

/**
 * Fuzzes the nodes, the workers and the log of one data centre, all of which may fail. Each task is
 * executed in only one place, an ended attempt does not run again, and each attempt resumes from
 * the checkpoint of the previous one.
 */
export class OnePlace extends FuzzTarget {
  readonly name = 'one-place';

  override readonly checkRuns = 80;

  readonly coveragePoints = [
    'node-paused',
    'pause-before-send',
    'node-crashed',
    'message-lost',
    'message-late',
    'message-twice',
    'log-down',
    'append-answer-lost',
    'append-late',
    'late-append-voided',
    'two-holders',
    'member-left',
    'worker-restarted',
    'worker-reached-by-one-node',
    'mistaken-bind',
    'worker-adopted',
    'worker-orphaned',
    'host-shrunk-below-committed',
    'lease-lapsed',
    'lease-proof',
    'worker-proof',
    'resumed',
  ];

  property(coverage: Coverage): fc.IRawProperty<unknown> {
    return fc.property(script, (drawn) => new World(drawn, coverage).run());
  }
}

class World {
  readonly #script: Script;

  readonly #coverage: Coverage;

  readonly #time = new VirtualTime();

  readonly #network: Network;

  readonly #log: ModelLog;

  readonly #workers: ModelWorker[];

  readonly #nodes: ModelNode[] = [];

  readonly #oracle: Oracle;

  readonly #capacity = new Map<string, Resources>();

  constructor(drawn: Script, coverage: Coverage) {
    this.#script = drawn;
    this.#coverage = coverage;
    this.#network = new Network(this.#time, coverage, drawn.seed);
    this.#workers = Array.from({ length: WORKER_COUNT }, (_, i) => this.#makeWorker(i));
    this.#oracle = new Oracle(this.#workers, coverage);
    this.#log = new ModelLog(
      { time: this.#time, network: this.#network, coverage },
      (offset, value) => this.#oracle.checkAppend(offset, value),
    );
    for (let i = 0; i < NODE_COUNT; i += 1) this.#nodes.push(this.#makeNode(i));
  }

  run(): void {
    this.#time.advance(3000);
    for (const drawn of this.#script.steps) {
      this.#coverage.step();
      this.#injectFault(drawn);
      this.#time.advance(drawn.passMs);
    }
    this.#network.heal();
    this.#log.heal();
    this.#workers.forEach(({ hostId }) => this.#capacity.set(hostId, LARGE));
    this.#checkRecovery();
  }

  /** Checks liveness beside safety: after the faults are over, all jobs must complete. */
  #checkRecovery(): void {
    const end = this.#time.now + RECOVERY_LIMIT_MS;
    while (this.#openJobs().length > 0) {
      if (this.#time.now > end)
        throw new Error(
          `tasks not completed after the faults: ${JSON.stringify(this.#openJobs())}`,
        );
      this.#time.advance(RECOVERY_STEP_MS);
    }
  }

  #openJobs(): unknown[] {
    const { tasks } = this.#oracle.fold;
    return JOB_TASKS.map((taskId) => tasks.get(taskId) ?? taskId).filter(
      (task) => typeof task === 'string' || task.outcome !== 'completed',
    );
  }

  #injectFault({ fault, a, b, faultMs }: Step): void {
    const node = this.#nodes[a] as ModelNode;
    const worker = this.#workers[b] as ModelWorker;
    const other = this.#nodes[(a + 1) % NODE_COUNT] as ModelNode;
    switch (fault) {
      case 'pause':
        node.pause(faultMs);
        break;
      case 'crash':
        node.crash();
        break;
      case 'cut-nodes':
        this.#network.cut(node.nodeId, other.nodeId, faultMs);
        break;
      case 'cut-worker':
        this.#network.cut(node.nodeId, worker.hostId, faultMs);
        break;
      case 'worker-alone':
        this.#isolate(worker, faultMs);
        break;
      case 'late-then-alone':
        // Messages in flight when the worker is cut off still arrive, long after they were sent.
        this.#network.delayMessages(IN_FLIGHT_MS);
        this.#time.after(IN_FLIGHT_MS, () => this.#isolate(worker, faultMs));
        break;
      case 'split':
        this.#split(node, worker, faultMs);
        break;
      case 'mistaken-bind':
        this.#bindMistakenly(worker);
        break;
      case 'cut-log':
        this.#network.cut(node.nodeId, 'log', faultMs);
        break;
      case 'log-down':
        this.#log.goDown(faultMs);
        break;
      case 'append-lost':
        this.#log.loseAnswer();
        break;
      case 'append-late':
        this.#log.delayAppend();
        break;
      case 'late':
        this.#network.delayMessages(faultMs);
        break;
      case 'twice':
        this.#network.duplicateMessages(faultMs);
        break;
      case 'usurp':
        node.claimTerm();
        break;
      case 'shrink':
      case 'grow':
        this.#capacity.set(worker.hostId, fault === 'grow' ? LARGE : SMALL);
        break;
      default:
        this.#restart(fault, worker);
    }
  }

  #isolate({ hostId }: ModelWorker, ms: number): void {
    this.#nodes.forEach(({ nodeId }) => this.#network.cut(nodeId, hostId, ms));
  }

  /** Isolates one node together with one worker from all others. */
  #split(node: ModelNode, worker: ModelWorker, ms: number): void {
    for (const other of this.#nodes.filter((n) => n !== node)) {
      this.#network.cut(node.nodeId, other.nodeId, ms);
      this.#network.cut(worker.hostId, other.nodeId, ms);
    }
    this.#network.cut(node.nodeId, 'log', ms);
    this.#coverage.hit('worker-reached-by-one-node');
  }

  /** Makes the holder of the term bind every task to one host, regardless of the state. */
  #bindMistakenly({ hostId }: ModelWorker): void {
    const { term, holder = '', batchOffset: base, offset, tasks } = this.#oracle.fold;
    const actions = JOB_TASKS.map((taskId) => ({
      type: 'bind',
      taskId,
      attempt: (tasks.get(taskId)?.attempt ?? 0) + 1,
      kind: 'job',
      owner: taskId.split('/')[1],
      hostId,
      resources: { cpu: 2, memoryMb: 200, accelerators: 0 },
    }));
    const record = { type: 'batch', id: `mistake-${offset}`, term, holder, base, actions };
    this.#log.append('n0', record, () => {});
    this.#coverage.hit('mistaken-bind');
  }

  #restart(fault: Step['fault'], worker: ModelWorker): void {
    if (fault === 'worker-dies' && worker.restart('die')) this.#coverage.hit('worker-restarted');
    if (fault === 'worker-adopts' && worker.restart('adopted')) {
      this.#coverage.hit('worker-adopted');
    }
    if (fault === 'worker-orphans' && worker.restart('orphaned')) {
      this.#coverage.hit('worker-orphaned');
    }
  }

  #makeWorker(i: number): ModelWorker {
    const hostId = `w${i}`;
    this.#capacity.set(hostId, LARGE);
    return new ModelWorker({
      hostId,
      time: this.#time,
      rate: this.#rate(NODE_COUNT + i),
      jobMs: JOB_MS,
      events: {
        onStart: (worker, message) => this.#oracle.checkStart(worker, message),
        onLeaseExpired: () => this.#coverage.hit('lease-lapsed'),
      },
    });
  }

  #makeNode(i: number): ModelNode {
    return new ModelNode(`n${i}`, this.#rate(i), {
      time: this.#time,
      network: this.#network,
      coverage: this.#coverage,
      log: this.#log,
      workers: this.#workers,
      nodes: this.#nodes,
      manifest: MANIFEST,
      listed: () => this.#listed(),
    });
  }

  #rate(i: number): number {
    return 1 + (this.#script.rates[i] ?? 0) / 1000;
  }

  #listed(): ListedHost[] {
    return this.#workers.map(({ hostId }) => ({
      hostId,
      dataCentre: 'dc1',
      rack: 'r1',
      address: '127.0.0.1:1',
      capacity: this.#capacity.get(hostId) as Resources,
      state: 'live',
    }));
  }
}

function makeManifest(): Manifest {
  const cpu = (n: number): Resources => ({ cpu: n, memoryMb: n * 100, accelerators: 0 });
  const job = { team: 't', dataCentre: 'dc1', maxAttempts: 1000 };
  const reading = readManifest({
    apiVersion: 'redwingcrank/v1',
    version: 1,
    replaces: 0,
    dataCentres: ['dc1'],
    teams: [{ name: 't', quota: cpu(100) }],
    services: [{ name: 's', team: 't', pathPrefix: '/s', replicas: { dc1: 2 }, resources: cpu(1) }],
    jobs: [
      { ...job, name: 'j', tasks: 4, resources: cpu(2) },
      { ...job, name: 'k', tasks: 1, resources: cpu(1), onOutage: 'keep' },
    ],
  });
  if (!reading.ok) throw new Error(JSON.stringify(reading.faults));
  return reading.manifest;
}
