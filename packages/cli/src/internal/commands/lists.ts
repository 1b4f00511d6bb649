import type { z } from 'zod';
import type { HostView, JobView, TaskView, TeamView } from '@redwingcrank/protocol';
import { addResources } from '@redwingcrank/protocol';
import type { AdminClient } from '../admin-client.js';
import { nodesSchema } from '../cli-settings.js';
import type { CommonSettings } from '../command.js';
import { Command, clusterOf } from '../command.js';
import type { Output } from '../output.js';
import { formatResources } from '../output.js';

/** A command that prints one list, collected from one node of each data centre. */
abstract class ListCommand<T extends Record<string, unknown>> extends Command {
  readonly schema: z.ZodType<CommonSettings> = nodesSchema;

  protected abstract readonly columns: readonly string[];

  async run(settings: CommonSettings, out: Output): Promise<void> {
    const items = this.merge(
      await clusterOf(settings).perDataCentre((node) => this.fetchItems(node)),
    );
    out.rows(this.columns, settings.json ? items : items.map((item) => this.rowOf(item)));
  }

  protected abstract fetchItems(node: AdminClient): Promise<T[]>;

  /** Merges the items that different data centres report for the same name. */
  protected merge(items: T[]): T[] {
    return items;
  }

  protected rowOf(item: T): Record<string, unknown> {
    return { ...item };
  }
}

/** Lists all tasks and where they run. */
export class Tasks extends ListCommand<TaskView> {
  readonly usage = 'tasks';

  readonly summary = 'All tasks and where they run';

  readonly examples = [['tasks', 'Every task of every data centre']] as const;

  protected readonly columns = ['taskId', 'attempt', 'state', 'hostId', 'endpoint', 'outcome'];

  protected fetchItems(node: AdminClient): Promise<TaskView[]> {
    return node.tasks();
  }
}

/** Lists all hosts and the resources committed on them. */
export class Hosts extends ListCommand<HostView> {
  readonly usage = 'hosts';

  readonly summary = 'All hosts and the resources committed on them';

  readonly examples = [['hosts', 'Every host of every data centre']] as const;

  protected readonly columns = ['hostId', 'rack', 'state', 'tasks', 'committed', 'capacity'];

  protected fetchItems(node: AdminClient): Promise<HostView[]> {
    return node.hosts();
  }

  protected override rowOf(host: HostView): Record<string, unknown> {
    const { committed, capacity } = host;
    return { ...host, committed: formatResources(committed), capacity: formatResources(capacity) };
  }
}

/** Lists all jobs with the number of their tasks in each state. */
export class Jobs extends ListCommand<JobView> {
  readonly usage = 'jobs';

  readonly summary = 'All jobs and their progress';

  readonly examples = [['jobs', 'Every job of every data centre']] as const;

  protected readonly columns = [
    'name',
    'team',
    'tier',
    'dataCentre',
    'deadline',
    'tasks',
    'waiting',
    'active',
    'completed',
    'exhausted',
  ];

  protected fetchItems(node: AdminClient): Promise<JobView[]> {
    return node.jobs();
  }
}

/** Lists all teams with the resources that their tasks hold in all data centres together. */
export class Teams extends ListCommand<TeamView> {
  readonly usage = 'teams';

  readonly summary = 'All teams with their quotas and the resources they hold';

  readonly examples = [['teams', 'Every team, added up over the data centres']] as const;

  protected readonly columns = ['name', 'weight', 'activeTasks', 'committed', 'quota'];

  protected fetchItems(node: AdminClient): Promise<TeamView[]> {
    return node.teams();
  }

  protected override merge(items: TeamView[]): TeamView[] {
    const teams = new Map<string, TeamView>();
    for (const team of items) {
      const before = teams.get(team.name);
      const committed = before ? addResources(before.committed, team.committed) : team.committed;
      const activeTasks = (before?.activeTasks ?? 0) + team.activeTasks;
      teams.set(team.name, { ...team, committed, activeTasks });
    }
    return [...teams.values()];
  }

  protected override rowOf(team: TeamView): Record<string, unknown> {
    const { committed, quota } = team;
    return { ...team, committed: formatResources(committed), quota: formatResources(quota) };
  }
}
