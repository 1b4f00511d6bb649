import fc from 'fast-check';
import { Coverage } from './coverage.js';
import type { FuzzTarget } from './fuzz-target.js';

export interface FuzzSettings {
  readonly seed: number;
  readonly runs: number;
  /** The path of a failing case, as an earlier run printed it. */
  readonly path?: string | undefined;
}

export interface FuzzRun {
  readonly target: string;
  readonly seed: number;
  readonly failed: boolean;
  readonly steps: number;
  /** How often each failure was set off. */
  readonly hits: Readonly<Record<string, number>>;
  /** The shrunk, replayable case, or which failure never happened; empty on success. */
  readonly report: string;
}

/** Runs one target; a run that never set off one of its failures has failed. */
export async function runTarget(target: FuzzTarget, settings: FuzzSettings): Promise<FuzzRun> {
  const coverage = new Coverage();
  const { seed, runs, path } = settings;
  const parameters = { seed, numRuns: runs, ...(path !== undefined && { path }) };
  const details = await fc.check(target.property(coverage), parameters);
  const hits = Object.fromEntries(target.failures.map((name) => [name, coverage.of(name)]));
  const never = target.failures.filter((name) => coverage.of(name) === 0);
  const found = details.failed ? ((await fc.asyncDefaultReportMessage(details)) ?? 'failed') : '';
  // A replay of one case need not set off every failure.
  const gap = path === undefined && never.length > 0 ? `never set off: ${never.join(', ')}` : '';
  const broken = details.errorInstance instanceof Error ? details.errorInstance.message : '';
  const report = [broken, found, gap].filter(Boolean).join('\n');
  return { target: target.name, seed, failed: report !== '', steps: coverage.steps, hits, report };
}
