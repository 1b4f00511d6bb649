import type { ControlAction, Job, ListedHost, Manifest, Service } from '@redwingcrank/protocol';
import { ControlFold, seededRandom, taskIdOf } from '@redwingcrank/decisions';

/** How large a data centre is. */
export interface ScaleSize {
  readonly workers: number;
  readonly replicas: number;
  readonly running: number;
  readonly waiting: number;
  readonly teams: number;
}

export const DATA_CENTRE = 'dc1';

const HOSTS_PER_RACK = 8;
const REPLICAS_PER_SERVICE = 10;
const TASKS_PER_JOB = 20;
const CAPACITY = { cpu: 32, memoryMb: 125_000, accelerators: 0 };
/** Together these fill 520 workers to the last core at the letter's numbers of tasks. */
const REPLICA = { cpu: 2, memoryMb: 4_000, accelerators: 0 };
const TASK = { cpu: 1.38, memoryMb: 3_000, accelerators: 0 };
const ACTIONS_PER_RECORD = 5_000;

/** A data centre at a given size, with the control stream that led to it folded. */
export class ScaleWorld {
  readonly fold = new ControlFold();

  manifest: Manifest;

  readonly listed: readonly ListedHost[];

  #offset = -1;

  readonly #size: ScaleSize;

  readonly #random;

  constructor(size: ScaleSize, seed: number) {
    this.#size = size;
    this.#random = seededRandom(seed);
    this.listed = Array.from({ length: size.workers }, (_, i) => listedHost(i));
    this.manifest = manifestOf(size);
    this.#append({ type: 'claim', term: 1 });
    this.apply(this.listed.map(({ dataCentre: _dc, ...host }) => ({ type: 'host', ...host })));
    this.apply([...this.#bindings()]);
  }

  /** Folds actions as the holder's records. */
  apply(actions: readonly ControlAction[]): void {
    for (let i = 0; i < actions.length; i += ACTIONS_PER_RECORD) {
      const part = actions.slice(i, i + ACTIONS_PER_RECORD);
      const result = this.#append({ type: 'batch', term: 1, actions: part });
      const [first] = result.voided;
      if (first !== undefined) throw new Error(`voided: ${first}`);
    }
  }

  /** Lets some running batch tasks complete. */
  complete(count: number): void {
    const running = [...this.fold.tasks.values()].filter(
      (task) => task.kind === 'job' && task.state !== 'ended',
    );
    const chosen = new Set<(typeof running)[number]>();
    while (chosen.size < Math.min(count, running.length)) {
      const task = running[this.#random.int(0, running.length - 1)];
      if (task) chosen.add(task);
    }
    this.apply(
      [...chosen].map(({ taskId, attempt }) => ({
        type: 'ended',
        taskId,
        attempt,
        outcome: 'completed',
        proof: 'worker',
      })),
    );
  }

  /** Confirms that every revoked attempt has ended. */
  endRevoked(): void {
    const revoked = [...this.fold.tasks.values()].filter((task) => task.state === 'revoked');
    this.apply(
      revoked.map(({ taskId, attempt }) => ({
        type: 'ended',
        taskId,
        attempt,
        outcome: 'stopped',
        proof: 'worker',
      })),
    );
  }

  #append(body: object): ReturnType<ControlFold['apply']> {
    this.#offset += 1;
    return this.fold.apply(this.#offset, { ...body, id: `r${this.#offset}`, holder: 'n1' });
  }

  *#bindings(): Generator<ControlAction> {
    const { workers, replicas, running } = this.#size;
    let next = 0;
    const bind = (
      kind: 'service' | 'job',
      name: string,
      index: number,
      resources: Service['resources'],
    ): ControlAction => {
      const hostId = `w${next % workers}`;
      next += 1;
      const taskId = taskIdOf(DATA_CENTRE, name, index);
      return { type: 'bind', taskId, attempt: 1, kind, owner: name, hostId, resources };
    };
    for (let i = 0; i < replicas; i += 1) {
      const name = `s${Math.floor(i / REPLICAS_PER_SERVICE)}`;
      yield bind('service', name, i % REPLICAS_PER_SERVICE, REPLICA);
    }
    for (let i = 0; i < running; i += 1) {
      yield bind('job', `j${Math.floor(i / TASKS_PER_JOB)}`, i % TASKS_PER_JOB, TASK);
    }
  }
}

function listedHost(i: number): ListedHost {
  return {
    hostId: `w${i}`,
    dataCentre: DATA_CENTRE,
    rack: `r${Math.floor(i / HOSTS_PER_RACK)}`,
    address: `127.0.0.1:${1000 + i}`,
    capacity: CAPACITY,
    state: 'live',
  };
}

function manifestOf({ workers, replicas, running, waiting, teams }: ScaleSize): Manifest {
  const jobs = Math.ceil((running + waiting) / TASKS_PER_JOB);
  return {
    apiVersion: 'redwingcrank/v1',
    version: 1,
    replaces: 0,
    dataCentres: [DATA_CENTRE],
    teams: Array.from({ length: teams }, (_, i) => ({
      name: `t${i}`,
      quota: {
        cpu: (CAPACITY.cpu * workers * 2) / teams,
        memoryMb: (CAPACITY.memoryMb * workers * 2) / teams,
        accelerators: 0,
      },
      weight: 1 + (i % 3),
    })),
    services: Array.from({ length: Math.ceil(replicas / REPLICAS_PER_SERVICE) }, (_, i) =>
      serviceOf(i, teams),
    ),
    jobs: Array.from({ length: jobs }, (_, i) => jobOf(`j${i}`, i % teams)),
  };
}

function serviceOf(i: number, teams: number): Service {
  return {
    name: `s${i}`,
    team: `t${i % teams}`,
    tier: 'high',
    pathPrefix: `/s${i}`,
    replicas: { [DATA_CENTRE]: REPLICAS_PER_SERVICE },
    resources: REPLICA,
    slots: 8,
    connections: 64,
    defaultDeadlineMs: 5_000,
    latencyTargetMs: 100,
    requestRules: [],
    onOutage: 'keep',
  };
}

/** A job of the size that most have. */
export function jobOf(name: string, team: number): Job {
  return {
    name,
    team: `t${team}`,
    tier: 'normal',
    dataCentre: DATA_CENTRE,
    tasks: TASKS_PER_JOB,
    resources: TASK,
    urgent: false,
    expectedRunMs: 60_000,
    maxAttempts: 20,
    racks: [],
    onOutage: 'checkpoint',
  };
}
