import type { JobDelay, JobSpec, QueuePolicy } from '@redwingcrank/jobs';
import { ReturnSchedule, jobDelayOf } from '@redwingcrank/jobs';
import type { LogFields, NodeLog } from '../node-log.js';
import type { LeaderRecord } from './work-records.js';

/** The refusal of a job that would start too late to be of use. */
export interface DelayRefusal {
  /** In how many milliseconds the caller should return. */
  readonly returnInMs: number;
  /** The delay and its limit, for the log. */
  readonly fields: LogFields;
}

/** Refuses jobs by the delays that the leader's record states, and logs the callers that return. */
export class DelayRefusals {
  readonly #schedule = new ReturnSchedule();

  readonly #log: NodeLog;

  constructor(log: NodeLog) {
    this.#log = log;
  }

  /**
   * Decides about a job that is submitted; `leader` is the leader's record, undefined if it is too
   * old. Returns undefined if the delay is no reason to refuse the job.
   */
  check(
    spec: JobSpec,
    queue: QueuePolicy,
    leader: LeaderRecord | undefined,
    nowMs: number,
  ): DelayRefusal | undefined {
    const delay = jobDelayIn(leader, spec, queue);
    const decision = this.#schedule.decide(spec.id, delay, leader?.nodes, nowMs);
    const { returnInMs, sinceRefusalMs } = decision;
    const delayMs = Math.round(decision.delayMs);
    if (sinceRefusalMs !== undefined) {
      this.#log.emit('info', 'submit-returned', {
        job: spec.id,
        queue: spec.queue,
        outcome: returnInMs === undefined ? 'admitted' : 'refused',
        sinceRefusalMs: Math.round(sinceRefusalMs),
        delayMs,
      });
    }
    if (returnInMs === undefined) return undefined;
    return { returnInMs, fields: { delayMs, limitMs: Math.round(delay!.limitMs) } };
  }
}

function jobDelayIn(
  leader: LeaderRecord | undefined,
  spec: JobSpec,
  queue: QueuePolicy,
): JobDelay | undefined {
  if (!leader?.startDelayMs || !leader.workRates) return undefined;
  const { startDelayMs, workRates } = leader;
  return jobDelayOf(spec, queue, { startDelayMs, workRates });
}
