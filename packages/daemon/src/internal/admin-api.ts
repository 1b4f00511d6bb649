import type { Registry } from 'prom-client';
import type {
  EventFilter,
  HostView,
  Manifest,
  StatusView,
  TimelineEvent,
  WhyView,
} from '@redwingcrank/protocol';
import { ADMIN_ROUTES, CodedError } from '@redwingcrank/protocol';
import type { TaskState, TaskExplanation } from '@redwingcrank/decisions';
import type { JsonAnswer, JsonRequest, SharedKeys } from '@redwingcrank/ports';
import type { TaskSource } from './admin-views.js';
import { jobViews, taskView, teamViews } from './admin-views.js';
import type { PageQuery } from './paging.js';
import { pageOf, pageQueryOf } from './paging.js';
import { whyReasons } from './why.js';

/** The data that the read-only admin API serves. */
export interface AdminSource {
  ready(): boolean;
  status(): StatusView;
  manifest(): Manifest | undefined;
  /** Returns the tasks in the fold of this node's data centre. */
  control(): TaskSource;
  hosts(): Iterable<HostView>;
  /** Returns whether this node holds its data centre. */
  holds(): boolean;
  /** Explains why a task runs on its host or does not run, in the scheduler's terms. */
  explain(taskId: string): TaskExplanation | undefined;
  events(after: string, limit: number, filter: EventFilter): readonly TimelineEvent[];
}

/** Maximum number of events of a task in an answer of the route `why`. */
const WHY_EVENTS = 200;

type Handler = (params: URLSearchParams) => unknown;

/** Serves the read-only admin API of one node. */
export class AdminApi {
  readonly #source: AdminSource;

  readonly #registry: Registry;

  readonly #keys: SharedKeys;

  readonly #handlers: ReadonlyMap<string, Handler>;

  /** @param keys - The keys of operators, required for every path under /v1. */
  constructor(source: AdminSource, registry: Registry, keys: SharedKeys) {
    this.#source = source;
    this.#registry = registry;
    this.#keys = keys;
    this.#handlers = new Map<string, Handler>([
      [ADMIN_ROUTES.status.path, () => source.status()],
      [ADMIN_ROUTES.manifest.path, () => ({ manifest: source.manifest() ?? null })],
      [ADMIN_ROUTES.hosts.path, (params) => this.#hosts(pageQueryOf(params))],
      [ADMIN_ROUTES.tasks.path, (params) => this.#tasks(params)],
      [ADMIN_ROUTES.jobs.path, (params) => this.#jobs(pageQueryOf(params))],
      [ADMIN_ROUTES.teams.path, (params) => this.#teams(pageQueryOf(params))],
      [ADMIN_ROUTES.why.path, (params) => this.#why(params)],
      [ADMIN_ROUTES.events.path, (params) => this.#events(params)],
    ]);
  }

  /**
   * Answers a request.
   *
   * @throws CodedError (104 to 107) with the HTTP status of the refusal.
   */
  async answer({ method, url, headers }: JsonRequest): Promise<JsonAnswer> {
    if (method !== 'GET') throw new CodedError('readOnly', `${method} ${url.pathname}`);
    const probe = await this.#probe(url.pathname);
    if (probe) return probe;
    // The key is checked before the path, so that a client without a key cannot discover paths.
    if (!this.#keys.accepts(headers.authorization)) {
      throw new CodedError('unauthorized', 'authorization: expected Bearer and an accepted key');
    }
    const handler = this.#handlers.get(url.pathname);
    if (!handler) throw new CodedError('notFound', `no path ${url.pathname}`);
    return { status: 200, body: handler(url.searchParams) };
  }

  /** Answers the paths of load balancers and metrics collectors, which have no key. */
  async #probe(path: string): Promise<JsonAnswer | undefined> {
    if (path === '/healthz') return { status: 200, body: 'ok\n' };
    if (path === '/readyz') {
      const ready = this.#source.ready();
      return { status: ready ? 200 : 503, body: ready ? 'ok\n' : 'not ready\n' };
    }
    if (path !== '/metrics') return undefined;
    const { contentType } = this.#registry;
    return { status: 200, body: await this.#registry.metrics(), contentType };
  }

  #hosts(query: PageQuery) {
    const { items, next } = pageOf(this.#source.hosts(), (host) => host.hostId, query);
    return { hosts: items, next };
  }

  #tasks(params: URLSearchParams) {
    const owner = params.get('owner');
    const host = params.get('host');
    const matches = (task: TaskState): boolean =>
      (owner === null || task.owner === owner) && (host === null || task.hostId === host);
    const tasks = [...this.#source.control().tasks.values()].filter(matches);
    const { items, next } = pageOf(tasks, (task) => task.taskId, pageQueryOf(params));
    return { tasks: items.map(taskView), next };
  }

  #jobs(query: PageQuery) {
    const { dataCentre } = this.#source.status();
    const views = jobViews(this.#source.manifest(), dataCentre, this.#source.control());
    const { items, next } = pageOf(views, (job) => job.name, query);
    return { jobs: items, next };
  }

  #teams(query: PageQuery) {
    const views = teamViews(this.#source.manifest(), this.#source.control());
    const { items, next } = pageOf(views, (team) => team.name, query);
    return { teams: items, next };
  }

  #why(params: URLSearchParams): WhyView {
    const taskId = params.get('task');
    if (taskId === null) throw new CodedError('badAdminRequest', 'task: expected a task');
    const source = this.#source;
    const { nodeId, dataCentre } = source.status();
    const task = source.control().tasks.get(taskId);
    const holds = source.holds();
    const history = source.events('', WHY_EVENTS, { task: taskId });
    const reasons = whyReasons({
      taskId,
      dataCentre,
      holds,
      manifest: source.manifest(),
      task,
      explanation: source.explain(taskId),
      history,
    });
    const state = task?.state ?? 'unplaced';
    const known = task ? { task: taskView(task) } : {};
    return { taskId, nodeId, holds, state, ...known, reasons: [...reasons], history: [...history] };
  }

  #events(params: URLSearchParams) {
    const { limit } = pageQueryOf(params);
    const param = (name: string): string | undefined => params.get(name) ?? undefined;
    const filter: EventFilter = {
      task: param('task'),
      request: param('request'),
      host: param('host'),
      kind: param('kind'),
    };
    // Requesting one more event shows whether there is a next page.
    const found = this.#source.events(param('after') ?? '', limit + 1, filter);
    const events = found.slice(0, limit);
    return { events, next: found.length > limit ? (events.at(-1)?.hlc ?? null) : null };
  }
}
