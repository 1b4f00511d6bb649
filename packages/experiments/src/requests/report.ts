import { Output } from '@redwingcrank/cli';
import type { RunFigures } from './run-experiment.js';

const MEASURES = [
  'checkP50',
  'checkP99',
  'holdP50',
  'holdP99',
  'holdP999',
  'refusalP99',
  'goodput',
  'sendsPerRequest',
  'maxConnections',
  'cpuMsPerRequest',
] as const;

type Measure = (typeof MEASURES)[number];

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

const DIGITS = 3;

const short = (value: number): string => String(Number(value.toPrecision(DIGITS)));

function spread(values: readonly number[]): string {
  const range = `${short(Math.min(...values))}..${short(Math.max(...values))}`;
  return values.length > 1 ? `${short(median(values))} (${range})` : short(median(values));
}

/** Prints medians with their range, and the ratios of pairs to the first variant. */
export function printReport(figures: readonly RunFigures[], json: boolean): void {
  if (json) {
    process.stdout.write(`${JSON.stringify(figures, undefined, 2)}\n`);
    return;
  }
  const variants = [...new Set(figures.map((run) => run.variant))];
  const of = (variant: string): RunFigures[] => figures.filter((run) => run.variant === variant);
  const out = new Output(false);
  const valueRows = MEASURES.map((measure) => ({
    measure,
    ...Object.fromEntries(variants.map((v) => [v, spread(of(v).map((run) => run[measure]))])),
  }));
  out.rows(['measure', ...variants], valueRows);
  const [base, ...others] = variants;
  if (base !== undefined && others.length > 0) {
    out.line(`ratios to ${base}, pair by pair`);
    const rows = MEASURES.map((measure) => ({
      measure,
      ...Object.fromEntries(others.map((v) => [v, spread(ratios(of(base), of(v), measure))])),
    }));
    out.rows(['measure', ...others], rows);
  }
  for (const run of figures) {
    out.line(`${run.variant} seed=${run.seed} wrong=${run.wrong} ${JSON.stringify(run.counts)}`);
  }
}

function ratios(
  base: readonly RunFigures[],
  other: readonly RunFigures[],
  measure: Measure,
): number[] {
  return other.map((run, i) => run[measure] / (base[i]?.[measure] ?? NaN));
}
