import { z } from 'zod';
import { timelineEventSchema } from './event.js';
import { manifestSchema } from './manifest.js';
import { resourcesSchema } from './resources.js';

/**
 * The answers of the read-only administration API of a node. docs/openapi.json is generated from
 * these schemas, and the command line validates the answers of nodes against them.
 */

/** The reason why a manifest on the log did not come into force. */
export const rejectionViewSchema = z.object({
  offset: z.int(),
  id: z.string(),
  reason: z.string(),
  detail: z.string(),
});

/** An unplaced task; `reason` is `never-fits`, `no-room` or a reason that a policy adds. */
export const unplacedViewSchema = z.looseObject({ taskId: z.string(), reason: z.string() });

export const statusViewSchema = z.object({
  nodeId: z.string(),
  dataCentre: z.string(),
  roles: z.array(z.string()),
  state: z.string(),
  /** The version of the program. */
  release: z.string(),
  manifestVersion: z.int(),
  /** Where the manifest in force came from: the log or, until the log has been read, a peer. */
  manifestSource: z.enum(['none', 'log', 'peer']),
  term: z.int(),
  holder: z.string().optional(),
  /** The offset of the last folded record of the control stream; -1 before the first. */
  controlOffset: z.int(),
  peers: z.array(z.string()),
  rejections: z.array(rejectionViewSchema),
  /** The first of the unplaced tasks; known only to the node that holds the data centre. */
  unplaced: z.array(unplacedViewSchema),
  unplacedCount: z.int(),
});

export const hostViewSchema = z.object({
  hostId: z.string(),
  rack: z.string(),
  state: z.string(),
  capacity: resourcesSchema,
  committed: resourcesSchema,
  tasks: z.int(),
});

export const taskViewSchema = z.object({
  taskId: z.string(),
  attempt: z.int(),
  kind: z.string(),
  owner: z.string(),
  hostId: z.string(),
  state: z.string(),
  resources: resourcesSchema,
  endpoint: z.string().optional(),
  checkpoint: z.string().optional(),
  outcome: z.string().optional(),
  revokeReason: z.string().optional(),
  failures: z.int(),
});

/** A job with the number of its tasks in each state. */
export const jobViewSchema = z.object({
  name: z.string(),
  team: z.string(),
  tier: z.string(),
  dataCentre: z.string(),
  urgent: z.boolean(),
  deadline: z.string().optional(),
  tasks: z.int(),
  waiting: z.int(),
  active: z.int(),
  completed: z.int(),
  /** The number of tasks that have used all their attempts. */
  exhausted: z.int(),
});

/** A team with its quota and the resources committed to its tasks in this data centre. */
export const teamViewSchema = z.object({
  name: z.string(),
  weight: z.number(),
  quota: resourcesSchema,
  committed: resourcesSchema,
  activeTasks: z.int(),
});

export const whyReasonSchema = z.object({ reason: z.string(), detail: z.string() });

/** The reasons known to one node why a task runs on its host, or why it does not run. */
export const whyViewSchema = z.object({
  taskId: z.string(),
  nodeId: z.string(),
  /** Whether this node holds the task's data centre; only the holder knows why a task waits. */
  holds: z.boolean(),
  state: z.string(),
  task: taskViewSchema.optional(),
  reasons: z.array(whyReasonSchema),
  history: z.array(timelineEventSchema),
});

/** The cursor of the next page; null on the last page. */
const next = z.string().nullable();

export const hostPageSchema = z.object({ hosts: z.array(hostViewSchema), next });
export const taskPageSchema = z.object({ tasks: z.array(taskViewSchema), next });
export const jobPageSchema = z.object({ jobs: z.array(jobViewSchema), next });
export const teamPageSchema = z.object({ teams: z.array(teamViewSchema), next });
export const eventPageSchema = z.object({ events: z.array(timelineEventSchema), next });
export const manifestViewSchema = z.object({ manifest: manifestSchema.nullable() });

/** The body of an error answer of the administration API. */
export const adminProblemSchema = z.object({
  code: z.int(),
  name: z.string(),
  detail: z.string(),
});

export type StatusView = z.infer<typeof statusViewSchema>;
export type HostView = z.infer<typeof hostViewSchema>;
export type TaskView = z.infer<typeof taskViewSchema>;
export type JobView = z.infer<typeof jobViewSchema>;
export type TeamView = z.infer<typeof teamViewSchema>;
export type WhyView = z.infer<typeof whyViewSchema>;
export type WhyReason = z.infer<typeof whyReasonSchema>;

/** The default number of items on a page of the administration API. */
export const DEFAULT_PAGE_LIMIT = 500;

/** The maximum number of items on a page of the administration API. */
export const MAX_PAGE_LIMIT = 5_000;

/** One path of the administration API, with its query parameters and the schema of its answer. */
export interface AdminRoute {
  readonly path: string;
  readonly summary: string;
  /** The descriptions of the query parameters by name. */
  readonly query: Readonly<Record<string, string>>;
  readonly answer: z.ZodType;
}

const PAGE_QUERY = {
  limit: `Items on a page, 1 to ${MAX_PAGE_LIMIT}; ${DEFAULT_PAGE_LIMIT} by default`,
  cursor: 'The `next` of the previous page',
};

/** All paths that answer with JSON. */
export const ADMIN_ROUTES = {
  status: {
    path: '/v1/status',
    summary: 'The state of this node',
    query: {},
    answer: statusViewSchema,
  },
  manifest: {
    path: '/v1/manifest',
    summary: 'The manifest in force on this node',
    query: {},
    answer: manifestViewSchema,
  },
  hosts: {
    path: '/v1/hosts',
    summary: 'The hosts of this data centre',
    query: PAGE_QUERY,
    answer: hostPageSchema,
  },
  tasks: {
    path: '/v1/tasks',
    summary: 'The tasks of this data centre, by identity',
    query: {
      ...PAGE_QUERY,
      owner: 'Only tasks of this service or job',
      host: 'Only tasks on this host',
    },
    answer: taskPageSchema,
  },
  jobs: {
    path: '/v1/jobs',
    summary: 'The jobs of this data centre',
    query: PAGE_QUERY,
    answer: jobPageSchema,
  },
  teams: {
    path: '/v1/teams',
    summary: 'The teams, with the resources committed to them in this data centre',
    query: PAGE_QUERY,
    answer: teamPageSchema,
  },
  why: {
    path: '/v1/why',
    summary: 'Why a task runs where it does, or does not run',
    query: { task: 'The identity of the task: data centre/owner/index' },
    answer: whyViewSchema,
  },
  events: {
    path: '/v1/events',
    summary: 'The newest events of this node, oldest first',
    query: {
      limit: PAGE_QUERY.limit,
      after: 'Only events with a later stamp: the `next` of the previous page',
      task: 'Only events of this task',
      request: 'Only events of this request',
      host: 'Only events of this host',
      kind: 'Only events of this name',
    },
    answer: eventPageSchema,
  },
} as const satisfies Record<string, AdminRoute>;

export type AdminRouteName = keyof typeof ADMIN_ROUTES;
