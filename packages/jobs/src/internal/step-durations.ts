import type { JobProgress } from '../job-progress.js';
import { isFinal } from '../job.js';
import type { TaskRef } from '../task-ref.js';
import type { WorkerRun } from './worker-run.js';

/** Durations of the ended tasks of one occurrence of a step, in milliseconds. */
interface StepEntry {
  readonly ref: TaskRef;
  readonly durationsMs: number[];
}

/** Returns when a run began, as far as this leader knows. A start may wait before it is sent. */
export function beganMsOf({ startedMs, sendCompletedMs }: WorkerRun, nowMs: number): number {
  return Math.max(startedMs, Math.min(sendCompletedMs, nowMs));
}

/** Records how long the tasks of `speculative` steps took that ended under this leader. */
export class StepDurations {
  readonly #entries = new Map<string, StepEntry>();

  /** Records that a run has ended successfully. */
  ended(run: WorkerRun, nowMs: number): void {
    const { ref, spec } = run;
    if (!spec.speculative || spec.lasting || spec.gang) return;
    const key = keyOf(ref);
    const entry = this.#entries.get(key) ?? { ref, durationsMs: [] };
    this.#entries.set(key, entry);
    entry.durationsMs.push(nowMs - beganMsOf(run, nowMs));
  }

  /** Returns the median of the known durations of a step; undefined if none is known. */
  medianMs(ref: TaskRef): number | undefined {
    const entry = this.#entries.get(keyOf(ref));
    if (!entry) return undefined;
    const sorted = entry.durationsMs.sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length / 2)];
  }

  /** Drops the durations of occurrences that have ended. */
  prune(jobs: ReadonlyMap<string, JobProgress>): void {
    for (const [key, { ref }] of this.#entries) {
      const job = jobs.get(ref.jobId);
      if (!job || isFinal(job.state) || !job.occurrences.has(ref.occurrence))
        this.#entries.delete(key);
    }
  }
}

function keyOf({ jobId, occurrence, step }: TaskRef): string {
  return `${jobId}.${occurrence}.${step}`;
}
