import { z } from 'zod';
import { resourcesSchema } from './resources.js';

const attemptRef = { taskId: z.string(), attempt: z.int().min(1) };

/**
 * A number from the worker's own monotonic clock, in milliseconds, handed out with every report.
 * A lease counts from the heartbeat that a renewal answers, so a renewal that was delayed on the
 * wire extends nothing beyond what it would have when it was written.
 */
const heartbeatSchema = z.number();

export const WORKER_TASK_STATES = ['running', 'completed', 'failed', 'stopped', 'lapsed'] as const;

export type WorkerTaskState = (typeof WORKER_TASK_STATES)[number];

const taskReportSchema = z.object({
  ...attemptRef,
  state: z.enum(WORKER_TASK_STATES),
  endpoint: z.string().optional(),
  checkpoint: z.string().optional(),
  /** Work since the checkpoint, or since the start where there is none, in milliseconds. */
  lostMs: z.number().min(0).optional(),
});

/** Usage as measured some time ago; reports may be lost, repeated or out of order. */
const usageReportSchema = z.object({
  ...attemptRef,
  cpu: z.number(),
  memoryMb: z.number(),
  /** How late the measurement is, in milliseconds. */
  ageMs: z.number(),
  /** The tail latency of a service's own requests, in milliseconds, where it has any. */
  latencyMs: z.number().optional(),
});

/** What a worker answers to every call. */
export const workerReportSchema = z.object({
  hostId: z.string(),
  /** Changes when the worker restarts. */
  incarnation: z.string(),
  heartbeat: heartbeatSchema,
  /**
   * Whether tasks that an earlier incarnation started may still run without being listed. Until
   * the worker denies it, an attempt that is not listed may run there all the same.
   */
  orphans: z.boolean().default(false),
  tasks: z.array(taskReportSchema),
  usage: z.array(usageReportSchema),
});

/**
 * A report with the control-stream offset that the asking node had folded when it asked: the
 * report shows the worker as it was after that record was written, however late it arrives.
 */
export const polledReportSchema = z.object({ askedOffset: z.int(), report: workerReportSchema });

/**
 * The worker refuses it where the heartbeat is of another incarnation or older than the lease:
 * a start that was delayed on the wire must not run a task that has moved meanwhile.
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

/** Ends an attempt: after the answer it has ended and will never start. */
export const stopMessageSchema = z.object(attemptRef);

export const checkpointMessageSchema = z.object(attemptRef);

export const throttleMessageSchema = z.object({
  ...attemptRef,
  /** The part of its resources the task may use: above 0, at most 1. */
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
