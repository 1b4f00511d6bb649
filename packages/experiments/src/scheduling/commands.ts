import type { Argv } from 'yargs';
import { comparePolicies } from './policy.js';
import { printRows } from './print.js';
import { SIZES, measureScale } from './scale.js';
import { SCENARIOS } from './workload.js';

/** Registers the experiments on scheduling. */
export function registerScheduling<T>(argv: Argv<T>): Argv<T> {
  return registerPolicy(registerScale(argv));
}

function registerScale<T>(argv: Argv<T>): Argv<T> {
  return argv.command(
    'scale',
    'What a scheduling pass costs, by size of the data centre',
    (y) =>
      y
        .option('seed', { type: 'number', default: 1 })
        .option('passes', { type: 'number', default: 15 })
        .option('starts', {
          type: 'number',
          default: 115,
          describe: 'Tasks that end before a pass',
        })
        .option('max-workers', { type: 'number', default: 12_000 }),
    ({ seed, passes, starts, maxWorkers }) => {
      const sizes = SIZES.filter((size) => size.workers <= maxWorkers);
      const settings = { seed, passes, startsPerPass: starts };
      printRows(
        `scale seed=${seed}`,
        sizes.map((size) => measureScale(size, settings)),
      );
    },
  );
}

function registerPolicy<T>(argv: Argv<T>): Argv<T> {
  return argv.command(
    'policy',
    'The placement policy against its baselines, in virtual time',
    (y) =>
      y
        .option('seed', { type: 'number', default: 1, describe: 'The first seed' })
        .option('seeds', { type: 'number', default: 3, describe: 'How many seeds' })
        .option('scenario', { choices: SCENARIOS, describe: 'One; all where it is left out' }),
    ({ seed, seeds, scenario }) => {
      const scenarios = scenario === undefined ? SCENARIOS : [scenario];
      const drawn = Array.from({ length: seeds }, (_, i) => seed + i);
      const { rows, ratios } = comparePolicies(scenarios, drawn);
      printRows(`policy seeds=${drawn.join(',')}`, rows);
      printRows('against the static split', ratios);
    },
  );
}
