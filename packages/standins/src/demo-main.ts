import { randomUUID } from 'node:crypto';
import { fileURLToPath } from 'node:url';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import {
  AdminClient,
  Output,
  formatEvent,
  fetchEvents,
  publish,
  readManifestFile,
} from '@redwingcrank/cli';
import type { DemoNode } from './demo-platform.js';
import { DemoPlatform } from './demo-platform.js';
import { waitFor } from './wait-for.js';

const MANIFEST_FILE = fileURLToPath(new URL('../../../examples/demo.json', import.meta.url));
const WAIT_TIMEOUT_MS = 20_000;
const REQUEST_COUNT = 40;
const TIMELINE_LENGTH = 12;
const ADMIN_KEY = randomUUID();

const print = (text: string): boolean => process.stdout.write(`${text}\n`);

interface RequestResult {
  readonly node: string;
  readonly request: string;
  readonly status: number;
  readonly ms: number;
}

async function send(platform: DemoPlatform, node: DemoNode, i: number): Promise<RequestResult> {
  const hold = i % 2 === 1;
  const startedAt = performance.now();
  const path = hold ? `/booking/hold?run=${i}` : `/booking/check?window=${i}`;
  const init = hold ? { method: 'POST', headers: { 'idempotency-key': `demo-${i}` } } : {};
  const res = await fetch(platform.callerUrl(node) + path, init);
  await res.text();
  const ms = performance.now() - startedAt;
  return { node: node.nodeId, request: hold ? 'hold' : 'check', status: res.status, ms };
}

function summarize(answers: readonly RequestResult[], out: Output): void {
  const groups = new Map<string, RequestResult[]>();
  for (const answer of answers) {
    const key = `${answer.node} ${answer.request} ${answer.status}`;
    groups.set(key, [...(groups.get(key) ?? []), answer]);
  }
  const rows = [...groups.values()].map((group) => {
    const times = group.map((answer) => answer.ms).sort((a, b) => a - b);
    const [first] = group;
    const median = times[Math.floor(times.length / 2)] ?? 0;
    return { ...first, answers: group.length, median: `${median.toFixed(1)} ms` };
  });
  out.rows(['node', 'request', 'status', 'answers', 'median'], rows);
}

async function startPlatform(): Promise<DemoPlatform> {
  const platform = new DemoPlatform({
    dataCentres: ['dc1', 'dc2'],
    nodesPerDataCentre: 2,
    hostsPerDataCentre: 3,
    capacity: { cpu: 16, memoryMb: 32_000, accelerators: 0 },
    leaseMs: 5_000,
    jobMs: 1_500,
    serviceMs: 5,
    adminKeys: [ADMIN_KEY],
  });
  process.once('SIGINT', () => process.exit(130));
  process.once('SIGTERM', () => process.exit(143));
  print('Starting the stand-ins of the platform and two nodes in each of two data centres ...');
  await platform.start();
  return platform;
}

/** Starts the platform, prints the settings for the CLI, and keeps the platform running. */
async function stay(): Promise<void> {
  const platform = await startPlatform();
  const [first] = platform.nodes;
  if (!first) throw new Error('the demo needs a node');
  print('\nRunning until interrupted (Ctrl+C). Paste these lines into another terminal:\n');
  print(`export REDWINGCRANK_NODES=${platform.adminAddresses.join(',')}`);
  print(`export REDWINGCRANK_LOG_URL=${platform.logUrl}`);
  print(`export REDWINGCRANK_ADMIN_KEYS=${ADMIN_KEY}`);
  print(`export CALLER_URL=${platform.callerUrl(first)}`);
  setInterval(() => undefined, WAIT_TIMEOUT_MS);
}

async function main(): Promise<void> {
  const platform = await startPlatform();
  const out = new Output(false);
  const clients = platform.adminAddresses.map((node) => new AdminClient(node, [ADMIN_KEY]));
  const manifest = await readManifestFile(MANIFEST_FILE);
  print('\nPublishing examples/demo.json ...');
  await publish({
    manifest,
    logUrl: platform.logUrl,
    nodes: clients,
    waitMs: WAIT_TIMEOUT_MS,
    out,
  });
  const tasks = async () => (await Promise.all(clients.map((c) => c.tasks()))).flat();
  await waitFor('the services to run', WAIT_TIMEOUT_MS, async () => {
    const all = await tasks();
    return all.filter((t) => t.kind === 'service' && t.state === 'running').length === 8;
  });

  print('\nPlacement:');
  const tasksById = new Map((await tasks()).map((task) => [task.taskId, task]));
  out.rows(['taskId', 'attempt', 'state', 'hostId', 'endpoint'], [...tasksById.values()]);

  const [first, second] = platform.nodes;
  if (!first || !second) throw new Error('the demo needs two nodes');
  print(`\nChecks and holds through ${first.nodeId} and ${second.nodeId}:`);
  const answers = await Promise.all(
    Array.from({ length: REQUEST_COUNT }, (_, i) => send(platform, i % 4 < 2 ? first : second, i)),
  );
  summarize(answers, out);

  print('\nWaiting for the batch job routes to finish ...');
  await waitFor('the batch job to finish', WAIT_TIMEOUT_MS, async () => {
    const all = await clients[0]?.tasks();
    const job = all?.filter((task) => task.owner === 'routes') ?? [];
    return job.length === 3 && job.every((task) => task.outcome === 'completed');
  });
  print('The batch job routes is done: 3 of 3 tasks completed.');

  print('\nThe last lines of the time line, over all processes:');
  const events = await fetchEvents(clients, '');
  events.slice(-TIMELINE_LENGTH).forEach((event) => print(formatEvent(event)));

  const codes = await platform.stop();
  print(`\nAll nodes shut down gracefully: exit codes ${codes.join(', ')}.`);
  const failed = answers.some((answer) => answer.status !== 200) || codes.some((c) => c !== 0);
  process.exit(failed ? 1 : 0);
}

const args = await yargs(hideBin(process.argv))
  .scriptName('demo')
  .option('stay', { type: 'boolean', default: false, describe: 'Leave the platform running' })
  .strict()
  .parse();

await (args.stay ? stay() : main());
