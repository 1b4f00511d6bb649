import type { Argv } from 'yargs';
import { Output } from '@redwingcrank/cli';
import { decisionCosts } from './decision-costs.js';
import { nodeCosts } from './node-costs.js';

const PARTS = ['decisions', 'nodes'] as const;

const DIGITS = 3;

/** Adds `capacity`: the slopes on which docs/CAPACITY.md rests. */
export function addCapacityCommand<T>(parser: Argv<T>): Argv<T> {
  return parser.command(
    'capacity',
    'What one more task, host, peer, report or team costs',
    (y) =>
      y
        .option('part', { choices: PARTS, describe: 'Both where it is left out' })
        .option('json', { type: 'boolean', default: false }),
    async ({ part, json }) => {
      const decisions = part === 'nodes' ? [] : decisionCosts();
      const nodes = part === 'decisions' ? [] : await nodeCosts();
      const rows = [...decisions, ...nodes].map((row) => ({
        ...row,
        figure: Number(row.figure.toPrecision(DIGITS)),
      }));
      new Output(json).rows(['what', 'figure', 'unit'], rows);
    },
  );
}
