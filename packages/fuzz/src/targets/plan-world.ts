import type {
  BindAction,
  ControlAction,
  Job,
  ListedHost,
  Manifest,
  Resources,
  Service,
} from '@redwingcrank/protocol';
import { NO_RESOURCES, addResources, fits, subtractResources } from '@redwingcrank/protocol';
import type { PlanStep, TaskState, Unplaced } from '@redwingcrank/decisions';
import { BestFit, ControlFold, SchedulingMemory, planPass } from '@redwingcrank/decisions';
import type { Coverage } from '../coverage.js';

const DATA_CENTRE = 'dc1';
const HOST_COUNT = 6;
const MINUTE_MS = 60_000;
const NAMES = ['n0', 'n1', 'n2', 'n3', 'n4', 'n5', 'n6', 'n7'] as const;
const TIERS = ['critical', 'high', 'normal', 'low'] as const;
/** A pass over this few hosts and tasks that takes more steps does not terminate. */
const MAX_PASS_STEPS = 5_000;

const cores = (cpu: number): Resources => ({ cpu, memoryMb: cpu * 100, accelerators: 0 });

/** Models a small data centre and checks its passes. */
export class PlanWorld {
  readonly #coverage: Coverage;

  readonly #fold = new ControlFold();

  readonly #memory = new SchedulingMemory();

  readonly #hosts = new Map<string, ListedHost>();

  readonly #services = new Map<string, Service>();

  readonly #jobs = new Map<string, Job>();

  readonly #quotas = [cores(30), cores(20)];

  #offset = -1;

  #nowMs = 0;

  constructor(coverage: Coverage) {
    this.#coverage = coverage;
    for (let i = 0; i < HOST_COUNT; i += 1) this.#hosts.set(`w${i}`, hostOf(i, 8));
    this.#append({ type: 'claim', term: 1 });
  }

  /** Runs one command; two small numbers select its objects and sizes. */
  run(kind: string, a: number, b: number): void {
    switch (kind) {
      case 'pass':
        this.#pass();
        break;
      case 'end-some':
      case 'fail-some':
        this.#endSome(kind, a);
        break;
      case 'end-revoked':
        this.#end(this.#tasksIn('revoked'), 'stopped');
        break;
      case 'time-passes':
        this.#nowMs += (1 + a) * MINUTE_MS;
        break;
      default:
        if (kind.startsWith('host')) this.#changeHost(kind, a, b);
        else this.#changeManifest(kind, a, b);
    }
  }

