import { z } from 'zod';
import type { Fault } from './errors.js';
import { resourcesSchema } from './resources.js';

const name = z
  .string()
  .max(63)
  .regex(/^[a-z0-9]([a-z0-9-]*[a-z0-9])?$/, 'lower-case letters, digits and dashes');

/** The priority tiers of work from highest to lowest. Overload sheds the lowest tier first. */
export const TIERS = ['critical', 'high', 'normal', 'low'] as const;

export type Tier = (typeof TIERS)[number];

/**
 * What happens to a running task when the platform's log stays unreachable for a long time.
 * `checkpoint`: its lease expires, and it may move. `keep`: its lease is still renewed, and it moves
 * only after its worker has reported its end.
 */
export const ON_OUTAGE = ['keep', 'checkpoint'] as const;

const requestRuleSchema = z.strictObject({
  method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /** A path below the service's prefix; the longest matching prefix wins. */
  path: z.string().startsWith('/'),
  idempotent: z.boolean(),
});

const serviceSchema = z.strictObject({
  name,
  team: name,
  tier: z.enum(TIERS).default('high'),
  pathPrefix: z.string().regex(/^\/[a-z0-9-]+$/, 'a path of one segment, such as /booking'),
  replicas: z.record(name, z.int().min(0).max(10_000)),
  resources: resourcesSchema,
  slots: z.int().min(1).max(1024).default(8),
  connections: z.int().min(1).max(4096).default(64),
  defaultDeadlineMs: z.int().min(1).max(600_000).default(5_000),
  latencyTargetMs: z.int().min(1).max(600_000).default(100),
  requestRules: z.array(requestRuleSchema).max(200).default([]),
  onOutage: z.enum(ON_OUTAGE).default('keep'),
});

const jobSchema = z.strictObject({
  name,
  team: name,
  tier: z.enum(TIERS).default('normal'),
  /** The one data centre of the job, so that two data centres never decide about one task. */
  dataCentre: name,
  tasks: z.int().min(1).max(100_000),
  resources: resourcesSchema,
  urgent: z.boolean().default(false),
  deadline: z.iso.datetime().optional(),
  expectedRunMs: z.int().min(1).default(60_000),
  maxAttempts: z.int().min(1).max(1_000).default(20),
  /** The racks on which the tasks may run; empty for all racks. */
  racks: z.array(name).max(1000).default([]),
  onOutage: z.enum(ON_OUTAGE).default('checkpoint'),
});

const teamSchema = z.strictObject({
  name,
  quota: resourcesSchema,
  /** The weight of the team's fair share if the sum of the quotas exceeds the hosts' capacity. */
  weight: z.number().positive().max(1000).default(1),
});

const manifestShape = z.strictObject({
  apiVersion: z.literal('redwingcrank/v1'),
  version: z.int().min(1),
  /** The version that this manifest replaces; 0 for the first manifest. */
  replaces: z.int().min(0),
  dataCentres: z.array(name).min(1).max(64),
  teams: z.array(teamSchema).max(2000),
  services: z.array(serviceSchema).max(5000),
  jobs: z.array(jobSchema).max(20_000),
});

export type Service = z.infer<typeof serviceSchema>;
export type Job = z.infer<typeof jobSchema>;
export type Team = z.infer<typeof teamSchema>;
export type Manifest = z.infer<typeof manifestShape>;
export type RequestRule = z.infer<typeof requestRuleSchema>;

type FaultReporter = (path: (string | number)[], message: string) => void;

function checkUnique(
  items: readonly string[],
  listName: string,
  field: string,
  reportFault: FaultReporter,
): void {
  const seen = new Set<string>();
  items.forEach((item, i) => {
    if (seen.has(item))
      reportFault([listName, i, field], `a unique ${field}; ${item} is there twice`);
    seen.add(item);
  });
}

function checkReferences(manifest: Manifest, reportFault: FaultReporter): void {
  const teams = new Set(manifest.teams.map((team) => team.name));
  const dataCentres = new Set(manifest.dataCentres);
  manifest.services.forEach((service, i) => {
    if (!teams.has(service.team)) reportFault(['services', i, 'team'], 'the name of a team');
    for (const dc of Object.keys(service.replicas)) {
      if (!dataCentres.has(dc))
        reportFault(['services', i, 'replicas', dc], 'the name of a data centre');
    }
  });
  manifest.jobs.forEach((job, i) => {
    if (!teams.has(job.team)) reportFault(['jobs', i, 'team'], 'the name of a team');
    if (!dataCentres.has(job.dataCentre)) {
      reportFault(['jobs', i, 'dataCentre'], 'the name of a data centre');
    }
  });
}

/** The schema of a manifest, including uniqueness and the references between its parts. */
export const manifestSchema = manifestShape.superRefine((manifest, ctx) => {
  const reportFault: FaultReporter = (path, message) =>
    ctx.addIssue({ code: 'custom', path, message });
  if (manifest.version <= manifest.replaces) {
    reportFault(['version'], 'a number above the one in replaces');
  }
  checkUnique(
    manifest.teams.map((t) => t.name),
    'teams',
    'name',
    reportFault,
  );
  checkUnique(
    [...manifest.services, ...manifest.jobs].map((s) => s.name),
    'services and jobs',
    'name',
    reportFault,
  );
  checkUnique(
    manifest.services.map((s) => s.pathPrefix),
    'services',
    'pathPrefix',
    reportFault,
  );
  checkReferences(manifest, reportFault);
});

const MAX_FOUND_CHARS = 60;

function valueAt(root: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(
    (value, key) =>
      typeof value === 'object' && value !== null
        ? (value as Record<PropertyKey, unknown>)[key]
        : undefined,
    root,
  );
}

/** Returns the expectation in an issue of zod, without the text that zod puts around it. */
function expectationOf(issue: z.core.$ZodIssue): string {
  if (issue.code === 'unrecognized_keys') return `known fields, not ${issue.keys.join(', ')}`;
  return issue.message
    .replace(/^(Invalid (input|option|string)|Too (small|big)): (expected )?/, '')
    .replace(/, received .*$/, '');
}

/** Converts the issues that zod found in `input` into faults. */
export function faultsOf(error: z.ZodError, input: unknown): Fault[] {
  return error.issues.map((issue) => {
    const found = JSON.stringify(valueAt(input, issue.path)) ?? 'nothing';
    return {
      path: issue.path.map(String).join('.') || '(root)',
      expected: expectationOf(issue),
      found: found.length > MAX_FOUND_CHARS ? `${found.slice(0, MAX_FOUND_CHARS)}…` : found,
    };
  });
}

export type ManifestParseResult =
  | { readonly ok: true; readonly manifest: Manifest }
  | { readonly ok: false; readonly faults: Fault[] };

/**
 * Validates a manifest from any source, such as a file, the log or a peer.
 *
 * @param input - The parsed JSON.
 * @returns The manifest with defaults filled in, or all its faults.
 */
export function readManifest(input: unknown): ManifestParseResult {
  const result = manifestSchema.safeParse(input);
  if (result.success) return { ok: true, manifest: result.data };
  return { ok: false, faults: faultsOf(result.error, input) };
}
