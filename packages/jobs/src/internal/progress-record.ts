import type { JobSpec, JobState } from '../job.js';
import type { TaskPhase } from '../job-progress.js';

/** 0: never started; 1: done; else the phase's number, run, worker, failures and checkpoint. */
export type TaskTuple = 0 | 1 | [number, number, string, number, string];

/** How a job's progress is stored. */
export interface ProgressRecord {
  s: JobState;
  /** When the job reached a final state. */
  e?: number;
  /** Occurrences with a smaller number are over, or under way and listed. */
  b: number;
  o: [number, TaskTuple[][]][];
}

/** The phases by their number in a record. */
export const PHASES: readonly TaskPhase[] = ['waiting', 'bound', 'done', 'failed'];

const STATES: readonly unknown[] = [
  'queued',
  'running',
  'completed',
  'failed',
  'cancelled',
] satisfies JobState[];

/**
 * The progress of a job as it was stored; undefined for a text that is none, or not of this job.
 * Every part is looked at: a scheduling node that meets a task which is not there, or a run without
 * a worker, would fail at it in each round, and nobody's tasks would begin.
 */
export function parseProgress(spec: JobSpec, text: string): ProgressRecord | undefined {
  const rec = parseJson(text) as Partial<ProgressRecord> | null | undefined;
  if (typeof rec !== 'object' || rec === null) return undefined;
  const { s, e, b, o } = rec;
  if (!STATES.includes(s) || !isCount(b) || !Array.isArray(o)) return undefined;
  if (e !== undefined && !Number.isFinite(e)) return undefined;
  return o.every((entry) => isOccurrence(spec, b, entry)) ? (rec as ProgressRecord) : undefined;
}

function isOccurrence(spec: JobSpec, opened: number, entry: unknown): boolean {
  if (!Array.isArray(entry)) return false;
  const [number, steps] = entry as unknown[];
  if (!isCount(number) || number >= opened || !Array.isArray(steps)) return false;
  if (steps.length !== spec.steps.length) return false;
  return spec.steps.every(({ taskCount }, i) => {
    const tasks: unknown = steps[i];
    return Array.isArray(tasks) && tasks.length === taskCount && tasks.every(isTask);
  });
}

function isTask(tuple: unknown): boolean {
  if (tuple === 0 || tuple === 1) return true;
  if (!Array.isArray(tuple)) return false;
  const [phase, run, worker, failures, checkpoint] = tuple as unknown[];
  if (!isCount(phase) || phase >= PHASES.length) return false;
  if (!isCount(run) || !isCount(failures)) return false;
  return typeof worker === 'string' && typeof checkpoint === 'string';
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
