import type {
  HostView,
  JobView,
  Manifest,
  Resources,
  TaskView,
  TeamView,
} from '@redwingcrank/protocol';
import { NO_RESOURCES, addResources } from '@redwingcrank/protocol';
import type { HostState, TaskState } from '@redwingcrank/decisions';

/** The tasks of one data centre. */
export interface TaskSource {
  readonly tasks: ReadonlyMap<string, TaskState>;
  tasksOf(owner: string): ReadonlySet<string>;
}

/**
 * Returns a task as the admin API shows it. It is built field by field, so that internal fields of
 * the fold may change without changing the API.
 */
export function taskView(task: TaskState): TaskView {
  const { taskId, attempt, kind, owner, hostId, state, resources, failures } = task;
  const { endpoint, checkpoint, outcome, revokeReason } = task;
  return {
    ...{ taskId, attempt, kind, owner, hostId, state, resources, failures },
    ...(endpoint !== undefined && { endpoint }),
    ...(checkpoint !== undefined && { checkpoint }),
    ...(outcome !== undefined && { outcome }),
    ...(revokeReason !== undefined && { revokeReason }),
  };
}

/** Yields the hosts as the admin API shows them. */
export function* hostViews(hosts: Iterable<HostState>): Generator<HostView, void> {
  for (const { hostId, rack, state, capacity, committed, tasks } of hosts) {
    yield { hostId, rack, state, capacity, committed, tasks: tasks.size };
  }
}

/** Yields the jobs of a data centre with the number of their tasks by state. */
export function* jobViews(
  manifest: Manifest | undefined,
  dataCentre: string,
  source: TaskSource,
): Generator<JobView, void> {
  for (const job of manifest?.jobs ?? []) {
    if (job.dataCentre === dataCentre) {
      const states = [...source.tasksOf(job.name)].map((id) => source.tasks.get(id));
      const ended = states.filter((task) => task?.state === 'ended');
      const completed = ended.filter((task) => task?.outcome === 'completed').length;
      const exhausted = ended.filter(
        (task) => task?.outcome !== 'completed' && (task?.failures ?? 0) >= job.maxAttempts,
      ).length;
      const active = states.length - ended.length;
      const { name, team, tier, urgent, deadline, tasks } = job;
      const waiting = Math.max(0, tasks - active - completed - exhausted);
      const counts = { tasks, waiting, active, completed, exhausted };
      const limit = deadline === undefined ? {} : { deadline };
      yield { name, team, tier, dataCentre, urgent, ...limit, ...counts };
    }
  }
}

/** Yields the teams with the resources that their active tasks use in a data centre. */
export function* teamViews(
  manifest: Manifest | undefined,
  source: TaskSource,
): Generator<TeamView, void> {
  if (!manifest) return;
  const owners = [...manifest.services, ...manifest.jobs];
  const teamOf = new Map(owners.map(({ name, team }) => [name, team]));
  const usageByTeam = new Map<string, { committed: Resources; activeTasks: number }>();
  for (const task of source.tasks.values()) {
    const team = teamOf.get(task.owner);
    if (team !== undefined && task.state !== 'ended') {
      const usage = usageByTeam.get(team) ?? { committed: NO_RESOURCES, activeTasks: 0 };
      const committed = addResources(usage.committed, task.resources);
      usageByTeam.set(team, { committed, activeTasks: usage.activeTasks + 1 });
    }
  }
  for (const { name, weight, quota } of manifest.teams) {
    const { committed, activeTasks } = usageByTeam.get(name) ?? {
      committed: NO_RESOURCES,
      activeTasks: 0,
    };
    yield { name, weight, quota, committed, activeTasks };
  }
}
