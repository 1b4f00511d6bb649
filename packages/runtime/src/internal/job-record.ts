import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type { JobSpec, Schedule, StepSpec } from '@redwingcrank/jobs';
import { PLAIN_STEP } from '@redwingcrank/jobs';
import type { Decoded, FaultReason, RecordFault } from '../record-fault.js';
import type { Unchecked } from './parse-object.js';
import { parseObject } from './parse-object.js';

/**
 * Maximum number of tasks of one job, above the limits of all interfaces: a record with more tasks
 * would fill the memory of the leader that loads it.
 */
const MAX_TASKS = 100_000;

const faultOf = (reason: FaultReason, field: string): { readonly fault: RecordFault } => ({
  fault: { reason, field },
});

/** Marks the text of a job that is compressed; any other text is JSON. */
const COMPRESSED = 'z';

/** Jobs with longer texts are compressed, in bytes; earlier releases read no compressed ones. */
const MAX_PLAIN_BYTES = 196_608;

/** Maximum size of a job before its compression, in bytes; a longer one is not read. */
const MAX_TEXT_BYTES = 4 * 1024 * 1024;

/**
 * Encodes a job. Values that its steps leave out are not stored, and a long text is compressed: the
 * largest job that a caller may send would not fit into a record otherwise.
 */
export function encodeJob(spec: JobSpec): string {
  const text = JSON.stringify({ ...spec, steps: spec.steps.map(withoutDefaults) });
  if (Buffer.byteLength(text) <= MAX_PLAIN_BYTES) return text;
  return COMPRESSED + deflateRawSync(text).toString('base64');
}

/** Returns the fields of a step that differ from those of a plain step; its task count is required. */
function withoutDefaults(step: StepSpec): Partial<StepSpec> {
  const { taskCount, after, ...rest } = step;
  const changed = Object.entries(rest).filter(
    ([name, value]) => value !== PLAIN_STEP[name as keyof StepSpec],
  );
  return { taskCount, ...(after.length > 0 && { after }), ...Object.fromEntries(changed) };
}

/** Returns the JSON text of a job; undefined if it cannot be decompressed. */
function textOf(stored: string): string | undefined {
  if (!stored.startsWith(COMPRESSED)) return stored;
  try {
    const bytes = Buffer.from(stored.slice(COMPRESSED.length), 'base64');
    return inflateRawSync(bytes, { maxOutputLength: MAX_TEXT_BYTES }).toString('utf8');
  } catch {
    return undefined;
  }
}

/**
 * Decodes the job that a record stores under an id. All fields are checked, as a job with a field
 * of the wrong type would break decisions about all jobs: claims are summed up, and tasks are
 * counted.
 */
export function decodeJob(id: string, text: string): Decoded<JobSpec> {
  const job = parseObject<JobSpec>(textOf(text) ?? '');
  if (!job) return faultOf('unreadable', 'value');
  const { queue, payload, steps, schedule, acceptedMs } = job;
  if (job.id !== id) return faultOf('unknown-value', 'id');
  if (typeof queue !== 'string') return faultOf('wrong-type', 'queue');
  if (typeof payload !== 'string') return faultOf('wrong-type', 'payload');
  if (!isNonNegative(acceptedMs)) return faultOf('wrong-type', 'acceptedMs');
  if (!Array.isArray(steps) || steps.length === 0) return faultOf('wrong-type', 'steps');
  for (const [i, step] of steps.entries()) {
    const field = faultyStepField(step, i);
    if (field !== undefined) return faultOf('wrong-type', `steps[${i}]${field}`);
  }
  // Records of earlier releases lack some fields of a step.
  const fullSteps = steps.map((step: StepSpec) => ({ ...PLAIN_STEP, ...step }));
  const tasks = fullSteps.reduce((sum, { taskCount }) => sum + taskCount, 0);
  if (tasks > MAX_TASKS) return faultOf('wrong-type', 'steps');
  if (!isSchedule(schedule)) return faultOf('wrong-type', 'schedule');
  const base = { id, queue, payload, steps: fullSteps, acceptedMs };
  if (!schedule) return { value: base };
  // Earlier releases accepted counts that are not whole, and ran the last occurrence as well.
  return { value: { ...base, schedule: { ...schedule, count: Math.ceil(schedule.count) } } };
}

/**
 * Returns the path of the first field of a step with an invalid value; empty for the step itself.
 */
function faultyStepField(step: unknown, index: number): string | undefined {
  if (typeof step !== 'object' || step === null) return '';
  const { after, taskCount, ...rest } = step as Unchecked<StepSpec>;
  if (!Number.isSafeInteger(taskCount) || (taskCount as number) < 1) return '.taskCount';
  const isEarlier = (earlier: unknown): boolean =>
    Number.isSafeInteger(earlier) && (earlier as number) >= 0 && (earlier as number) < index;
  if (after !== undefined && !(Array.isArray(after) && after.every(isEarlier))) return '.after';
  const faultyField = Object.entries(rest).find(
    ([name, value]) => !hasFieldType(PLAIN_STEP, name, value),
  );
  return faultyField && `.${faultyField[0]}`;
}

/** Whether a value has the type of a field; fields of later releases may hold any value. */
function hasFieldType(plain: StepSpec, name: string, value: unknown): boolean {
  if (!Object.hasOwn(plain, name)) return true;
  const known = plain[name as keyof StepSpec];
  return typeof known === 'number' ? isNonNegative(value) : typeof value === typeof known;
}

function isSchedule(value: unknown): value is Schedule | undefined {
  if (value === undefined) return true;
  if (typeof value !== 'object' || value === null) return false;
  const { count, firstDueMs, intervalMs } = value as Unchecked<Schedule>;
  return isNonNegative(count) && Number.isFinite(firstDueMs) && isNonNegative(intervalMs);
}

function isNonNegative(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}