  #changeHost(kind: string, a: number, b: number): void {
    const id = `w${a % HOST_COUNT}`;
    const host = this.#hosts.get(id);
    if (kind === 'host-returns') this.#hosts.set(id, hostOf(a % HOST_COUNT, 8));
    else if (host) this.#coverage.hit(kind);
    if (kind === 'host-vanishes') this.#hosts.delete(id);
    if (kind === 'host-leaves' && host) this.#hosts.set(id, { ...host, state: 'leaving' });
    if (kind === 'host-shrinks' && host) this.#hosts.set(id, hostOf(a % HOST_COUNT, 1 + b));
  }

  #changeManifest(kind: string, a: number, b: number): void {
    const name = NAMES[a] ?? 'n0';
    if (kind === 'job-dropped') {
      if (this.#jobs.delete(name)) this.#coverage.hit(kind);
    } else if (kind === 'quota-cut') {
      this.#quotas[a % 2] = cores(4 + b);
      this.#coverage.hit(kind);
    } else if (kind === 'name-swapped') {
      this.#swap(name, b);
    } else if (kind === 'service-resized') {
      if (!this.#jobs.has(name)) this.#services.set(name, serviceOf(name, b));
    } else if (!this.#services.has(name)) {
      this.#jobs.set(name, this.#jobOf(name, { urgent: kind === 'urgent-added', a, b }));
    }
  }

  /** Replaces a service by a job of the same name, or the other way round. */
  #swap(name: string, b: number): void {
    if (this.#services.delete(name)) {
      this.#jobs.set(name, this.#jobOf(name, { urgent: false, a: b, b }));
      this.#coverage.hit('name-swapped');
    } else if (this.#jobs.delete(name)) {
      this.#services.set(name, serviceOf(name, b));
      this.#coverage.hit('name-swapped');
    }
  }

  #jobOf(name: string, { urgent, a, b }: { urgent: boolean; a: number; b: number }): Job {
    return {
      name,
      team: a % 2 === 0 ? 'a' : 'b',
      tier: TIERS[b % TIERS.length] ?? 'low',
      dataCentre: DATA_CENTRE,
      tasks: 1 + a,
      resources: cores(1 + 1.5 * b),
      urgent,
      ...(a > 5 && { deadline: new Date(this.#nowMs + b * MINUTE_MS).toISOString() }),
      expectedRunMs: MINUTE_MS,
      maxAttempts: 1 + (a % 2),
      racks: a === 3 ? [`r${b % 4}`] : [],
      onOutage: 'checkpoint',
    };
  }

  #manifest(): Manifest {
    return {
      apiVersion: 'redwingcrank/v1',
      version: 1,
      replaces: 0,
      dataCentres: [DATA_CENTRE],
      teams: this.#quotas.map((quota, i) => ({ name: i === 0 ? 'a' : 'b', quota, weight: 1 + i })),
      services: [...this.#services.values()],
      jobs: [...this.#jobs.values()],
    };
  }

  #pass(): void {
    const manifest = this.#manifest();
    const steps = this.#stepsOf(manifest);
    const actions = steps.flatMap((step) => (step.type === 'action' ? [step.action] : []));
    const unplaced = steps.flatMap((step) => (step.type === 'unplaced' ? [step.unplaced] : []));
    const { voided } = this.#append({ type: 'batch', term: 1, actions });
    if (voided.length > 0)
      throw new Error(`the fold voided actions of the pass: ${voided.join('; ')}`);
    this.#checkHosts(actions);
    this.#checkQuotas(manifest, actions);
    this.#checkUnplaced(manifest, unplaced);
    if (actions.some((a) => a.type === 'revoke' && a.reason.startsWith('room'))) {
      this.#coverage.hit('eviction');
    }
  }

  #stepsOf(manifest: Manifest): PlanStep[] {
    const steps: PlanStep[] = [];
    const input = {
      dataCentre: DATA_CENTRE,
      manifest,
      fold: this.#fold,
      listed: [...this.#hosts.values()],
      policy: new BestFit(),
      nowMs: this.#nowMs,
      memory: this.#memory,
    };
    for (const step of planPass(input)) {
      steps.push(step);
      if (steps.length > MAX_PASS_STEPS) throw new Error('the pass does not terminate');
    }
    return steps;
  }

  /** Checks hosts with new tasks; a host whose capacity shrank may exceed it, but gets no new task. */
  #checkHosts(actions: readonly ControlAction[]): void {
    for (const hostId of new Set(binds(actions).map((action) => action.hostId))) {
      const used = sum([...this.#fold.tasks.values()].filter((t) => isOn(t, hostId)));
      const host = this.#hosts.get(hostId);
      if (host?.state !== 'live') throw new Error(`bound to ${hostId}, which is not live`);
      if (!fits(used, host.capacity)) throw new Error(`${hostId} is over-committed`);
    }
  }

  #checkQuotas({ teams }: Manifest, actions: readonly ControlAction[]): void {
    const teamOf = (owner: string): string | undefined =>
      (this.#jobs.get(owner) ?? this.#services.get(owner))?.team;
    for (const owner of new Set(binds(actions).map((action) => action.owner))) {
      const team = teams.find(({ name }) => name === teamOf(owner));
      const tasks = [...this.#fold.tasks.values()].filter(
        (task) =>
          task.state !== 'ended' && this.#isWanted(task) && teamOf(task.owner) === team?.name,
      );
      if (!team || !fits(sum(tasks), team.quota))
        throw new Error(`the tasks of team ${team?.name} exceed its quota`);
    }
  }

  #isWanted({ kind, owner }: TaskState): boolean {
    return kind === 'job' ? this.#jobs.has(owner) : this.#services.has(owner);
  }

  /** Checks unplaced tasks: capacity only shrinks during a pass, so none may fit at its end. */
  #checkUnplaced({ teams }: Manifest, unplaced: readonly Unplaced[]): void {
    for (const { owner, reason } of unplaced) {
      this.#coverage.hit(reason === 'quota' ? 'over-quota' : reason);
      const wanted = this.#jobs.get(owner) ?? this.#services.get(owner);
      const racks = this.#jobs.get(owner)?.racks ?? [];
      const candidates = [...this.#fold.hosts.values()].filter(
        (host) =>
          host.state === 'live' &&
          (racks.length === 0 || racks.includes(host.rack)) &&
          wanted !== undefined &&
          fits(wanted.resources, subtractResources(host.capacity, host.committed)),
      );
      if (reason === 'no-room' && candidates.length > 0 && !unplaced.some(isEvictionPending)) {
        throw new Error(`${owner} waits for capacity although ${candidates[0]?.hostId} has enough`);
      }
      const quota = teams.find(({ name }) => name === wanted?.team)?.quota;
      if (reason === 'exceeds-quota' && wanted && quota && fits(wanted.resources, quota)) {
        throw new Error(`${owner} is reported to exceed its quota but fits into it`);
      }
    }
  }

  #endSome(kind: string, a: number): void {
    const chosen = this.#tasksIn('bound', 'running').filter((_task, i) => i % 8 <= a);
    const jobs = chosen.filter((task) => task.kind === 'job');
    if (jobs.length > 0 && kind === 'fail-some') this.#coverage.hit(kind);
    this.#end(jobs, kind === 'fail-some' ? 'failed' : 'completed');
  }

  #tasksIn(...states: TaskState['state'][]): TaskState[] {
    return [...this.#fold.tasks.values()].filter((task) => states.includes(task.state));
  }

  #end(tasks: readonly TaskState[], outcome: 'completed' | 'failed' | 'stopped'): void {
    const actions: ControlAction[] = tasks.map(({ taskId, attempt }) => ({
      type: 'ended',
      taskId,
      attempt,
      outcome,
      proof: 'worker',
    }));
    this.#append({ type: 'batch', term: 1, actions });
  }

  #append(body: object): ReturnType<ControlFold['apply']> {
    this.#offset += 1;
    return this.#fold.apply(this.#offset, { ...body, id: `r${this.#offset}`, holder: 'n1' });
  }
}

