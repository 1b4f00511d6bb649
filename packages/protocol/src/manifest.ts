import { z } from 'zod';
import type { Fault } from './errors.js';
import { resourcesSchema } from './resources.js';

const name = z
  .string()
  .max(63)
  .regex(/^[a-z0-9]([a-z0-9-]*[a-z0-9])?$/, 'lower-case letters, digits and dashes');

/** How much work matters, from most to least. Under overload the last goes first. */
export const TIERS = ['critical', 'high', 'normal', 'low'] as const;

export type Tier = (typeof TIERS)[number];

/**
 * What happens to a running task when the platform's log stays unreachable for long.
 * `checkpoint`: its lease lapses and it may move. `keep`: renewals go on, and it moves only
 * on its worker's word.
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
  /** A job belongs to one data centre: no two data centres ever decide about one task. */
  dataCentre: name,
  tasks: z.int().min(1).max(100_000),
  resources: resourcesSchema,
  urgent: z.boolean().default(false),
  deadline: z.iso.datetime().optional(),
  expectedRunMs: z.int().min(1).default(60_000),
  maxAttempts: z.int().min(1).max(1_000).default(20),
  /** Racks on which the tasks may run; empty for all. */
  racks: z.array(name).max(1000).default([]),
  onOutage: z.enum(ON_OUTAGE).default('checkpoint'),
});

const teamSchema = z.strictObject({
  name,
  quota: resourcesSchema,
  /** The weight of the team's fair share where the quotas together exceed the hosts. */
  weight: z.number().positive().max(1000).default(1),
});

const manifestShape = z.strictObject({
  apiVersion: z.literal('redwingcrank/v1'),
  version: z.int().min(1),
  /** The version this manifest replaces: 0 for the first one. */
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

type Report = (path: (string | number)[], message: string) => void;

function checkUnique(items: readonly string[], at: string, field: string, report: Report): void {
  const seen = new Set<string>();
  items.forEach((item, i) => {
    if (seen.has(item)) report([at, i, field], `a unique ${field}; ${item} is there twice`);
    seen.add(item);
  });
}

function checkReferences(manifest: Manifest, report: Report): void {
  const teams = new Set(manifest.teams.map((team) => team.name));
  const dataCentres = new Set(manifest.dataCentres);
  manifest.services.forEach((service, i) => {
    if (!teams.has(service.team)) report(['services', i, 'team'], 'the name of a team');
    for (const dc of Object.keys(service.replicas)) {
      if (!dataCentres.has(dc))
        report(['services', i, 'replicas', dc], 'the name of a data centre');
    }
  });
  manifest.jobs.forEach((job, i) => {
    if (!teams.has(job.team)) report(['jobs', i, 'team'], 'the name of a team');
    if (!dataCentres.has(job.dataCentre)) {
      report(['jobs', i, 'dataCentre'], 'the name of a data centre');
    }
  });
}

/** The whole manifest: its shape and the references between its parts. */
export const manifestSchema = manifestShape.superRefine((manifest, ctx) => {
  const report: Report = (path, message) => ctx.addIssue({ code: 'custom', path, message });
  if (manifest.version <= manifest.replaces) {
    report(['version'], 'a number above the one in replaces');
  }
  checkUnique(
    manifest.teams.map((t) => t.name),
    'teams',
    'name',
    report,
  );
  checkUnique(
    [...manifest.services, ...manifest.jobs].map((s) => s.name),
    'services and jobs',
    'name',
    report,
  );
  checkUnique(
    manifest.services.map((s) => s.pathPrefix),
    'services',
    'pathPrefix',
    report,
  );
  checkReferences(manifest, report);
});

const FOUND_LIMIT = 60;

function valueAt(root: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(
    (value, key) =>
      typeof value === 'object' && value !== null
        ? (value as Record<PropertyKey, unknown>)[key]
        : undefined,
    root,
  );
}

/** What zod expected, without its own words around it. */
function expectationOf(issue: z.core.$ZodIssue): string {
  if (issue.code === 'unrecognized_keys') return `known fields, not ${issue.keys.join(', ')}`;
  return issue.message
    .replace(/^(Invalid (input|option|string)|Too (small|big)): (expected )?/, '')
    .replace(/, received .*$/, '');
}

/** Turns the issues that zod found in `input` into faults with path, expectation and finding. */
export function faultsOf(error: z.ZodError, input: unknown): Fault[] {
  return error.issues.map((issue) => {
    const found = JSON.stringify(valueAt(input, issue.path)) ?? 'nothing';
    return {
      path: issue.path.map(String).join('.') || '(root)',
      expected: expectationOf(issue),
      found: found.length > FOUND_LIMIT ? `${found.slice(0, FOUND_LIMIT)}…` : found,
    };
  });
}

export type ManifestParseResult =
  | { readonly ok: true; readonly manifest: Manifest }
  | { readonly ok: false; readonly faults: Fault[] };

/**
 * Checks a manifest from anywhere: a file, the log, a peer.
 *
 * @param input - The parsed JSON.
 * @returns The manifest with defaults filled in, or every fault.
 */
export function readManifest(input: unknown): ManifestParseResult {
  const reading = manifestSchema.safeParse(input);
  if (reading.success) return { ok: true, manifest: reading.data };
  return { ok: false, faults: faultsOf(reading.error, input) };
}
