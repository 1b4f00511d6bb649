import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { JsonListener } from '@redwingcrank/ports';
import { FakeHostList } from './fake-host-list.js';
import { FakeLog } from './fake-log.js';
import { FaultGate } from './fault-gate.js';

const BODY_LIMIT = 16 * 1024 * 1024;

// A process serves either the log (`--serve log`) or the host list (`--serve host-list`).
const args = await yargs(hideBin(process.argv))
  .option('serve', { choices: ['log', 'host-list'] as const, demandOption: true })
  .option('ip', { type: 'string', default: '127.0.0.1' })
  .option('lag-ms', { type: 'number', default: 200 })
  .option('appends-per-second', { type: 'number', default: 300 })
  .option('retention-ms', { type: 'number', default: 3_600_000 })
  .strict()
  .parse();

const gate = new FaultGate();
const hostList = new FakeHostList(args.lagMs);
const log = new FakeLog(args);
const handler = args.serve === 'log' ? log.handler : hostList.handler;
const control = args.serve === 'log' ? undefined : hostList.control;
const listener = new JsonListener(gate.guard(handler), BODY_LIMIT);
const port = await listener.listen(0, args.ip);
const faultPort = await gate.listen(args.ip, control);
process.stdout.write(`${JSON.stringify({ port, faultPort })}\n`);
process.once('SIGTERM', () => process.exit(0));
