import type { EndedAction } from '@redwingcrank/protocol';
import type { ControlFold } from '../control-fold.js';
import { Colocation } from './colocation.js';
import { HostHealth } from './host-health.js';

/**
 * What a scheduler remembers from pass to pass and the control stream does not hold. Losing it
 * with the process costs time (ages start again), never correctness.
 */
export class SchedulingMemory {
  readonly health = new HostHealth();

  readonly colocation = new Colocation();

  readonly #waitingSince = new Map<string, number>();

  /** How long a job has waited without any of its tasks being placed, in milliseconds. */
  waitedMs(job: string, nowMs: number): number {
    const since = this.#waitingSince.get(job);
    if (since !== undefined) return Math.max(0, nowMs - since);
    this.#waitingSince.set(job, nowMs);
    return 0;
  }

  /** Takes note of an end before its record is folded; ends that are seen again do no harm. */
  ended(fold: ControlFold, { taskId, attempt, outcome }: EndedAction, nowMs: number): void {
    const task = fold.tasks.get(taskId);
    if (task?.attempt !== attempt) return;
    const { hostId, owner } = task;
    this.health.observe({ hostId, taskId, attempt, owner, outcome }, nowMs);
  }

  /** Takes note that a task of the job was placed: its age starts again. */
  restartWait(job: string, nowMs: number): void {
    this.#waitingSince.set(job, nowMs);
  }

  /** Forgets a job that waits for nothing. */
  endWait(job: string): void {
    this.#waitingSince.delete(job);
  }

  /** Forgets the jobs that are in no manifest any more. */
  retain(jobs: { has(job: string): boolean }): void {
    for (const job of this.#waitingSince.keys()) {
      if (!jobs.has(job)) this.#waitingSince.delete(job);
    }
  }
}