function binds(actions: readonly ControlAction[]): BindAction[] {
  return actions.filter((action) => action.type === 'bind');
}

function sum(tasks: readonly TaskState[]): Resources {
  return tasks.reduce((total, task) => addResources(total, task.resources), NO_RESOURCES);
}

function isOn(task: TaskState, hostId: string): boolean {
  return task.hostId === hostId && task.state !== 'ended';
}

function isEvictionPending({ reason }: Unplaced): boolean {
  return reason === 'eviction-pending';
}

function hostOf(i: number, cpu: number): ListedHost {
  return {
    hostId: `w${i}`,
    dataCentre: DATA_CENTRE,
    rack: `r${Math.floor(i / 2)}`,
    address: `127.0.0.1:${1000 + i}`,
    capacity: cores(cpu),
    state: 'live',
  };
}

function serviceOf(name: string, b: number): Service {
  return {
    name,
    team: b % 2 === 0 ? 'a' : 'b',
    tier: 'high',
    pathPrefix: `/${name}`,
    replicas: { [DATA_CENTRE]: b },
    resources: cores(1 + (b % 3)),
    slots: 8,
    connections: 64,
    defaultDeadlineMs: 5_000,
    latencyTargetMs: 100,
    requestRules: [],
    onOutage: 'keep',
  };
}
