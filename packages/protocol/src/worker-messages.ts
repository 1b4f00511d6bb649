import { z } from 'zod';
import { resourcesSchema } from './resources.js';

const attemptRef = { taskId: z.string(), attempt: z.int().min(1) };

/**
 * A reading of the worker's monotonic clock in milliseconds, sent with every report. A lease counts
 * from the heartbeat that a renewal answers, so a renewal that is delayed on the network does not
 * extend the lease further than without the delay.
 */
const heartbeatSchema = z.number();

export const WORKER_TASK_STATES = ['running', 'completed', 'failed', 'stopped', 'lapsed'] as const;

export type WorkerTaskState = (typeof WORKER_TASK_STATES)[number];

const taskReportSchema = z.object({
  ...attemptRef,
  state: z.enum(WORKER_TASK_STATES),
  endpoint: z.string().optional(),
  checkpoint: z.string().optional(),
  /** Work in milliseconds since the checkpoint, or since the start if there is no checkpoint. */
  lostMs: z.number().min(0).optional(),
});

/** A past measurement of a task's usage. Reports may be lost, repeated or out of order. */
const usageReportSchema = z.object({
  ...attemptRef,
  cpu: z.number(),
  memoryMb: z.number(),
  /** The age of the measurement in milliseconds. */
  ageMs: z.number(),
  /** The tail latency in milliseconds of a service's own requests, if it has any. */
  latencyMs: z.number().optional(),
});

/** The answer of a worker to every call. */
export const workerReportSchema = z.object({
  hostId: z.string(),
  /** Changes when the worker restarts. */
  incarnation: z.string(),
  heartbeat: heartbeatSchema,
  /**
   * Whether tasks of an earlier incarnation may still run without being listed. While this is
   * true, the absence of an attempt from the list does not prove that it has ended.
   */
  orphans: z.boolean().default(false),
  tasks: z.array(taskReportSchema),
  usage: z.array(usageReportSchema),
});

/**
 * A report with the control-stream offset that the polling node had folded when it sent the call.
 * However late it arrives, it shows the worker's state after the record at that offset was written.
 */
export const polledReportSchema = z.object({ askedOffset: z.int(), report: workerReportSchema });

/**
 * Starts an attempt. The worker rejects the message if its heartbeat is from another incarnation or
 * older than the lease, so that a start delayed on the network does not run a task that has moved.
 */
export const startMessageSchema = z.object({
  ...attemptRef,
  incarnation: z.string(),
  heartbeat: heartbeatSchema,
  leaseMs: z.number(),
  kind: z.enum(['service', 'job']),
  owner: z.string(),
  resources: resourcesSchema,
  slots: z.int().optional(),
  connections: z.int().optional(),
  checkpoint: z.string().optional(),
});

export const renewMessageSchema = z.object({
  incarnation: z.string(),
  heartbeat: heartbeatSchema,
  leaseMs: z.number(),
  attempts: z.array(z.object(attemptRef)),
});

/** Ends an attempt. After the answer, the attempt has ended and will never start. */
export const stopMessageSchema = z.object(attemptRef);

export const checkpointMessageSchema = z.object(attemptRef);

export const throttleMessageSchema = z.object({
  ...attemptRef,
  /** The share of its resources that the task may use: above 0, at most 1. */
  share: z.number().positive().max(1),
});

export type TaskReport = z.infer<typeof taskReportSchema>;
export type UsageReport = z.infer<typeof usageReportSchema>;
export type WorkerReport = z.infer<typeof workerReportSchema>;
export type PolledReport = z.infer<typeof polledReportSchema>;
export type StartMessage = z.infer<typeof startMessageSchema>;
export type RenewMessage = z.infer<typeof renewMessageSchema>;
export type StopMessage = z.infer<typeof stopMessageSchema>;
export type CheckpointMessage = z.infer<typeof checkpointMessageSchema>;
export type ThrottleMessage = z.infer<typeof throttleMessageSchema>;
