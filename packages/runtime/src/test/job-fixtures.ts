import type { JobSpec } from '@redwingcrank/jobs';
import { JobProgress, PLAIN_STEP } from '@redwingcrank/jobs';

/** A job with one task, which goes on until it is stopped. */
export const LONG_RUNNING_JOB: JobSpec = {
  id: '00000000000000aa',
  queue: 'q',
  payload: 'p',
  steps: [{ ...PLAIN_STEP, lasting: true }],
  acceptedMs: 0,
};

/** The progress of that job when it has just begun. */
export function startedProgress(): JobProgress {
  const progress = new JobProgress(LONG_RUNNING_JOB);
  progress.openDue(Date.now());
  progress.markRunning();
  return progress;
}
