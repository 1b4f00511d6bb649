import type { JobSpec, JobState, StepSpec } from '../job.js';
import type { TaskPhase } from '../job-progress.js';
import { decodeCompact, isCompact } from './compact-progress.js';
import { windowOf } from './occurrence-window.js';

/**
 * 0: never started; 1: done; otherwise the phase's index, run, worker, failures, checkpoint and, if
 * it is above 0, the crash weight. A task with a copy has its crash weight, whatever it is, and the
 * run and the worker of the copy.
 */
export type TaskTuple = 0 | 1 | [number, number, string, number, string, number?, number?, string?];

/** The number of parts of a started task without a crash weight. */
const MIN_PARTS = 5;

/** The number of parts of a started task with a crash weight. */
const CRASHED_PARTS = 6;

/** The number of parts of a started task with a copy. */
const COPIED_PARTS = 8;

/** A job's progress in the form of its record. */
export interface ProgressRecord {
  s: JobState;
  /** When the job reached a final state, as time of day in milliseconds. */
  e?: number;
  /** Occurrences with a smaller number have ended, or are open and listed in `o`. */
  b: number;
  o: [number, TaskTuple[][]][];
}

/** The phases; a record stores their indexes. */
export const PHASES: readonly TaskPhase[] = ['waiting', 'bound', 'done', 'failed'];

const BOUND = PHASES.indexOf('bound');

const STATES: readonly unknown[] = [
  'queued',
  'running',
  'completed',
  'failed',
  'cancelled',
] satisfies JobState[];

/**
 * Parses the stored progress of a job. Returns undefined if the text is not progress, or not of
 * this job. Every part is checked: a leader that found a task that does not exist, or a run without
 * a worker, would fail in each round, and no job's tasks would start.
 */
export function parseProgress(spec: JobSpec, text: string): ProgressRecord | undefined {
  const maxTasks = Math.max(0, ...spec.steps.map(({ taskCount }) => taskCount));
  const parsed = isCompact(text) ? decodeCompact(text, maxTasks, windowOf(spec)) : parseJson(text);
  const rec = parsed as Partial<ProgressRecord> | null | undefined;
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
  return spec.steps.every((step, i) => {
    const tasks: unknown = steps[i];
    if (!Array.isArray(tasks) || tasks.length !== step.taskCount) return false;
    return tasks.every((tuple: unknown) => isTask(step, tuple));
  });
}

function isTask(step: StepSpec, tuple: unknown): boolean {
  if (tuple === 0 || tuple === 1) return true;
  if (!Array.isArray(tuple)) return false;
  const isCopied = tuple.length === COPIED_PARTS;
  if (isCopied && !(step.speculative && hasValidCopy(tuple))) return false;
  if (!isCopied && (tuple.length < MIN_PARTS || tuple.length > CRASHED_PARTS)) return false;
  const [phase, run, worker, failures, checkpoint, crashWeight = 0] = tuple as unknown[];
  if (!isCount(phase) || phase >= PHASES.length) return false;
  if (!isCount(run) || !isCount(failures) || !isCount(crashWeight)) return false;
  return typeof worker === 'string' && typeof checkpoint === 'string';
}

/**
 * Whether the copy of a task has a number and a worker of its own. With those of the first run, one
 * run would be taken for two.
 */
function hasValidCopy(tuple: readonly unknown[]): boolean {
  const [phase, run, worker, , , , copyRun, copyWorker] = tuple;
  if (phase !== BOUND || !isCount(copyRun) || copyRun <= (run as number)) return false;
  return typeof copyWorker === 'string' && copyWorker !== worker;
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
