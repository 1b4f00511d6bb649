import type { StepSpec } from '../job.js';
import type { TaskRef } from '../task-ref.js';
import type { StopReason } from './stop-reason.js';

/** A run that occupies, or may occupy, capacity on a worker. */
export interface WorkerRun {
  readonly ref: TaskRef;
  readonly run: number;
  readonly spec: StepSpec;
  readonly startedMs: number;
  /**
   * A report that was requested after this time and does not list the run proves that it will never
   * run. Infinity while the start is being sent.
   */
  sendCompletedMs: number;
  /** How many attempts to start it may have reached the worker. */
  sendCount: number;
  /**
   * Until when the run may hold a lease if a process that has not reported since has taken its start:
   * a worker that restarts under its id counts the deadline of the start on another clock. -Infinity
   * once a report lists the run, and for workers that never restart under their ids.
   */
  unreportedLeaseEndMs: number;
  /** Whether the worker has confirmed that the run is, or was, there. */
  confirmed: boolean;
  /**
   * Whether the run is known not to crash its worker: it has worked there for some time, or is over.
   */
  isHarmless: boolean;
  /** Whether its task is a suspect: workers crashed under its former runs. */
  readonly isSuspect: boolean;
  /** When the latest stop was sent; 0 before the first. */
  stopSentMs: number;
  /** The reason of the first stop; undefined before that. */
  stopReason: StopReason | undefined;
  checkpoint: string;
  /** When its checkpoint last changed, or when the run was ordered if it has none. */
  checkpointedMs: number;
  percent: number;
  /** When the run last made progress: `percent` changed or was 100, or the pace was changed. */
  progressedMs: number;
  measure: number;
  /**
   * Since when every report has had the run's tail latency over its target; 0 if the latest did
   * not.
   */
  missedTargetSinceMs: number;
  /** For how much of that time best-effort tasks have worked on the worker, in milliseconds. */
  missedBesideMs: number;
  /** The share of its speed at which the run was last ordered to work, in percent. */
  pace: number;
}

/**
 * Returns the processor time of a run that is not covered by a checkpoint, in milliseconds; the
 * next start has to repeat it.
 */
export function lostCpuMs({ spec, confirmed, checkpointedMs }: WorkerRun, nowMs: number): number {
  if (!confirmed || spec.lasting) return 0;
  return Math.round((spec.cpuMilli / 1_000) * (nowMs - checkpointedMs));
}
