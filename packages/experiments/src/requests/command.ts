import { readFile, writeFile } from 'node:fs/promises';
import type { Argv } from 'yargs';
import { experimentSchema } from './experiment-file.js';
import { printReport } from './report.js';
import { runExperiment } from './run-experiment.js';
import { drawSvg } from './svg.js';

/** Adds `requests FILE`: measures the request path with real processes. */
export function addRequestsCommand<T>(parser: Argv<T>): Argv<T> {
  return parser.command(
    'requests <file>',
    'Measure the request path as an experiment file says',
    (y) =>
      y
        .positional('file', { type: 'string', demandOption: true })
        .option('seed', { type: 'number', default: 1 })
        .option('repeats', { type: 'number', describe: 'Instead of the number in the file' })
        .option('json', { type: 'boolean', default: false })
        .option('svg', { type: 'string', describe: 'Where to write a plot' }),
    async (args) => {
      const file: unknown = JSON.parse(await readFile(args.file, 'utf8'));
      const experiment = experimentSchema.parse(file);
      const { repeats = experiment.repeats } = args;
      const figures = await runExperiment({ ...experiment, repeats }, args.seed);
      printReport(figures, args.json);
      if (args.svg !== undefined) await writeFile(args.svg, drawSvg(experiment.name, figures));
    },
  );
}
