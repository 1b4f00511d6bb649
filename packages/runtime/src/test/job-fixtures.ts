import type { JobSpec } from '@redwingcrank/jobs';
import { JobProgress, PLAIN_STEP } from '@redwingcrank/jobs';

/** A job with one task, which runs until it is stopped. */
export const LONG_RUNNING_JOB: JobSpec = {
  id: '00000000000000aa',
  queue: 'q',
  payload: 'p',
  steps: [{ ...PLAIN_STEP, lasting: true }],
  acceptedMs: 0,
};

/** Returns the progress of that job just after its start. */
export function startedProgress(): JobProgress {
  const progress = new JobProgress(LONG_RUNNING_JOB);
  progress.openDue(Date.now());
  progress.begin();
  return progress;
}
