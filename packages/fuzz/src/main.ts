import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { runTarget } from './run-target.js';
import { TARGETS } from './targets/index.js';

const args = await yargs(hideBin(process.argv))
  .option('target', { type: 'string', describe: 'Name of one target; default: all targets' })
  .option('seed', {
    type: 'number',
    describe: 'Seed of the random draws; default: taken from the clock',
  })
  .option('runs', { type: 'number', default: 1000 })
  .option('path', { type: 'string', describe: 'Path of one failing case to replay' })
  .strict()
  .parse();

const seed = args.seed ?? Date.now() % 2 ** 31;
const chosen = TARGETS.filter(({ name }) => args.target === undefined || args.target === name);
if (chosen.length === 0) throw new Error(`unknown target ${args.target}`);
for (const target of chosen) {
  const run = await runTarget(target, { seed, runs: args.runs, path: args.path });
  const verdict = run.failed ? 'FAILED' : 'passed';
  const hits = Object.entries(run.hits).map(([name, count]) => `${name}=${count}`);
  process.stdout.write(
    `${run.target} ${verdict} seed=${seed} steps=${run.steps} ${hits.join(' ')}\n`,
  );
  if (run.failed) {
    process.stdout.write(`${run.report}\n`);
    process.exitCode = 1;
  }
}
