import { getHeapStatistics } from 'node:v8';
import type { JobSpec } from '@redwingcrank/jobs';

/** What a job takes in the memory of the node that schedules, in bytes, with its stored progress. */
const JOB_BYTES = 1_200;

/** What each of its steps takes, in bytes. */
const STEP_BYTES = 350;

/** What each task of an open occurrence takes, in bytes. */
const TASK_BYTES = 100;

/** What a character of a text takes, in bytes. */
const CHAR_BYTES = 2;

/** The share of the memory for objects that jobs may take; any node may have to schedule them. */
const MAX_SHARE = 0.4;

/** Jobs that take more than this, in bytes, leave a part of that to smaller ones. */
const SMALL_JOB_BYTES = 32_768;

/** The part of the memory for jobs that larger ones may take. */
const LARGE_JOBS_SHARE = 0.75;

/** When callers may retry a job for which there is no memory, in milliseconds. */
export const MEMORY_RETRY_MS = 5_000;

/** Returns how many bytes all jobs together may take. */
export function maxJobBytes(): number {
  return MAX_SHARE * getHeapStatistics().heap_size_limit;
}

/** Returns whether a job fits beside jobs that take `usedBytes`, if all may take `maxBytes`. */
export function fitsInMemory(spec: JobSpec, usedBytes: number, maxBytes: number): boolean {
  const bytes = jobBytesOf(spec, false);
  const share = bytes > SMALL_JOB_BYTES ? LARGE_JOBS_SHARE : 1;
  return usedBytes + bytes <= share * maxBytes;
}

/** Returns about how many bytes a job takes; an ended one has no tasks. */
export function jobBytesOf({ payload, steps }: JobSpec, hasEnded: boolean): number {
  const base = JOB_BYTES + CHAR_BYTES * payload.length + STEP_BYTES * steps.length;
  if (hasEnded) return base;
  return base + TASK_BYTES * steps.reduce((sum, { taskCount }) => sum + taskCount, 0);
}
