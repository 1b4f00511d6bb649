import { z } from 'zod';
import { ON_OUTAGE } from './manifest.js';
import { resourcesSchema } from './resources.js';

/** How an attempt ended. Only `completed` ends the task as well. */
export const ATTEMPT_OUTCOMES = ['completed', 'failed', 'stopped', 'lapsed'] as const;

export type AttemptOutcome = (typeof ATTEMPT_OUTCOMES)[number];

/**
 * The proofs that an attempt has ended. `worker`: the worker reported the end. `lease`: after the
 * attempt was revoked, no node was left that could renew its lease, and the lease has expired even on
 * the slowest clock.
 */
export const END_PROOFS = ['worker', 'lease'] as const;

const attemptRef = { taskId: z.string().max(200), attempt: z.int().min(1) };

const hostActionSchema = z.strictObject({
  type: z.literal('host'),
  hostId: z.string().max(100),
  rack: z.string().max(100),
  address: z.string().max(200),
  capacity: resourcesSchema,
  state: z.enum(['live', 'leaving', 'gone']),
});

const bindActionSchema = z.strictObject({
  type: z.literal('bind'),
  ...attemptRef,
  kind: z.enum(['service', 'job']),
  owner: z.string().max(100),
  hostId: z.string().max(100),
  resources: resourcesSchema,
  /** The checkpoint from which the attempt resumes; absent if it starts from the beginning. */
  checkpoint: z.string().max(200).optional(),
  /**
   * Fixed for the attempt, because two nodes with different manifests could disagree on whether
   * renewals stop if each read it from its own manifest. If absent, `keep` applies to a service and
   * `checkpoint` to a job.
   */
  onOutage: z.enum(ON_OUTAGE).optional(),
});

/** Records the incarnation of a host's worker. Attempts bound later start only on it. */
const workerActionSchema = z.strictObject({
  type: z.literal('worker'),
  hostId: z.string().max(100),
  incarnation: z.string().max(100),
});

/** Ends the membership of a node that has been silent for a long time. It may join again. */
const leaveActionSchema = z.strictObject({
  type: z.literal('leave'),
  nodeId: z.string().max(100),
  incarnation: z.string().max(100),
});

const runningActionSchema = z.strictObject({
  type: z.literal('running'),
  ...attemptRef,
  /** The address of a service's endpoint as `ip:port`. */
  endpoint: z.string().max(200).optional(),
  /** The newest checkpoint, recorded so that it remains known if the worker is lost. */
  checkpoint: z.string().max(200).optional(),
});

const revokeActionSchema = z.strictObject({
  type: z.literal('revoke'),
  ...attemptRef,
  reason: z.string().max(200),
});

const endedActionSchema = z.strictObject({
  type: z.literal('ended'),
  ...attemptRef,
  outcome: z.enum(ATTEMPT_OUTCOMES),
  proof: z.enum(END_PROOFS),
  checkpoint: z.string().max(200).optional(),
  /** Work since that checkpoint in milliseconds; absent if the worker did not report it. */
  lostMs: z.number().min(0).optional(),
});

export const controlActionSchema = z.discriminatedUnion('type', [
  hostActionSchema,
  workerActionSchema,
  leaveActionSchema,
  bindActionSchema,
  runningActionSchema,
  revokeActionSchema,
  endedActionSchema,
]);

export type ControlAction = z.infer<typeof controlActionSchema>;
export type HostAction = z.infer<typeof hostActionSchema>;
export type WorkerAction = z.infer<typeof workerActionSchema>;
export type LeaveAction = z.infer<typeof leaveActionSchema>;
export type BindAction = z.infer<typeof bindActionSchema>;
export type RunningAction = z.infer<typeof runningActionSchema>;
export type RevokeAction = z.infer<typeof revokeActionSchema>;
export type EndedAction = z.infer<typeof endedActionSchema>;

/** Claims the data centre for a term. The first claim of a term in log order wins. */
const claimRecordSchema = z.strictObject({
  type: z.literal('claim'),
  id: z.string().max(100),
  term: z.int().min(1),
  holder: z.string().max(100),
});

/** Several decisions in one append, because the log accepts only a few hundred appends per second. */
const batchRecordSchema = z.strictObject({
  type: z.literal('batch'),
  id: z.string().max(100),
  term: z.int().min(1),
  holder: z.string().max(100),
  /**
   * The offset of the last batch that the writer had folded. If another batch has taken effect
   * since, the fold rejects this one: an abandoned append can reach the log late and must not undo
   * later decisions.
   */
  base: z.int().min(-1).optional(),
  actions: z.array(controlActionSchema).max(20_000),
});

/**
 * Adds a scheduler node to the members, which may act on workers. A node acts only after it has
 * folded its own join record, so a reader that has folded the stream knows every node that may act.
 */
const joinRecordSchema = z.strictObject({
  type: z.literal('join'),
  id: z.string().max(100),
  nodeId: z.string().max(100),
  incarnation: z.string().max(100),
});

export const controlRecordSchema = z.discriminatedUnion('type', [
  claimRecordSchema,
  batchRecordSchema,
  joinRecordSchema,
]);

export type ControlRecord = z.infer<typeof controlRecordSchema>;
export type ClaimRecord = z.infer<typeof claimRecordSchema>;
export type BatchRecord = z.infer<typeof batchRecordSchema>;
export type JoinRecord = z.infer<typeof joinRecordSchema>;

/** The stream on which operators publish manifests. */
export const MANIFEST_STREAM = 'manifest';

/** Returns the name of the stream that holds the decisions of one data centre. */
export function controlStream(dataCentre: string): string {
  return `control-${dataCentre}`;
}

/** A manifest as a record on the log. Readers recognize a repeated append by its `id`. */
export const manifestRecordSchema = z.object({
  type: z.literal('manifest'),
  id: z.string().max(100),
  manifest: z.unknown(),
});

export type ManifestRecord = z.infer<typeof manifestRecordSchema>;
