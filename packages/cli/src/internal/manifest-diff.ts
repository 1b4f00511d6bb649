import type { HostView, Manifest, Resources, TaskView } from '@redwingcrank/protocol';
import { NO_RESOURCES, RESOURCE_KINDS, addResources, fits } from '@redwingcrank/protocol';

/** One line of the difference between two manifests, or of its predicted effects. */
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
  itemType: string,
  before: readonly Named[],
  after: readonly Named[],
): Generator<DiffLine> {
  const remaining = new Map(before.map((item) => [item.name, item]));
  for (const item of after) {
    const previous = remaining.get(item.name);
    const subject = `${itemType} ${item.name}`;
    if (!previous) yield { kind: 'add', subject, detail: '' };
    else yield* diffFields(subject, previous, item);
    remaining.delete(item.name);
  }
  for (const name of remaining.keys())
    yield { kind: 'remove', subject: `${itemType} ${name}`, detail: '' };
}

function* diffFields(subject: string, before: object, after: object): Generator<DiffLine> {
  const oldFields = before as Record<string, unknown>;
  const newFields = after as Record<string, unknown>;
  for (const key of new Set([...Object.keys(oldFields), ...Object.keys(newFields)])) {
    const [from, to] = [JSON.stringify(oldFields[key]), JSON.stringify(newFields[key])];
    if (from !== to) yield { kind: 'change', subject, detail: `${key}: ${from} -> ${to}` };
  }
}

/** Yields the differences between the manifest in force, if any, and its replacement. */
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

/** The current hosts and tasks of a data centre. */
export interface DataCentreState {
  readonly dataCentre: string;
  readonly hosts: readonly HostView[];
  readonly tasks: readonly TaskView[];
}

/**
 * Yields what the manifest would start and stop in one data centre, the tasks that fit on none of
 * its hosts, and a warning if all tasks together exceed the capacity of its live hosts.
 */
export function* predictChanges(
  after: Manifest,
  state: DataCentreState,
): Generator<DiffLine, void> {
  const { dataCentre, hosts, tasks } = state;
  const active = tasks.filter((task) => task.state !== 'ended');
  const desired = desiredTasksIn(after, dataCentre);
  const names = new Set(desired.map(({ name }) => name));
  for (const task of active.filter(({ owner }) => !names.has(owner))) {
    yield {
      kind: 'stop',
      subject: task.taskId,
      detail: `${task.owner} is not in the new manifest for this data centre`,
    };
  }
  for (const { name, resources, count, once } of desired) {
    const ownTasks = tasks.filter((task) => task.owner === name);
    const completed = ownTasks.filter((task) => task.outcome === 'completed').length;
    const running = ownTasks.filter((task) => task.state !== 'ended').length;
    const missing = count - running - (once ? completed : 0);
    const subject = `${name} in ${dataCentre}`;
    if (missing > 0) yield { kind: 'start', subject, detail: `${missing} tasks` };
    if (missing < 0 && !once) yield { kind: 'stop', subject, detail: `${-missing} replicas` };
    if (count > 0 && !hosts.some(({ capacity }) => fits(resources, capacity))) {
      const detail = `never fits: no host has ${describe(resources)}`;
      yield { kind: 'refuse', subject, detail };
    }
  }
  yield* predictCapacityShortage(desired, state);
}

interface DesiredTasks extends Named {
  readonly resources: Resources;
  readonly count: number;
  /** Whether a completed task is not started again: true for jobs, false for services. */
  readonly once: boolean;
}

function desiredTasksIn(manifest: Manifest, dataCentre: string): DesiredTasks[] {
  const services = manifest.services.map(({ name, resources, replicas }) => {
    return { name, resources, count: replicas[dataCentre] ?? 0, once: false };
  });
  const jobs = manifest.jobs
    .filter((job) => job.dataCentre === dataCentre)
    .map(({ name, resources, tasks }) => ({ name, resources, count: tasks, once: true }));
  return [...services, ...jobs];
}

function* predictCapacityShortage(
  desired: readonly DesiredTasks[],
  { dataCentre, hosts }: DataCentreState,
): Generator<DiffLine> {
  const sum = (all: readonly Resources[]): Resources => all.reduce(addResources, NO_RESOURCES);
  const requested = sum(desired.map(({ resources, count }) => scaled(resources, count)));
  const available = sum(hosts.filter((host) => host.state === 'live').map((host) => host.capacity));
  if (fits(requested, available)) return;
  const detail = `all tasks need ${describe(requested)}, live hosts have ${describe(available)}`;
  yield { kind: 'warn', subject: dataCentre, detail: `${detail}: some tasks will wait` };
}

/** Yields a warning for each team whose services and jobs together exceed its quota. */
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
    const requested = [...services, ...jobs].reduce(addResources, NO_RESOURCES);
    if (!fits(requested, team.quota)) {
      const detail = `needs ${describe(requested)}, its quota is ${describe(team.quota)}`;
      yield { kind: 'warn', subject: `team ${team.name}`, detail };
    }
  }
}

function describe(resources: Resources): string {
  return RESOURCE_KINDS.map((kind) => `${kind} ${resources[kind]}`).join(', ');
}
