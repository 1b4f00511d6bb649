import type { EndedAction } from '@redwingcrank/protocol';
import type { ControlFold } from '../control-fold.js';
import { Colocation } from './colocation.js';
import { HostHealth } from './host-health.js';

/**
 * State that a scheduler keeps between passes and that is not in the control stream. Losing it with
 * the process costs time, because waiting times start again at 0, but never correctness.
 */
export class SchedulingMemory {
  readonly health = new HostHealth();

  readonly colocation = new Colocation();

  readonly #waitingSince = new Map<string, number>();

  /** Returns how long a job has waited without any of its tasks being placed, in milliseconds. */
  waitedMs(job: string, nowMs: number): number {
    const since = this.#waitingSince.get(job);
    if (since !== undefined) return Math.max(0, nowMs - since);
    this.#waitingSince.set(job, nowMs);
    return 0;
  }

  /** Observes the end of an attempt before its record is folded; repeated calls have no effect. */
  ended(fold: ControlFold, { taskId, attempt, outcome }: EndedAction, nowMs: number): void {
    const task = fold.tasks.get(taskId);
    if (task?.attempt !== attempt) return;
    const { hostId, owner } = task;
    this.health.observe({ hostId, taskId, attempt, owner, outcome }, nowMs);
  }

  /** Restarts the waiting time of a job when one of its tasks was placed. */
  restartWait(job: string, nowMs: number): void {
    this.#waitingSince.set(job, nowMs);
  }

  /** Forgets the waiting time of a job that has no waiting tasks. */
  endWait(job: string): void {
    this.#waitingSince.delete(job);
  }

  /** Forgets all jobs other than those in `jobs`, the jobs of the manifest. */
  retain(jobs: { has(job: string): boolean }): void {
    for (const job of this.#waitingSince.keys()) {
      if (!jobs.has(job)) this.#waitingSince.delete(job);
    }
  }
}
