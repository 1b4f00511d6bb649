import type { PolicyRow } from './policy-run.js';
import { PolicyRun } from './policy-run.js';
import type { VariantName } from './variants.js';
import { VARIANTS } from './variants.js';
import type { Scenario } from './workload.js';

/** A variant against the static split in the same scenario and with the same seed. */
export interface PolicyRatio {
  readonly scenario: Scenario;
  readonly variant: VariantName;
  readonly lateMean: number;
  readonly lateLaterMean: number;
  /** Throughput as a multiple of the static split's: mean, least and most over the seeds. */
  readonly workRatio: number;
  readonly workLeast: number;
  readonly workMost: number;
  readonly evictionsMean: number;
  readonly keptPercent: number;
}

/** Runs all variants with one seed after the other, so that each pair shares its seed. */
export function comparePolicies(
  scenarios: readonly Scenario[],
  seeds: readonly number[],
): { rows: PolicyRow[]; ratios: PolicyRatio[] } {
  const rows: PolicyRow[] = [];
  for (const scenario of scenarios) {
    for (const seed of seeds) {
      for (const variant of VARIANTS) rows.push(new PolicyRun(scenario, variant, seed).run());
    }
  }
  const ratios = scenarios.flatMap((s) => VARIANTS.map((v) => ratioOf(rows, s, v)));
  return { rows, ratios };
}

function ratioOf(
  rows: readonly PolicyRow[],
  scenario: Scenario,
  variant: VariantName,
): PolicyRatio {
  const mine = rows.filter((row) => row.scenario === scenario && row.variant === variant);
  const work = mine.map((row) => {
    const split = rows.find(
      (other) =>
        other.scenario === scenario && other.variant === 'static-split' && other.seed === row.seed,
    );
    return row.coreHours / (split?.coreHours ?? NaN);
  });
  const best = total(mine.map((row) => row.deadlinesBest));
  return {
    scenario,
    variant,
    lateMean: total(mine.map((row) => row.latePercent)) / mine.length,
    lateLaterMean: total(mine.map((row) => row.lateLaterPercent)) / mine.length,
    workRatio: total(work) / work.length,
    workLeast: Math.min(...work),
    workMost: Math.max(...work),
    evictionsMean: total(mine.map((row) => row.evictions)) / mine.length,
    keptPercent: (100 * total(mine.map((row) => row.deadlinesKept))) / best,
  };
}

function total(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}
