import { capacityClassOf, isAlwaysAccepted, refusalKeyOf } from './admission.js';
import type { JobSpec, QueuePolicy } from './job.js';
import { newJobWorkOf } from './internal/remaining-work.js';
import { criticalPathsMs, objectiveMsOf, worthlessAfterMs } from './internal/urgency.js';

/** How long new jobs wait for their first start, by the key that `refusalKeyOf` returns. */
export interface StartDelays {
  /** The delay, in milliseconds. */
  readonly startDelayMs: Readonly<Record<string, number>>;
  /**
   * The work that the capacity class completes, in core milliseconds of the callers' estimates a
   * millisecond.
   */
  readonly workRates: Readonly<Record<string, number>>;
}

/** The delay of a job that is submitted now, and how much of it the job can bear. */
export interface JobDelay {
  /** The capacity class and priority that delay the job. */
  readonly key: string;
  readonly delayMs: number;
  /** A job that starts later than this cannot end in time, in milliseconds. */
  readonly inTimeMs: number;
  /** A job that starts later than this ends after three times its objective, in milliseconds. */
  readonly limitMs: number;
  /** The work of the job, in core milliseconds of its estimate. */
  readonly work: number;
  /** The work that is completed a millisecond, in core milliseconds of the estimates. */
  readonly rate: number;
}

/**
 * Returns the longest delay among the capacity classes of a job; undefined if none is known. Jobs
 * without estimates have no known objective, and long-running and scheduled jobs have none: they
 * are accepted whatever the delay.
 */
export function jobDelayOf(
  spec: JobSpec,
  queue: QueuePolicy,
  { startDelayMs, workRates }: StartDelays,
): JobDelay | undefined {
  const pathMs = Math.max(...criticalPathsMs(spec));
  if (isAlwaysAccepted(spec) || pathMs === 0) return undefined;
  let key = '';
  for (const { fills } of spec.steps) {
    const stepKey = refusalKeyOf(capacityClassOf(queue.pool, fills), queue.priority);
    const isKnown = startDelayMs[stepKey] !== undefined && workRates[stepKey] !== undefined;
    if (isKnown && startDelayMs[stepKey]! > (startDelayMs[key] ?? 0)) key = stepKey;
  }
  if (key === '') return undefined;
  return {
    key,
    delayMs: startDelayMs[key]!,
    inTimeMs: objectiveMsOf(spec, queue) - pathMs,
    limitMs: worthlessAfterMs(spec, queue) - pathMs,
    work: newJobWorkOf(spec),
    rate: workRates[key]!,
  };
}
