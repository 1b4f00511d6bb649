import { JobProgress, Scheduler } from '@redwingcrank/jobs';
import type { LogFields, NodeLog } from '../node-log.js';
import { steadyMs } from './delay.js';
import type { FormerLeases } from './former-leases.js';
import { STALL_TIMEOUT_MS, STOP_RETRY_MS, withClockDrift } from './timing.js';
import type { StoredJob } from './work-table.js';

/** Decisions based on the workers' entries: their log lines include the ages of the views. */
const VIEW_BASED_EVENTS: ReadonlySet<string> = new Set(['bound', 'worker-leaves']);

/** Creates the scheduler of a term that starts now; `leaseMs` is the length of its leases. */
export function createScheduler(
  log: NodeLog,
  leaseMs: number,
  { generalEndMs }: FormerLeases,
  viewAges: () => LogFields,
): Scheduler {
  const timing = {
    leaseMs: withClockDrift(leaseMs),
    inheritedLeaseMs: Math.max(0, generalEndMs - steadyMs()),
    stallTimeoutMs: STALL_TIMEOUT_MS,
    stopRetryMs: STOP_RETRY_MS,
  };
  return new Scheduler(timing, steadyMs(), (event, fields) =>
    log.emit('info', event, VIEW_BASED_EVENTS.has(event) ? { ...fields, ...viewAges() } : fields),
  );
}

/**
 * Loads a stored job with its progress into the scheduler; a job whose progress is uncertain is
 * skipped.
 */
export function loadJob(scheduler: Scheduler, job: StoredJob): void {
  const { spec, progress, changedMs, isUnsure, cancelled } = job;
  if (isUnsure) return;
  scheduler.addJob(
    progress === undefined ? new JobProgress(spec) : JobProgress.decode(spec, progress),
    changedMs,
  );
  if (cancelled) scheduler.cancel(spec.id, Date.now());
}
