import { JobProgress, Scheduler } from '@redwingcrank/jobs';
import type { LogFields, NodeLog } from '../node-log.js';
import { steadyMs } from './delay.js';
import type { FormerLeases } from './former-leases.js';
import { STALL_TIMEOUT_MS, STOP_RETRY_MS, withClockDrift } from './timing.js';
import type { StoredJob } from './work-table.js';

/** Decisions by the workers' entries: their lines tell how old the views were. */
const BY_VIEWS: ReadonlySet<string> = new Set(['bound', 'worker-leaves']);

/** The scheduler of a term that begins now, whose leases last so many milliseconds. */
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
    log.emit('info', event, BY_VIEWS.has(event) ? { ...fields, ...viewAges() } : fields),
  );
}

/** Hands a stored job over, as far as it has come; one whose progress is not known is left alone. */
export function loadJob(scheduler: Scheduler, job: StoredJob): void {
  const { spec, progress, changedMs, isUnsure, cancelled } = job;
  if (isUnsure) return;
  scheduler.addJob(
    progress === undefined ? new JobProgress(spec) : JobProgress.decode(spec, progress),
    changedMs,
  );
  if (cancelled) scheduler.cancel(spec.id, Date.now());
}
