import type { Job } from '@redwingcrank/protocol';
import { TIERS } from '@redwingcrank/protocol';
import type { PendingJob } from './pending-job.js';
import type { TeamUsage } from './team-usage.js';

/** A job that has waited for so long without progress counts as one tier above its own. */
export const AGING_MS = 600_000;

/** A job is at risk when less than this many of its run times are left after one more run. */
const RISK_RUNS = 1;

/** What is left until the job's deadline after one more run, in milliseconds. */
export function slackMs(job: Job, nowMs: number): number {
  if (job.deadline === undefined) return Infinity;
  return Date.parse(job.deadline) - nowMs - job.expectedRunMs;
}

/**
 * The class of a job: lower ones are served first. Urgent work is 0. Of each tier those whose
 * deadline is at risk come first; those whose deadline is past wait with the rest.
 */
export function priorityClassOf(job: Job, nowMs: number, waitedMs: number): number {
  if (job.urgent) return 0;
  const tier = Math.max(0, TIERS.indexOf(job.tier) - Math.floor(waitedMs / AGING_MS));
  const slack = slackMs(job, nowMs);
  const atRisk = slack >= 0 && slack < RISK_RUNS * job.expectedRunMs;
  return 1 + 2 * tier + (atRisk ? 0 : 1);
}

const isByDeadline = (jobClass: number): boolean => jobClass % 2 === 1;

interface TeamLine {
  readonly team: string;
  readonly jobs: PendingJob[];
  sorted: boolean;
}

/**
 * The jobs of one class. The team with the smallest share goes first (the least slack where
 * deadlines are at risk), and of its jobs the one with the least slack.
 */
export class AdmissionQueue {
  readonly #byDeadline: boolean;

  readonly #usage: TeamUsage;

  readonly #nowMs: number;

  readonly #teams = new Map<string, TeamLine>();

  constructor(jobClass: number, usage: TeamUsage, nowMs: number) {
    this.#byDeadline = isByDeadline(jobClass);
    this.#usage = usage;
    this.#nowMs = nowMs;
  }

  add(pending: PendingJob): void {
    const { team } = pending.job;
    const line = this.#teams.get(team);
    if (line) line.jobs.push(pending);
    else this.#teams.set(team, { team, jobs: [pending], sorted: false });
  }

  /** The team whose turn it is, or undefined when nothing is left. */
  nextTeam(): string | undefined {
    let best: TeamLine | undefined;
    let bestKey = Infinity;
    for (const line of this.#teams.values()) {
      const key = this.#keyOf(line);
      if (!best || key < bestKey) {
        best = line;
        bestKey = key;
      }
    }
    return best?.team;
  }

  /** The team's job whose turn it is. */
  head(team: string): PendingJob | undefined {
    const line = this.#teams.get(team);
    if (!line) return undefined;
    this.#sort(line);
    return line.jobs.at(-1);
  }

  /** Takes the team's first job out of the line. */
  drop(team: string): void {
    const line = this.#teams.get(team);
    line?.jobs.pop();
    if (line?.jobs.length === 0) this.#teams.delete(team);
  }

  #keyOf(line: TeamLine): number {
    if (!this.#byDeadline) return this.#usage.share(line.team);
    this.#sort(line);
    const job = line.jobs.at(-1)?.job;
    return job ? slackMs(job, this.#nowMs) : Infinity;
  }

  /** The last one is the first in line, so that taking it out is cheap. */
  #sort(line: TeamLine): void {
    if (line.sorted) return;
    Object.assign(line, { sorted: true });
    const slacks = new Map(line.jobs.map(({ job }) => [job, slackMs(job, this.#nowMs)]));
    const slackOf = ({ job }: PendingJob): number => slacks.get(job) ?? Infinity;
    line.jobs.reverse().sort((a, b) => {
      const [left, right] = [slackOf(a), slackOf(b)];
      return left === right ? 0 : right - left;
    });
  }
}
