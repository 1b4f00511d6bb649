import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import type { JsonAnswer, JsonRequest } from '@redwingcrank/ports';
import { JsonListener } from '@redwingcrank/ports';
import type { Degradation } from './fake-endpoint.js';
import { RestartableWorker } from './restartable-worker.js';
import { FaultGate } from './fault-gate.js';

const BODY_LIMIT = 4 * 1024 * 1024;

const args = await yargs(hideBin(process.argv))
  .option('hosts', { type: 'string', array: true, demandOption: true })
  .option('ip', { type: 'string', default: '127.0.0.1' })
  .option('job-ms', { type: 'number', default: 1500 })
  .option('service-ms', { type: 'number', default: 5 })
  .option('usage-lag-ms', { type: 'number', default: 2000 })
  .strict()
  .parse();

/** Handles requests to the fault port other than /faults: inspection, restart and degradation. */
function handleControl(host: RestartableWorker, req: JsonRequest): JsonAnswer {
  const { worker } = host;
  if (req.url.pathname === '/history') return { status: 200, body: host.history() };
  if (req.url.pathname === '/restart') {
    host.restart();
    return { status: 200, body: {} };
  }
  if (req.url.pathname === '/degrade') {
    worker.degrade(req.body as Degradation);
    return { status: 200, body: {} };
  }
  if (req.url.pathname === '/connections') return { status: 200, body: worker.maxConnections() };
  return { status: 200, body: worker.runs() };
}

const workers = [];
for (const hostId of args.hosts) {
  const gate = new FaultGate();
  const host = new RestartableWorker({ hostId, ...args });
  const listener = new JsonListener(
    gate.guard((req) => host.worker.handler(req)),
    BODY_LIMIT,
  );
  const port = await listener.listen(0, args.ip);
  const faultPort = await gate.listen(args.ip, (req) => handleControl(host, req));
  workers.push({ hostId, address: `${args.ip}:${port}`, faultPort });
}
process.stdout.write(`${JSON.stringify({ workers })}\n`);
process.once('SIGTERM', () => process.exit(0));
