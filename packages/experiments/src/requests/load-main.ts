import { encodeIntoCompressedBase64 } from 'hdr-histogram-js';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { seededRandom } from '@redwingcrank/decisions';
import { LoadGenerator } from './load-generator.js';

// One of the processes that make the load: its first line says it is up, its second is the result.
const args = await yargs(hideBin(process.argv))
  .option('ports', { type: 'string', demandOption: true })
  .option('per-second', { type: 'number', demandOption: true })
  .option('duration-ms', { type: 'number', demandOption: true })
  .option('holds', { type: 'number', demandOption: true })
  .option('deadline-ms', { type: 'number', demandOption: true })
  .option('seed', { type: 'number', demandOption: true })
  .strict()
  .parse();

process.stdout.write('{}\n');
const ports = args.ports.split(',').map(Number);
const generator = new LoadGenerator({ ...args, ports, random: seededRandom(args.seed) });
const result = await generator.run();
const encoded = {
  checks: encodeIntoCompressedBase64(result.checks),
  holds: encodeIntoCompressedBase64(result.holds),
  refusals: encodeIntoCompressedBase64(result.refusals),
  counts: [...result.counts],
  wrong: result.wrong,
};
process.stdout.write(`${JSON.stringify(encoded)}\n`);
