import type { RoundLimits } from '@redwingcrank/jobs';
import { RoundsWorld } from './rounds-world.js';

/** What rounds of decisions cost at one size of the cluster. */
export interface RoundRow {
  readonly workers: number;
  readonly waiting: number;
  readonly rounds: number;
  readonly starts: number;
  readonly looks: number;
  /** Processor time of the longest round, in milliseconds. */
  readonly longestMs: number;
  /** Processor time of all rounds for each start, in microseconds. */
  readonly startMicros: number;
  /** Processor time of a round that starts nothing as there is no room left, in milliseconds. */
  readonly fullMs: number;
}

/** So many rounds at most are counted until one starts nothing. */
const MAX_ROUNDS = 1_000;

/** Rounds of a full cluster that are measured. */
const FULL_ROUNDS = 10;

function cpuMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1_000;
}

/** Decides until nothing more finds a place. */
export function roundCosts(workers: number, waiting: number, limits?: RoundLimits): RoundRow {
  const world = new RoundsWorld(workers, waiting);
  world.looks = 0;
  let rounds = 0;
  let starts = 0;
  let longestMs = 0;
  let allMs = 0;
  for (let hasMore = true; hasMore && rounds < MAX_ROUNDS;) {
    const beganMs = cpuMs();
    const { starts: started, isCutShort } = world.round(limits);
    const tookMs = cpuMs() - beganMs;
    hasMore = started > 0 || isCutShort;
    starts += started;
    rounds += 1;
    allMs += tookMs;
    longestMs = Math.max(longestMs, tookMs);
  }
  const { looks } = world;
  const beganMs = cpuMs();
  for (let i = 0; i < FULL_ROUNDS; i += 1) world.round(limits);
  const fullMs = (cpuMs() - beganMs) / FULL_ROUNDS;
  const startMicros = (allMs * 1_000) / Math.max(1, starts);
  return { workers, waiting, rounds, starts, looks, longestMs, startMicros, fullMs };
}
