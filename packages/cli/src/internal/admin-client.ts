import { z } from 'zod';
import { SharedKeys, callJson } from '@redwingcrank/ports';
import type {
  AdminRouteName,
  EventFilter,
  HostView,
  JobView,
  StatusView,
  TaskView,
  TeamView,
  TimelineEvent,
  WhyView,
} from '@redwingcrank/protocol';
import {
  ADMIN_ROUTES,
  MAX_PAGE_LIMIT,
  eventPageSchema,
  hostPageSchema,
  jobPageSchema,
  statusViewSchema,
  taskPageSchema,
  teamPageSchema,
  whyViewSchema,
} from '@redwingcrank/protocol';

const CALL_TIMEOUT_MS = 3_000;

type Query = Readonly<Record<string, string | undefined>>;

/** A client of the administration API of one node. */
export class AdminClient {
  readonly address: string;

  readonly #keys: SharedKeys;

  /**
   * @param address - `ip:port` of the node's administration listener.
   * @param keys - The operators' keys; each request carries the first.
   */
  constructor(address: string, keys: readonly string[] = []) {
    this.address = address;
    this.#keys = new SharedKeys(keys);
  }

  status(): Promise<StatusView> {
    return this.#get('status', {}, statusViewSchema);
  }

  /** Returns all tasks of the node's data centre. */
  tasks(query: Query = {}): Promise<TaskView[]> {
    return this.#getAll('tasks', query, taskPageSchema, (page) => page.tasks);
  }

  hosts(): Promise<HostView[]> {
    return this.#getAll('hosts', {}, hostPageSchema, (page) => page.hosts);
  }

  jobs(): Promise<JobView[]> {
    return this.#getAll('jobs', {}, jobPageSchema, (page) => page.jobs);
  }

  teams(): Promise<TeamView[]> {
    return this.#getAll('teams', {}, teamPageSchema, (page) => page.teams);
  }

  why(task: string): Promise<WhyView> {
    return this.#get('why', { task }, whyViewSchema);
  }

  /** Returns the retained events after a stamp that match the filter, oldest first. */
  async events(after: string, filter: EventFilter = {}): Promise<TimelineEvent[]> {
    const events: TimelineEvent[] = [];
    let next: string | null = after;
    while (next !== null) {
      const query: Query = { ...filter, after: next };
      const page: z.infer<typeof eventPageSchema> = await this.#getPage(
        'events',
        query,
        eventPageSchema,
      );
      events.push(...page.events);
      next = page.next;
    }
    return events;
  }

  /**
   * Returns the manifest in force, or null before the first one. It is returned unchecked, since a
   * node of a newer release may add fields.
   */
  async manifest(): Promise<unknown> {
    return (await this.#get('manifest', {}, z.object({ manifest: z.unknown() }))).manifest;
  }

  async #getAll<P extends { readonly next: string | null }, T>(
    route: AdminRouteName,
    query: Query,
    schema: z.ZodType<P>,
    itemsOf: (page: P) => T[],
  ): Promise<T[]> {
    const items: T[] = [];
    let cursor: string | undefined;
    do {
      const page: P = await this.#getPage(route, { ...query, cursor }, schema);
      items.push(...itemsOf(page));
      cursor = page.next ?? undefined;
    } while (cursor !== undefined);
    return items;
  }

  #getPage<T>(route: AdminRouteName, query: Query, schema: z.ZodType<T>): Promise<T> {
    return this.#get(route, { ...query, limit: String(MAX_PAGE_LIMIT) }, schema);
  }

  #get<T>(route: AdminRouteName, query: Query, schema: z.ZodType<T>): Promise<T> {
    const definedEntries = Object.entries(query).filter(([, value]) => value !== undefined);
    const search = new URLSearchParams(definedEntries as [string, string][]);
    return callJson({
      url: `http://${this.address}${ADMIN_ROUTES[route].path}?${search}`,
      method: 'GET',
      timeoutMs: CALL_TIMEOUT_MS,
      schema,
      failure: 'nodeUnreachable',
      headers: this.#keys.headers(),
    });
  }
}
