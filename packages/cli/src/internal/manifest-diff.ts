import type { HostView, Manifest, Resources, TaskView } from '@redwingcrank/protocol';
import { NO_RESOURCES, RESOURCE_KINDS, addResources, fits } from '@redwingcrank/protocol';

/** One line of the difference between two manifests, or of what it would do. */
export interface DiffLine {
  readonly kind: 'add' | 'remove' | 'change' | 'start' | 'stop' | 'refuse' | 'warn';
  readonly subject: string;
  readonly detail: string;
}

interface Named {
  readonly name: string;
}

const scaled = (resources: Resources, count: number): Resources => ({
  cpu: resources.cpu * count,
  memoryMb: resources.memoryMb * count,
  accelerators: resources.accelerators * count,
});

function* diffLists(
  what: string,
  before: readonly Named[],
  after: readonly Named[],
): Generator<DiffLine> {
  const old = new Map(before.map((item) => [item.name, item]));
  for (const item of after) {
    const known = old.get(item.name);
    const subject = `${what} ${item.name}`;
    if (!known) yield { kind: 'add', subject, detail: '' };
    else yield* diffFields(subject, known, item);
    old.delete(item.name);
  }
  for (const name of old.keys()) yield { kind: 'remove', subject: `${what} ${name}`, detail: '' };
}

function* diffFields(subject: string, before: object, after: object): Generator<DiffLine> {
  const old = before as Record<string, unknown>;
  const fresh = after as Record<string, unknown>;
  for (const key of new Set([...Object.keys(old), ...Object.keys(fresh)])) {
    const [from, to] = [JSON.stringify(old[key]), JSON.stringify(fresh[key])];
    if (from !== to) yield { kind: 'change', subject, detail: `${key}: ${from} -> ${to}` };
  }
}

/** What differs between the manifest in force, if any, and the one that would replace it. */
export function* diffManifests(
  before: Manifest | undefined,
  after: Manifest,
): Generator<DiffLine, void> {
  const dataCentres = (manifest?: Manifest) =>
    (manifest?.dataCentres ?? []).map((name) => ({ name }));
  yield* diffLists('data centre', dataCentres(before), dataCentres(after));
  yield* diffLists('team', before?.teams ?? [], after.teams);
  yield* diffLists('service', before?.services ?? [], after.services);
  yield* diffLists('job', before?.jobs ?? [], after.jobs);
}

/** What a data centre holds at present. */
export interface DataCentreState {
  readonly dataCentre: string;
  readonly hosts: readonly HostView[];
  readonly tasks: readonly TaskView[];
}

/** What the manifest would start, stop, or never be able to run in one data centre. */
export function* predictChanges(
  after: Manifest,
  state: DataCentreState,
): Generator<DiffLine, void> {
  const { dataCentre, hosts, tasks } = state;
  const active = tasks.filter((task) => task.state !== 'ended');
  const wanted = wantedIn(after, dataCentre);
  const names = new Set(wanted.map(({ name }) => name));
  for (const task of active.filter(({ owner }) => !names.has(owner))) {
    yield { kind: 'stop', subject: task.taskId, detail: `${task.owner} is no longer wanted` };
  }
  for (const { name, resources, count, once } of wanted) {
    const own = tasks.filter((task) => task.owner === name);
    const completed = own.filter((task) => task.outcome === 'completed').length;
    const running = own.filter((task) => task.state !== 'ended').length;
    const missing = count - running - (once ? completed : 0);
    const subject = `${name} in ${dataCentre}`;
    if (missing > 0) yield { kind: 'start', subject, detail: `${missing} tasks` };
    if (missing < 0 && !once) yield { kind: 'stop', subject, detail: `${-missing} replicas` };
    if (count > 0 && !hosts.some(({ capacity }) => fits(resources, capacity))) {
      const detail = `never fits: no host has ${describe(resources)}`;
      yield { kind: 'refuse', subject, detail };
    }
  }
  yield* foreseeRoom(wanted, state);
}

interface Wanted extends Named {
  readonly resources: Resources;
  readonly count: number;
  /** Whether a task that completed is done for good. */
  readonly once: boolean;
}

function wantedIn(manifest: Manifest, dataCentre: string): Wanted[] {
  const services = manifest.services.map(({ name, resources, replicas }) => {
    return { name, resources, count: replicas[dataCentre] ?? 0, once: false };
  });
  const jobs = manifest.jobs
    .filter((job) => job.dataCentre === dataCentre)
    .map(({ name, resources, tasks }) => ({ name, resources, count: tasks, once: true }));
  return [...services, ...jobs];
}

function* foreseeRoom(
  wanted: readonly Wanted[],
  { dataCentre, hosts }: DataCentreState,
): Generator<DiffLine> {
  const sum = (all: readonly Resources[]): Resources => all.reduce(addResources, NO_RESOURCES);
  const asked = sum(wanted.map(({ resources, count }) => scaled(resources, count)));
  const there = sum(hosts.filter((host) => host.state === 'live').map((host) => host.capacity));
  if (fits(asked, there)) return;
  const detail = `all tasks together ask for ${describe(asked)}, its hosts have ${describe(there)}`;
  yield { kind: 'warn', subject: dataCentre, detail: `${detail}: some will wait` };
}

/** Teams whose services and jobs together ask for more than the quota. */
export function* predictQuotaOverruns(after: Manifest): Generator<DiffLine, void> {
  for (const team of after.teams) {
    const services = after.services
      .filter((service) => service.team === team.name)
      .map(({ resources, replicas }) => {
        const count = Object.values(replicas).reduce((total, n) => total + n, 0);
        return scaled(resources, count);
      });
    const jobs = after.jobs
      .filter((job) => job.team === team.name)
      .map(({ resources, tasks }) => scaled(resources, tasks));
    const asked = [...services, ...jobs].reduce(addResources, NO_RESOURCES);
    if (!fits(asked, team.quota)) {
      const detail = `asks for ${describe(asked)}, its quota is ${describe(team.quota)}`;
      yield { kind: 'warn', subject: `team ${team.name}`, detail };
    }
  }
}

function describe(resources: Resources): string {
  return RESOURCE_KINDS.map((kind) => `${kind} ${resources[kind]}`).join(', ');
}
