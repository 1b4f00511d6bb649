import fc from 'fast-check';
import { Coverage } from './coverage.js';
import type { FuzzTarget } from './fuzz-target.js';

export interface FuzzSettings {
  readonly seed: number;
  readonly runs: number;
  /** The path of a failing case, as printed by an earlier run. */
  readonly path?: string | undefined;
}

export interface FuzzRun {
  readonly target: string;
  readonly seed: number;
  readonly failed: boolean;
  readonly steps: number;
  /** How often each coverage point was hit. */
  readonly hits: Readonly<Record<string, number>>;
  /** The shrunk, replayable case, or the coverage points never hit; empty on success. */
  readonly report: string;
}

/** Runs one target; the run fails if one of the target's coverage points was never hit. */
export async function runTarget(target: FuzzTarget, settings: FuzzSettings): Promise<FuzzRun> {
  const coverage = new Coverage();
  const { seed, runs, path } = settings;
  const parameters = { seed, numRuns: runs, ...(path !== undefined && { path }) };
  const details = await fc.check(target.property(coverage), parameters);
  const hits = Object.fromEntries(
    target.coveragePoints.map((name) => [name, coverage.count(name)]),
  );
  const missed = target.coveragePoints.filter((name) => coverage.count(name) === 0);
  const counterexample = details.failed
    ? ((await fc.asyncDefaultReportMessage(details)) ?? 'failed')
    : '';
  // A replay of one case need not hit every coverage point.
  const missedText =
    path === undefined && missed.length > 0
      ? `coverage points never hit: ${missed.join(', ')}`
      : '';
  const errorMessage = details.errorInstance instanceof Error ? details.errorInstance.message : '';
  const report = [errorMessage, counterexample, missedText].filter(Boolean).join('\n');
  return { target: target.name, seed, failed: report !== '', steps: coverage.steps, hits, report };
}
