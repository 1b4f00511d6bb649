import type { StepSpec } from '../job.js';
import type { JobProgress, TaskProgress } from '../job-progress.js';
import type { TaskRef } from '../task-ref.js';
import type { WorkerEntry } from '../worker.js';
import { runsOf } from './task-runs.js';
import type { WorkerRun } from './worker-run.js';

/** Yields every run of a job that a worker has or may have, with its task's progress otherwise. */
export function* boundRuns(job: JobProgress): Generator<[TaskRef, TaskProgress]> {
  for (const { number, steps } of job.occurrences.values()) {
    for (const [step, tasks] of steps.entries()) {
      for (const [index, task] of tasks.entries()) {
        const ref = { jobId: job.spec.id, occurrence: number, step, index };
        for (const { run, worker } of runsOf(task)) yield [ref, { ...task, run, worker }];
      }
    }
  }
}

/** Returns the tasks of the step of a task; none if its occurrence has ended. */
export function stepTasks(job: JobProgress, ref: TaskRef): readonly TaskProgress[] {
  return job.occurrences.get(ref.occurrence)?.steps[ref.step] ?? [];
}

/** Returns the progress of one task; undefined if its occurrence has ended. */
export function findTask(job: JobProgress, ref: TaskRef): TaskProgress | undefined {
  return job.occurrences.get(ref.occurrence)?.steps[ref.step]?.[ref.index];
}

/** Returns the state of a run that is about to be ordered. */
export function newRun(
  ref: TaskRef,
  { run, checkpoint, crashWeight = 0 }: Pick<TaskProgress, 'run' | 'checkpoint' | 'crashWeight'>,
  spec: StepSpec,
  nowMs: number,
): WorkerRun {
  return {
    ref,
    run,
    spec,
    startedMs: nowMs,
    sendCompletedMs: Infinity,
    sendCount: 0,
    unreportedLeaseEndMs: -Infinity,
    confirmed: false,
    isHarmless: false,
    isSuspect: crashWeight > 0,
    stopSentMs: 0,
    stopReason: undefined,
    checkpoint,
    checkpointedMs: nowMs,
    percent: -1,
    progressedMs: nowMs,
    measure: 0,
    missedTargetSinceMs: 0,
    missedBesideMs: 0,
    pace: 100,
  };
}

/** Returns an entry for a worker that is named in records but not listed by the store. */
export function unlistedEntry(id: string): WorkerEntry {
  return {
    id,
    address: '',
    pool: '',
    dataCentre: '',
    draining: true,
    remainingMs: 0,
    capacity: { cpuMilli: 0, memMb: 0, gpus: 0 },
    labels: [],
  };
}
