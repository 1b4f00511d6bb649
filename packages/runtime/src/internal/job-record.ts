import type { JobSpec, Schedule, StepSpec } from '@redwingcrank/jobs';
import { PLAIN_STEP } from '@redwingcrank/jobs';
import type { Decoded, FaultReason, RecordFault } from '../record-fault.js';
import type { Unchecked } from './parse-object.js';
import { parseObject } from './parse-object.js';

/**
 * Tasks of one job at most, above what any interface takes: a record with more would fill the
 * memory of the node that takes it on.
 */
const MAX_TASKS = 100_000;

const faulty = (reason: FaultReason, field: string): { readonly fault: RecordFault } => ({
  fault: { reason, field },
});

export function encodeJob(spec: JobSpec): string {
  return JSON.stringify(spec);
}

/**
 * The job that a record holds under an id. A job with one part of another type would be found out
 * in the middle of everybody's decisions: claims are summed up, and tasks are counted.
 */
export function decodeJob(id: string, text: string): Decoded<JobSpec> {
  const job = parseObject<JobSpec>(text);
  if (!job) return faulty('unreadable', 'value');
  const { queue, payload, steps, schedule, acceptedMs } = job;
  if (job.id !== id) return faulty('unknown-value', 'id');
  if (typeof queue !== 'string') return faulty('wrong-type', 'queue');
  if (typeof payload !== 'string') return faulty('wrong-type', 'payload');
  if (!isAmount(acceptedMs)) return faulty('wrong-type', 'acceptedMs');
  if (!Array.isArray(steps) || steps.length === 0) return faulty('wrong-type', 'steps');
  for (const [i, step] of steps.entries()) {
    const field = faultInStep(step, i);
    if (field !== undefined) return faulty('wrong-type', `steps[${i}]${field}`);
  }
  // An earlier release did not know every field of a step.
  const whole = steps.map((step: StepSpec) => ({ ...PLAIN_STEP, ...step }));
  const tasks = whole.reduce((sum, { taskCount }) => sum + taskCount, 0);
  if (tasks > MAX_TASKS) return faulty('wrong-type', 'steps');
  if (!isSchedule(schedule)) return faulty('wrong-type', 'schedule');
  const base = { id, queue, payload, steps: whole, acceptedMs };
  return { value: schedule ? { ...base, schedule } : base };
}

/** The field of a step that holds no such value; empty for the step itself. */
function faultInStep(step: unknown, index: number): string | undefined {
  if (typeof step !== 'object' || step === null) return '';
  const { after, taskCount, ...rest } = step as Unchecked<StepSpec>;
  if (!Number.isSafeInteger(taskCount) || (taskCount as number) < 1) return '.taskCount';
  const isEarlier = (earlier: unknown): boolean =>
    Number.isSafeInteger(earlier) && (earlier as number) >= 0 && (earlier as number) < index;
  if (after !== undefined && !(Array.isArray(after) && after.every(isEarlier))) return '.after';
  const wrong = Object.entries(rest).find(([name, value]) => !isLike(PLAIN_STEP, name, value));
  return wrong && `.${wrong[0]}`;
}

/** Whether a value has the type of a field; fields of a later release may hold anything. */
function isLike(plain: StepSpec, name: string, value: unknown): boolean {
  if (!Object.hasOwn(plain, name)) return true;
  const known = plain[name as keyof StepSpec];
  return typeof known === 'number' ? isAmount(value) : typeof value === typeof known;
}

function isSchedule(value: unknown): value is Schedule | undefined {
  if (value === undefined) return true;
  if (typeof value !== 'object' || value === null) return false;
  const { count, firstDueMs, intervalMs } = value as Unchecked<Schedule>;
  return isAmount(count) && Number.isFinite(firstDueMs) && isAmount(intervalMs);
}

function isAmount(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}
