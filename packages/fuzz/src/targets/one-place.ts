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

const NODES = 3;
const WORKERS = 3;
const JOB_MS = 9000;
const HEAL_MS = 120_000;
const HEAL_STEP_MS = 3000;
const UNDER_WAY_MS = 300;

/** Clocks differ in rate by up to this many thousandths. */
const CLOCK_SPREAD = 10;

const step = fc.record({
  fault: fc.constantFrom(...FAULTS),
  a: fc.nat(NODES - 1),
  b: fc.nat(WORKERS - 1),
  faultMs: fc.integer({ min: 100, max: 6000 }),
  passMs: fc.integer({ min: 10, max: 1200 }),
});

type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

const script = fc.record({
  seed: fc.integer(),
  rates: fc.array(fc.integer({ min: -CLOCK_SPREAD, max: CLOCK_SPREAD }), {
    minLength: NODES + WORKERS,
    maxLength: NODES + WORKERS,
  }),
  steps: fc.array(step, { minLength: 1, maxLength: 100, size: 'max' }),
});

type Script = typeof script extends fc.Arbitrary<infer T> ? T : never;

const LARGE: Resources = { cpu: 4, memoryMb: 4000, accelerators: 0 };
const SMALL: Resources = { cpu: 2, memoryMb: 2000, accelerators: 0 };

const JOB_TASKS = ['dc1/j/0', 'dc1/j/1', 'dc1/j/2', 'dc1/j/3', 'dc1/k/0'];

const MANIFEST = makeManifest();

/**
 * Nodes of one data centre with workers and a log, all of them failing: each task is executed
 * in one place, what has ended is over, and a checkpoint is resumed once.
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
    this.#workers = Array.from({ length: WORKERS }, (_, i) => this.#makeWorker(i));
    this.#oracle = new Oracle(this.#workers, coverage);
    this.#log = new ModelLog(
      { time: this.#time, network: this.#network, coverage },
      (offset, value) => this.#oracle.appended(offset, value),
    );
    for (let i = 0; i < NODES; i += 1) this.#nodes.push(this.#makeNode(i));
  }

  run(): void {
    this.#time.pass(3000);
    for (const drawn of this.#script.steps) {
      this.#coverage.step();
      this.#setOff(drawn);
      this.#time.pass(drawn.passMs);
    }
    this.#network.heal();
    this.#log.heal();
    this.#workers.forEach(({ hostId }) => this.#capacity.set(hostId, LARGE));
    this.#finish();
  }

  /** Safe is not enough: once the faults are over, all work comes to its end. */
  #finish(): void {
    const end = this.#time.now + HEAL_MS;
    while (this.#openJobs().length > 0) {
      if (this.#time.now > end) throw new Error(`open: ${JSON.stringify(this.#openJobs())}`);
      this.#time.pass(HEAL_STEP_MS);
    }
  }

  #openJobs(): unknown[] {
    const { tasks } = this.#oracle.fold;
    return JOB_TASKS.map((taskId) => tasks.get(taskId) ?? taskId).filter(
      (task) => typeof task === 'string' || task.outcome !== 'completed',
    );
  }

  #setOff({ fault, a, b, faultMs }: Step): void {
    const node = this.#nodes[a] as ModelNode;
    const worker = this.#workers[b] as ModelWorker;
    const other = this.#nodes[(a + 1) % NODES] as ModelNode;
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
        // What is under way when the worker is cut off still arrives, long after its sending.
        this.#network.makeLate(UNDER_WAY_MS);
        this.#time.after(UNDER_WAY_MS, () => this.#isolate(worker, faultMs));
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
        this.#network.makeLate(faultMs);
        break;
      case 'twice':
        this.#network.makeTwice(faultMs);
        break;
      case 'usurp':
        node.usurp();
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

  /** One node and one worker are alone with each other. */
  #split(node: ModelNode, worker: ModelWorker, ms: number): void {
    for (const other of this.#nodes.filter((n) => n !== node)) {
      this.#network.cut(node.nodeId, other.nodeId, ms);
      this.#network.cut(worker.hostId, other.nodeId, ms);
    }
    this.#network.cut(node.nodeId, 'log', ms);
    this.#coverage.hit('worker-reached-by-one-node');
  }

  /** A scheduler that holds the term binds every task to one host, whatever the state is. */
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
      rate: this.#rate(NODES + i),
      jobMs: JOB_MS,
      events: {
        starts: (worker, message) => this.#oracle.starts(worker, message),
        lapsed: () => this.#coverage.hit('lease-lapsed'),
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
