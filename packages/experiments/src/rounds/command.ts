import type { Argv } from 'yargs';
import type { RoundLimits } from '@redwingcrank/jobs';
import { Output } from '@redwingcrank/cli';
import { roundCosts } from './round-costs.js';

const COLUMNS = [
  'workers',
  'waiting',
  'rounds',
  'starts',
  'looks',
  'longestMs',
  'startMicros',
  'fullMs',
] as const;

/** Adds `rounds`: what rounds of decisions cost while many jobs wait. */
export function addRoundsCommand<T>(parser: Argv<T>): Argv<T> {
  return parser.command(
    'rounds',
    'What rounds of decisions cost, by workers and waiting jobs',
    (y) =>
      y
        .option('workers', { type: 'number', array: true, default: [340, 440] })
        .option('waiting', { type: 'number', array: true, default: [200, 1_000, 2_000] })
        .option('warm', {
          type: 'boolean',
          default: true,
          describe: 'Compile the code first; a new leader has not',
        })
        .option('placing-ms', {
          type: 'number',
          describe: 'The limit of a round; none if left out',
        })
        .option('json', { type: 'boolean', default: false }),
    ({ workers, waiting, warm, placingMs, json }) => {
      const limits = placingMs === undefined ? undefined : limitsOf(placingMs);
      if (warm) roundCosts(100, 100);
      const rows = workers.flatMap((count) =>
        waiting.map((jobs) => {
          const row = roundCosts(count, jobs, limits);
          const rounded = Object.entries(row).map(([key, value]) => [
            key,
            Number(value.toFixed(1)),
          ]);
          return Object.fromEntries(rounded) as Record<string, number>;
        }),
      );
      new Output(json).rows(COLUMNS, rows);
    },
  );
}

function limitsOf(placingMs: number): RoundLimits {
  return { placingMs, starts: Infinity, clockMs: () => performance.now() };
}
