import type { ControlAction, Job, ListedHost, Manifest, Service } from '@redwingcrank/protocol';
import type { PlanInput, PlanStep, Unplaced } from '../index.js';
import { BestFit, ControlFold, planPass } from '../index.js';

const DATA_CENTRE = 'dc1';

export function hosts(count: number, perRack: number, cpu = 32): ListedHost[] {
  return Array.from({ length: count }, (_, i) => ({
    hostId: `w${i}`,
    dataCentre: DATA_CENTRE,
    rack: `r${Math.floor(i / perRack)}`,
    address: `127.0.0.1:${1000 + i}`,
    capacity: { cpu, memoryMb: 125_000, accelerators: 0 },
    state: 'live',
  }));
}

export function service(
  name: string,
  replicas: number,
  cpu = 2,
  more: Partial<Service> = {},
): Service {
  return {
    name,
    team: 'a',
    tier: 'high',
    pathPrefix: `/${name}`,
    replicas: { [DATA_CENTRE]: replicas },
    resources: { cpu, memoryMb: 1000, accelerators: 0 },
    slots: 8,
    connections: 64,
    defaultDeadlineMs: 5_000,
    latencyTargetMs: 100,
    requestRules: [],
    onOutage: 'keep',
    ...more,
  };
}

export function job(name: string, tasks: number, cpu = 1, more: Partial<Job> = {}): Job {
  return {
    name,
    team: 'a',
    tier: 'normal',
    dataCentre: DATA_CENTRE,
    tasks,
    resources: { cpu, memoryMb: 1000, accelerators: 0 },
    urgent: false,
    expectedRunMs: 60_000,
    maxAttempts: 3,
    racks: [],
    onOutage: 'checkpoint',
    ...more,
  };
}

const UNLIMITED = { cpu: 1e6, memoryMb: 1e9, accelerators: 1e6 };

/** A data centre whose decisions are folded immediately. */
export class Harness {
  readonly fold = new ControlFold();

  manifest: Manifest;

  listed: ListedHost[];

  nowMs = 0;

  unplaced: Unplaced[] = [];

  #offset = 0;

  constructor(listed: ListedHost[], parts: Partial<Manifest>) {
    this.listed = listed;
    this.manifest = {
      apiVersion: 'redwingcrank/v1',
      version: 1,
      replaces: 0,
      dataCentres: [DATA_CENTRE],
      teams: ['a', 'b'].map((name) => ({ name, quota: UNLIMITED, weight: 1 })),
      services: [],
      jobs: [],
      ...parts,
    };
    this.#append({ type: 'claim', term: 1 });
  }

  input(): PlanInput {
    const { fold, manifest, listed } = this;
    return { dataCentre: DATA_CENTRE, manifest, fold, listed, policy: new BestFit() };
  }

  /** Runs one pass and folds its actions; throws if any was voided. Returns the actions. */
  pass(input: PlanInput = this.input()): ControlAction[] {
    const steps: PlanStep[] = [...planPass(input)];
    this.unplaced = steps.flatMap((step) => (step.type === 'unplaced' ? [step.unplaced] : []));
    const actions = steps.flatMap((step) => (step.type === 'action' ? [step.action] : []));
    this.apply(actions);
    return actions;
  }

  apply(actions: readonly ControlAction[]): void {
    const { voided } = this.#append({ type: 'batch', term: 1, actions });
    if (voided.length > 0) throw new Error(`voided: ${voided.join('; ')}`);
  }

  /** Records that all revoked attempts have ended. */
  endRevoked(): void {
    for (const { taskId, attempt, state } of [...this.fold.tasks.values()]) {
      if (state === 'revoked') this.end(taskId, attempt, 'stopped');
    }
  }

  end(taskId: string, attempt: number, outcome: 'completed' | 'failed' | 'stopped'): void {
    this.apply([{ type: 'ended', taskId, attempt, outcome, proof: 'worker' }]);
  }

  /** Returns the number of live tasks of an owner on each rack. */
  perRack(owner: string): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const task of this.fold.tasks.values()) {
      const rack = this.fold.hosts.get(task.hostId)?.rack ?? '';
      if (task.owner === owner && task.state !== 'ended') counts[rack] = (counts[rack] ?? 0) + 1;
    }
    return counts;
  }

  #append(body: object): ReturnType<ControlFold['apply']> {
    const offset = this.#offset;
    this.#offset += 1;
    return this.fold.apply(offset, { ...body, id: `r${offset}`, holder: 'n1' });
  }
}
