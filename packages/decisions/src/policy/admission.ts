import type { Job } from '@redwingcrank/protocol';
import { TIERS } from '@redwingcrank/protocol';
import type { PendingJob } from './pending-job.js';
import type { TeamUsage } from './team-usage.js';

/** For each period of this length without progress, a job is ranked one tier higher. */
export const AGING_MS = 600_000;

/** A deadline is at risk when fewer than this many run times are left after one more run. */
const MIN_SPARE_RUNS = 1;

/** Returns the time left until the job's deadline after one more run, in milliseconds. */
export function slackMs(job: Job, nowMs: number): number {
  if (job.deadline === undefined) return Infinity;
  return Date.parse(job.deadline) - nowMs - job.expectedRunMs;
}

/**
 * Returns the priority class of a job; lower classes are served first. Urgent jobs are in class 0.
 * In each tier, jobs whose deadline is at risk come first. A job that can no longer meet its
 * deadline is in the same class as the other jobs of its tier.
 */
export function priorityClassOf(job: Job, nowMs: number, waitedMs: number): number {
  if (job.urgent) return 0;
  const tier = Math.max(0, TIERS.indexOf(job.tier) - Math.floor(waitedMs / AGING_MS));
  const slack = slackMs(job, nowMs);
  const atRisk = slack >= 0 && slack < MIN_SPARE_RUNS * job.expectedRunMs;
  return 1 + 2 * tier + (atRisk ? 0 : 1);
}

const isDeadlineClass = (jobClass: number): boolean => jobClass % 2 === 1;

interface TeamQueue {
  readonly team: string;
  readonly jobs: PendingJob[];
  sorted: boolean;
}

/**
 * The waiting jobs of one priority class. The team with the smallest share goes first; in a class
 * of jobs with deadlines at risk, the team with the least slack. Within a team, the job with the
 * least slack goes first.
 */
export class AdmissionQueue {
  readonly #isDeadlineClass: boolean;

  readonly #usage: TeamUsage;

  readonly #nowMs: number;

  readonly #teams = new Map<string, TeamQueue>();

  constructor(jobClass: number, usage: TeamUsage, nowMs: number) {
    this.#isDeadlineClass = isDeadlineClass(jobClass);
    this.#usage = usage;
    this.#nowMs = nowMs;
  }

  add(pending: PendingJob): void {
    const { team } = pending.job;
    const queue = this.#teams.get(team);
    if (queue) queue.jobs.push(pending);
    else this.#teams.set(team, { team, jobs: [pending], sorted: false });
  }

  /** Returns the team to serve next, or undefined if the queue is empty. */
  nextTeam(): string | undefined {
    let best: TeamQueue | undefined;
    let bestKey = Infinity;
    for (const queue of this.#teams.values()) {
      const key = this.#sortKeyOf(queue);
      if (!best || key < bestKey) {
        best = queue;
        bestKey = key;
      }
    }
    return best?.team;
  }

  /** Returns the first job of the team. */
  head(team: string): PendingJob | undefined {
    const queue = this.#teams.get(team);
    if (!queue) return undefined;
    this.#sort(queue);
    return queue.jobs.at(-1);
  }

  /** Removes the team's first job from the queue. */
  drop(team: string): void {
    const queue = this.#teams.get(team);
    queue?.jobs.pop();
    if (queue?.jobs.length === 0) this.#teams.delete(team);
  }

  #sortKeyOf(queue: TeamQueue): number {
    if (!this.#isDeadlineClass) return this.#usage.share(queue.team);
    this.#sort(queue);
    const job = queue.jobs.at(-1)?.job;
    return job ? slackMs(job, this.#nowMs) : Infinity;
  }

  /** Sorts the first job to the end of the array, where its removal is cheap. */
  #sort(queue: TeamQueue): void {
    if (queue.sorted) return;
    Object.assign(queue, { sorted: true });
    const slacks = new Map(queue.jobs.map(({ job }) => [job, slackMs(job, this.#nowMs)]));
    const slackOf = ({ job }: PendingJob): number => slacks.get(job) ?? Infinity;
    queue.jobs.reverse().sort((a, b) => {
      const [left, right] = [slackOf(a), slackOf(b)];
      return left === right ? 0 : right - left;
    });
  }
}
